package relay

import (
	"github.com/stoatramp/stoatramp/internal/intake"
)

// This file decides, with package intake, which new connections of callers this box reads.

// Delays returns the estimates of how much this box itself delays what it sends and receives.
func (r *Relay) Delays() *intake.Delays { return &r.delays }
