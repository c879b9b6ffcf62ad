package relay

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Guards against a new configuration after which the box has to learn the times of a route's callers again, and against
// memory of routes that are gone.
func TestNewConfigKeepsCallerTimes(t *testing.T) {
	config := func(names ...string) *Config {
		c := &Config{}
		for _, name := range names {
			c.Routes = append(c.Routes, &Route{Name: name})
		}
		return c
	}
	old := keepCallerTimes(nil, config("kept", "removed"))
	for range 40 {
		old["kept"].Observe(clock.Now(), 14*time.Second, true)
	}
	next := keepCallerTimes(&old, config("kept", "new"))
	if next["kept"].SpentBefore(13*time.Second) != time.Second {
		t.Errorf("expected a caller with 13 s to have lost 1 s, got %s", next["kept"].SpentBefore(13*time.Second))
	}
	if next["new"] == nil || next["new"].SpentBefore(time.Second) != 0 || len(next) != 2 {
		t.Errorf("expected nothing to be known of a new route, and only the configured routes, got %d", len(next))
	}
}
