package ops

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/slots"
)

// Guards against a status that shows an endpoint under the wrong cell, or leaves a number out.
func TestSlotStatus(t *testing.T) {
	got := slotStatus([]slots.CellSnapshot{{
		Cell: slots.Cell{Service: "s", Region: "r", Index: 2},
		Snapshot: slots.Snapshot{Waiting: 3, Endpoints: []slots.EndpointSnapshot{
			{ID: "e-1", Limit: 7, InUse: 6, Service: 30 * time.Millisecond}, {ID: "e-2", Limit: 3},
		}},
	}})
	if len(got) != 2 {
		t.Fatalf("expected two endpoints, got %v", got)
	}
	if e := got[0]; e.Service != "s" || e.Region != "r" || e.Cell != 2 || e.Endpoint != "e-1" || e.Limit != 7 || e.InUse != 6 || e.Waiting != 3 || e.ServiceUs != 30_000 {
		t.Errorf("unexpected status %v", e)
	}
	if e := got[1]; e.Endpoint != "e-2" || e.Limit != 3 || e.InUse != 0 {
		t.Errorf("unexpected status %v", e)
	}
}
