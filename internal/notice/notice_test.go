package notice

import (
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func alone(string) ([]string, int64) { return []string{"b"}, 1 }

// at is an answer to a request sent at a time, with a limit or without one.
func at(seconds float64, limit float64) Answer {
	return Answer{Endpoint: "e", Sent: after(seconds), Ran: true, Notice: Notice{Limit: limit}}
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answerTime is how long the answers of a test take.
const answerTime = 50 * time.Millisecond

// expectChanges has a table take answers in their order and expects what each changes, 0 for nothing.
func expectChanges(t *testing.T, answers []Answer, want ...Change) *Table {
	t.Helper()
	table := NewTable("b", alone)
	for i, a := range answers {
		got := table.Observe(a.Sent.Add(answerTime), a)
		if want[i] == 0 && len(got) > 0 || want[i] != 0 && !slices.Equal(got, []Change{want[i]}) {
			t.Errorf("answer %d: expected change %d, got %d", i+1, want[i], got)
		}
	}
	return table
}

func TestLimitNamedAndLifted(t *testing.T) {
	expectChanges(t, []Answer{at(0, 0), at(1, 6), at(2, 6.1), at(3, 3), at(4, 0), at(5, 0)},
		0, LimitNamed, 0, LimitNamed, LimitLifted, 0)
}

// Answers overtake one another on separate connections.
func TestLimitNotLiftedByAnAnswerSentBefore(t *testing.T) {
	expectChanges(t, []Answer{at(2, 6), at(1, 0)}, LimitNamed, 0)
}

// Only an answer to a request that ran takes a limit back: calls of a box's own and failures need not repeat it.
func TestLimitNotLiftedByAFailure(t *testing.T) {
	failed := at(2, 0)
	failed.Ran = false
	expectChanges(t, []Answer{at(1, 6), failed}, LimitNamed, 0)
}

func TestMisreadNoticeKeepsTheLimit(t *testing.T) {
	bad := at(2, 0)
	bad.Notice.Unread = `Server-Limit: "-1"`
	table := expectChanges(t, []Answer{at(1, 6), bad, bad}, LimitNamed, Misread, 0)
	if n := table.Limited(); n != 1 {
		t.Errorf("expected the limit to hold, got %d endpoints with one", n)
	}
}

// expectKept has an endpoint say something, and expects it to be known some time later or not.
func expectKept(t *testing.T, n Notice, later time.Duration, listed, want bool) {
	t.Helper()
	table := NewTable("b", alone)
	table.Observe(start, Answer{Endpoint: "e", Sent: start, Notice: n})
	table.Keep(start.Add(later), func(string) bool { return listed })
	if table.Knows("e") != want || table.Limited() > 0 && !want {
		t.Errorf("%+v, listed %t: expected it to be known after %s: %t", n, listed, later, want)
	}
}

// An entry may lapse while the store is away, and what is in force stays while the endpoint is listed.
func TestKeepForgetsWhatAsksForNothingAndWhatIsLongGone(t *testing.T) {
	for _, n := range []Notice{{Limit: 6}, {Leaving: true}} {
		expectKept(t, n, keptFor, false, true)
		expectKept(t, n, keptFor+time.Second, false, false)
		expectKept(t, n, keptFor+time.Second, true, true)
	}
	rest := Notice{Rest: time.Second}
	expectKept(t, rest, keptFor, true, true)
	expectKept(t, rest, keptFor+time.Second, true, false)
}

func TestLeavingIsHeardOnce(t *testing.T) {
	leaves := Answer{Endpoint: "e", Sent: start, Notice: Notice{Leaving: true}}
	expectChanges(t, []Answer{leaves, leaves, at(2, 0)}, Leaves, 0, 0)
}

// A rest ends at the latest time that was asked for: each answer that asked for one still counts.
func TestRestIsLengthenedAndNotShortened(t *testing.T) {
	asks := func(at float64, rest time.Duration) Answer {
		return Answer{Endpoint: "e", Sent: after(at), Notice: Notice{Rest: rest}}
	}
	expectChanges(t, []Answer{asks(0, 3*time.Second), asks(1, time.Second), asks(2, 3*time.Second), asks(3, 0)},
		RestAsked, 0, RestAsked, 0)
}

func TestRestIsOverAtItsTime(t *testing.T) {
	table := expectChanges(t, []Answer{{Endpoint: "e", Sent: start, Notice: Notice{Rest: 3 * time.Second}}}, RestAsked)
	over := start.Add(answerTime + 3*time.Second)
	if wait := table.Wait("e", over.Add(-time.Second)); wait != time.Second || !table.Rests("e", over.Add(-time.Second)) {
		t.Errorf("expected a second of rest to be left, got %s", wait)
	}
	if wait := table.Wait("e", over); wait != 0 || table.Rests("e", over) {
		t.Errorf("expected the rest to be over, got %s", wait)
	}
	if table.Wait("other", start) != 0 || table.Leaving("e") {
		t.Error("expected a rest to say nothing else, and nothing of others")
	}
}

// Where an endpoint names a limit and asks for rest, both hold.
func TestRestHoldsWithinTheLimit(t *testing.T) {
	rests := at(1, 100)
	rests.Notice.Rest = 10 * time.Second
	table := NewTable("b", alone)
	table.Observe(rests.Sent, rests)
	if wait := table.Wait("e", rests.Sent.Add(5*time.Second)); wait != 5*time.Second {
		t.Errorf("expected 5 s of rest to be left, got %s", wait)
	}
}
