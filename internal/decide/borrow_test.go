package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/retry"
)

// Calls are borrowed only for requests that a lost call would repeat.
func TestHasRepeatable(t *testing.T) {
	for what, c := range map[string]struct {
		begun bool
		set   func(*Request)
		want  bool
	}{
		"before the answer":         {false, func(*Request) {}, true},
		"runs once":                 {false, func(r *Request) { r.Repeatable = false }, false},
		"in the answer":             {true, func(*Request) {}, true},
		"in an answer that is kept": {true, func(r *Request) { r.Resumable = false }, false},
	} {
		s := newRerunFixture(t, c.begun, c.set)
		if got := s.c.HasRepeatable(); got != c.want {
			t.Errorf("%s: expected %t, got %t", what, c.want, got)
		}
	}
	if newFixture(t, 1, 1).c.HasRepeatable() {
		t.Error("expected no repeatable request on an idle core")
	}
}

// A migration that the budget does not allow must not make the box borrow calls: it is optional, and happens in calm.
func TestMigrationBorrowsNothing(t *testing.T) {
	s := newRerunFixture(t, true, func(*Request) {})
	s.c.SetRetryLimits(retry.Limits{FreeCalls: 2, Window: 10 * time.Second}, 100, s.now.Add(-time.Hour))
	b := s.c.RetryBudget()
	if b.TakeSpare(s.now, 1) || b.Wanted(s.now, true) != 0 {
		t.Error("expected no calls to be wanted after a denied migration")
	}
	if b.Take(s.now, 1) || b.Wanted(s.now, true) == 0 {
		t.Error("expected calls to be wanted after a denied retry")
	}
}
