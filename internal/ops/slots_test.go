package ops

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/relay"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// Guards against a status that shows an endpoint under the wrong cell, or leaves a number out.
func TestSlotStatus(t *testing.T) {
	got := slotStatus([]slots.CellSnapshot{{
		Cell: slots.Cell{Service: "s", Region: "r", Index: 2},
		Snapshot: slots.Snapshot{Waiting: 3, Endpoints: []slots.EndpointSnapshot{
			{ID: "e-1", Slots: 6, Limit: 7, InUse: 6, Overdue: 1, Usable: true, SetAside: true, FailureRate: 0.248, Service: 30 * time.Millisecond}, {ID: "e-2", Limit: 3},
		}},
	}})
	if len(got) != 2 {
		t.Fatalf("expected two endpoints, got %v", got)
	}
	if e := got[0]; e.Service != "s" || e.Region != "r" || e.Cell != 2 || e.Endpoint != "e-1" || e.Limit != 7 || e.InUse != 6 || e.Waiting != 3 || e.ServiceUs != 30_000 ||
		e.Slots != 6 || e.Overdue != 1 || e.State != "set_aside" || e.FailedPercent != 25 {
		t.Errorf("unexpected status %v", e)
	}
	if e := got[1]; e.Endpoint != "e-2" || e.Limit != 3 || e.InUse != 0 || e.State != "closed" {
		t.Errorf("unexpected status %v", e)
	}
}

// Guards against a refusal that is shown under the wrong reason or account.
func TestSlotAccountStatus(t *testing.T) {
	a := slots.AccountSnapshot{Account: "norrvik", Waiting: 2, InUse: 1, AccountCounts: slots.AccountCounts{Granted: 9, Withdrawn: 3, Returning: 5, ReturningRefused: 4}}
	a.Refused[slots.TooLate] = 7
	got := slotAccountStatus([]slots.CellSnapshot{{Cell: slots.Cell{Service: "s", Region: "r", Index: 2}, Snapshot: slots.Snapshot{Accounts: []slots.AccountSnapshot{a}}}})
	if len(got) != 1 {
		t.Fatalf("expected an account, got %v", got)
	}
	if s := got[0]; s.Service != "s" || s.Region != "r" || s.Cell != 2 || s.Account != "norrvik" || s.Waiting != 2 || s.InUse != 1 || s.Granted != 9 ||
		s.Withdrawn != 3 || s.Returning != 5 || s.ReturningRefused != 4 || len(s.Refused) != 1 || s.Refused["too_late"] != 7 {
		t.Errorf("unexpected status %v", s)
	}
}

// Guards against a status that names the wrong owner of a cell, or fails on a box that knows none.
func TestCellStatus(t *testing.T) {
	cells := []relay.ContendedCell{{Cell: slots.Cell{Service: "s", Region: "r", Index: 1}, SignAge: 40 * time.Millisecond}}
	got := cellStatus(cells, func(c slots.Cell) string { return "owner of " + c.Service })
	if len(got) != 1 || got[0].Service != "s" || got[0].Region != "r" || got[0].Cell != 1 || got[0].Owner != "owner of s" || got[0].SignAgeMs != 40 {
		t.Errorf("unexpected status %v", got)
	}
	if got := cellStatus(cells, nil); len(got) != 1 || got[0].Owner != "" {
		t.Errorf("expected no owner, got %v", got)
	}
}

// Guards against connections that are shown under the wrong heading.
func TestPlainEndpointStatus(t *testing.T) {
	got := plainEndpointStatus([]relay.PlainEndpoint{{
		Service: "s", Region: "r", ID: "e", Calls: 4, Mean: 30 * time.Millisecond, Open: true, Conns: h1.ConnCounts{Open: 3, Idle: 1, Waiting: 2}, MaxConns: 16,
	}})
	if len(got) != 1 {
		t.Fatalf("expected an endpoint, got %v", got)
	}
	if e := got[0]; e.Service != "s" || e.Region != "r" || e.Endpoint != "e" || e.State != "ready" || e.Calls != 4 || e.MeanUs != 30_000 || e.Connections != 3 ||
		e.IdleConnections != 1 || e.WaitingCalls != 2 || e.MaxConnections != 16 {
		t.Errorf("unexpected status %v", e)
	}
}
