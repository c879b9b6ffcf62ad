package notice

import (
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func singleBox(string) ([]string, int64) { return []string{"b"}, 1 }

// answerAt returns a response to a request that was sent at the given time. The response announces the given limit. If
// the limit is 0, the response announces no limit.
func answerAt(seconds float64, limit float64) Answer {
	return Answer{Endpoint: "e", Sent: timeAt(seconds), Completed: true, Notice: Notice{Limit: limit}}
}

func timeAt(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answerDelay is the time between a request and its response.
const answerDelay = 50 * time.Millisecond

// expectChanges passes responses to a table one after another. It expects the given change from each response; 0 means
// no change.
func expectChanges(t *testing.T, answers []Answer, want ...Change) *Table {
	t.Helper()
	table := NewTable("b", singleBox)
	for i, a := range answers {
		got := table.Observe(a.Sent.Add(answerDelay), a)
		if want[i] == 0 && len(got) > 0 || want[i] != 0 && !slices.Equal(got, []Change{want[i]}) {
			t.Errorf("answer %d: expected change %d, got %d", i+1, want[i], got)
		}
	}
	return table
}

func TestLimitNamedAndLifted(t *testing.T) {
	expectChanges(t, []Answer{answerAt(0, 0), answerAt(1, 6), answerAt(2, 6.1), answerAt(3, 3), answerAt(4, 0), answerAt(5, 0)},
		0, LimitAnnounced, 0, LimitAnnounced, LimitLifted, 0)
}

// Responses on separate connections can arrive out of order. A response without a limit does not lift a limit if its
// request was sent before the request whose response announced the limit.
func TestLimitNotLiftedByAnAnswerSentBefore(t *testing.T) {
	expectChanges(t, []Answer{answerAt(2, 6), answerAt(1, 0)}, LimitAnnounced, 0)
}

// Only the response to a completed request lifts a limit. Other responses need not repeat the limit: failures, and
// responses to calls that the box makes for itself.
func TestLimitNotLiftedByAFailure(t *testing.T) {
	failed := answerAt(2, 0)
	failed.Completed = false
	expectChanges(t, []Answer{answerAt(1, 6), failed}, LimitAnnounced, 0)
}

func TestMalformedNoticeKeepsTheLimit(t *testing.T) {
	malformed := answerAt(2, 0)
	malformed.Notice.Malformed = `Server-Limit: "-1"`
	table := expectChanges(t, []Answer{answerAt(1, 6), malformed, malformed}, LimitAnnounced, MalformedNotice, 0)
	if n := table.Limited(); n != 1 {
		t.Errorf("expected the limit to stay in force, got %d endpoints with a limit", n)
	}
}

// An endpoint may send the same malformed notice for hours. It must be reported at intervals: a single report would
// have left the log long before anybody looks.
func TestMalformedNoticeReportedAgain(t *testing.T) {
	malformedAt := func(seconds float64, text string) Answer {
		a := answerAt(seconds, 0)
		a.Notice.Malformed = text
		return a
	}
	same := malformedRepeatInterval.Seconds()
	other := repeatInterval.Seconds()
	expectChanges(t, []Answer{
		malformedAt(0, "a"), malformedAt(same-1, "a"), malformedAt(same, "a"), malformedAt(same+1, "a"),
		malformedAt(same+other-1, "b"), malformedAt(same+other, "b"), malformedAt(2*same, "b"), malformedAt(2*same+other, "b"),
	}, MalformedNotice, 0, MalformedNotice, 0, 0, MalformedNotice, 0, MalformedNotice)
}

// expectKept lets an endpoint send a notice. Some time later, the table must still remember the endpoint if want is
// true, and must have forgotten it otherwise.
func expectKept(t *testing.T, n Notice, later time.Duration, listed, want bool) {
	t.Helper()
	table := NewTable("b", singleBox)
	table.Observe(start, Answer{Endpoint: "e", Sent: start, Notice: n})
	table.Expire(start.Add(later), func(string) bool { return listed })
	if table.Has("e") != want || table.Limited() > 0 && !want {
		t.Errorf("%+v, listed %t: expected it to be remembered after %s: %t", n, listed, later, want)
	}
}

// While the store is unavailable, an endpoint's row can expire, and the endpoint is then missing from the list. So the
// endpoint is remembered for endpointTTL. A listed endpoint with a notice in force is remembered longer.
func TestKeepForgetsIdleAndUnlistedEndpoints(t *testing.T) {
	for _, n := range []Notice{{Limit: 6}, {Leaving: true}} {
		expectKept(t, n, endpointTTL, false, true)
		expectKept(t, n, endpointTTL+time.Second, false, false)
		expectKept(t, n, endpointTTL+time.Second, true, true)
	}
	pause := Notice{Pause: time.Second}
	expectKept(t, pause, endpointTTL, true, true)
	expectKept(t, pause, endpointTTL+time.Second, true, false)
}

func TestLeavingIsReportedOnce(t *testing.T) {
	leaves := Answer{Endpoint: "e", Sent: start, Notice: Notice{Leaving: true}}
	expectChanges(t, []Answer{leaves, leaves, answerAt(2, 0)}, LeavingAnnounced, 0, 0)
}

// If several responses ask for pauses, the pause lasts until the latest of the requested times.
func TestRestIsExtendedNotShortened(t *testing.T) {
	pauseAnswer := func(at float64, pause time.Duration) Answer {
		return Answer{Endpoint: "e", Sent: timeAt(at), Notice: Notice{Pause: pause}}
	}
	expectChanges(t, []Answer{pauseAnswer(0, 3*time.Second), pauseAnswer(1, time.Second), pauseAnswer(2, 3*time.Second), pauseAnswer(3, 0)},
		PauseRequested, 0, PauseRequested, 0)
}

func TestRestExpires(t *testing.T) {
	table := expectChanges(t, []Answer{{Endpoint: "e", Sent: start, Notice: Notice{Pause: 3 * time.Second}}}, PauseRequested)
	over := start.Add(answerDelay + 3*time.Second)
	if wait := table.ThrottledFor("e", over.Add(-time.Second)); wait != time.Second || !table.IsPaused("e", over.Add(-time.Second)) {
		t.Errorf("expected 1 s of rest to remain, got %s", wait)
	}
	if wait := table.ThrottledFor("e", over); wait != 0 || table.IsPaused("e", over) {
		t.Errorf("expected the rest to be over, got %s", wait)
	}
	if table.ThrottledFor("other", start) != 0 || table.Leaving("e") {
		t.Error("expected a rest to affect no other endpoint, and not to mean that the endpoint leaves")
	}
}

// If an endpoint announces a limit and also asks for a pause, the box obeys both.
func TestRestHoldsWithinTheLimit(t *testing.T) {
	answer := answerAt(1, 100)
	answer.Notice.Pause = 10 * time.Second
	table := NewTable("b", singleBox)
	table.Observe(answer.Sent, answer)
	if wait := table.ThrottledFor("e", answer.Sent.Add(5*time.Second)); wait != 5*time.Second {
		t.Errorf("expected 5 s of rest to remain, got %s", wait)
	}
}
