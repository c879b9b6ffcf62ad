package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// Guards against a status that leaves out a cell whose owner is asked, or shows one that is no longer asked.
func TestContendedCells(t *testing.T) {
	var elapsed time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return elapsed })()
	r := cellRelay(2)
	var list []Endpoint
	for i := range slots.MaxCellEndpoints + 1 {
		list = append(list, Endpoint{ID: fmt.Sprint("e-", i), Service: "s-0", Hall: "h"})
	}
	r.SetEndpoints(append(list, Endpoint{ID: "other", Service: "s-1", Hall: "h"}))
	if got := r.ContendedCells(); len(got) != 0 {
		t.Errorf("expected no contended cell, got %v", got)
	}
	r.Receive(overlay.Message{Contended: &overlay.ServiceContended{Service: "s-0", Region: "r"}})
	elapsed = time.Second
	got := r.ContendedCells()
	if len(got) != 2 || got[0].Index != 0 || got[1].Index != 1 || got[0].Service != "s-0" || got[0].Region != "r" || got[0].SignAge < time.Second {
		t.Errorf("expected the two cells of s-0 after a second, got %+v", got)
	}
	elapsed = contendedFor
	if got := r.ContendedCells(); len(got) != 0 {
		t.Errorf("expected no contended cell after %s, got %v", contendedFor, got)
	}
}

// Guards against a status without the endpoints that this box calls, and against one that lists thousands of idle ones.
func TestPlainEndpoints(t *testing.T) {
	r := cellRelay(1)
	r.SetEndpoints([]Endpoint{{ID: "e-1", Service: "s-0", Hall: "h"}, {ID: "e-2", Service: "s-0", Hall: "h"}})
	e, _ := r.plain.choose("s-0", "r", clock.Now(), map[string]bool{"e-2": true})
	got := r.PlainEndpoints()
	if len(got) != 1 || got[0].ID != "e-1" || got[0].Calls != 1 || !got[0].Open || got[0].SetAside || got[0].Service != "s-0" || got[0].Region != "r" {
		t.Errorf("expected the endpoint with a call, got %+v", got)
	}
	r.plain.done(e, clock.Now(), time.Millisecond, true)
	if got := r.PlainEndpoints(); len(got) != 0 {
		t.Errorf("expected no endpoint in use, got %+v", got)
	}
}
