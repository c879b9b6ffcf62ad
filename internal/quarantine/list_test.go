package quarantine

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// of is the fingerprint of a request in these tests.
func of(name string) Fingerprint { return (&Identity{Target: name}).Fingerprint() }

// ends has an endpoint of each name end under a request of a caller.
func ends(l *List, request, caller string, ran time.Duration, endpoints ...string) {
	for _, e := range endpoints {
		l.Ended(End{Request: of(request), Endpoint: e, Caller: caller, Ran: ran})
	}
}

func expectHeld(t *testing.T, l *List, request string, want bool) {
	t.Helper()
	if v := l.Check(of(request)); v.Held != want {
		t.Errorf("%s: expected held to be %t, got %.1f bits: %s", request, want, v.Bits, v)
	}
}

// Three ends soon after a request began are enough, two never are, and the same end counts once.
func TestHeldAfterThree(t *testing.T) {
	l := NewList()
	told := 0
	l.Held = func(Fingerprint, Verdict) { told++ }
	ends(l, "deadly", "a", 100*time.Millisecond, "e1", "e2", "e2", "e1")
	expectHeld(t, l, "deadly", false)
	ends(l, "deadly", "a", 270*time.Millisecond, "e3")
	expectHeld(t, l, "deadly", true)
	ends(l, "deadly", "a", 270*time.Millisecond, "e4")
	if told != 1 {
		t.Errorf("expected one word of it, got %d", told)
	}
	if text := l.Check(of("deadly")).String(); !strings.HasPrefix(text, "4 endpoints ended under it: e1 after 100ms, e2 after 100ms, e3") {
		t.Errorf("unexpected text: %s", text)
	}
}

// What users would see: one end more than there should be. A worker was back under its id before the
// list told; it ran the request again and ended, and the box took that for the end of the start that
// its list still had, which it knew of. Evidence: TestRequestThatEndsEndpoints with engines that come back
// under their ids, 4 ends of 3 in one of three runs.
func TestEndOfStartNotListedYet(t *testing.T) {
	l := NewList()
	e := End{Request: of("deadly"), Endpoint: "i-5@a", Caller: "c", Ran: 50 * time.Millisecond}
	e.Sent = clock.Now().Add(-e.Ran)
	l.Ended(e)
	l.Ended(e) // The same end.
	if n, _ := l.Sizes(); n != 1 {
		t.Errorf("expected one end, got %d", n)
	}
	e.Sent = clock.Now().Add(time.Millisecond)
	l.Ended(e)
	if n, _ := l.Sizes(); n != 2 {
		t.Errorf("expected an end of another start, got %d ends: %s", n, l.Check(of("deadly")))
	}
	e.Doubt = true
	l.Ended(e)
	e.Sent, e.Doubt = clock.Now().Add(time.Second), false
	l.Ended(e)
	expectHeld(t, l, "deadly", true)
}

// What users would see: a stream refused for good that had done nothing. It went on from engine to
// engine within one try while another request ended these one after the other, a third of a second
// each. Evidence: a soak (seed 673278674497), ends after 100, 192 and 433 ms under one id.
func TestEndsWithinOneTry(t *testing.T) {
	l := NewList()
	for n, ran := range []time.Duration{192 * time.Millisecond, 100 * time.Millisecond, 433 * time.Millisecond} {
		l.Ended(End{Request: of("long"), Endpoint: fmt.Sprint("e", n), Caller: "c", Ran: ran, Try: Tag("id-1")})
	}
	expectHeld(t, l, "long", false)
	for n := range 4 { // Two tries of two engines each.
		l.Ended(End{Request: of("deadly"), Endpoint: fmt.Sprint("e", n), Caller: "c", Ran: 50 * time.Millisecond, Try: Tag(fmt.Sprint("id", n/2))})
		if n < 3 {
			expectHeld(t, l, "deadly", false)
		}
	}
	expectHeld(t, l, "deadly", true)
}

// What users would see: a request refused for good that had done nothing. Its prompt was at an engine
// that ended with a rack; it went on to another one of that rack over a connection that broke in
// 0.7 ms, and four seconds later it was near a third crash. Evidence: a day of crashes, on which one
// request was held for ends after 39 ms, 0.7 ms and 220 ms.
func TestEndedBefore(t *testing.T) {
	l := NewList()
	ends(l, "a", "c", 39*time.Millisecond, "e1")
	l.Ended(End{Request: of("a"), Endpoint: "e2", Caller: "c", Ran: 700 * time.Microsecond, Doubt: true})
	ends(l, "a", "c", 220*time.Millisecond, "e3")
	expectHeld(t, l, "a", false)
	for n := range 7 {
		l.Ended(End{Request: of("at once"), Endpoint: fmt.Sprint("e", n), Caller: "c", Doubt: true})
	}
	expectHeld(t, l, "at once", true)
}

// A long stream that goes on elsewhere is near several crashes that others cause.
func TestLongStreamIsNotBlamed(t *testing.T) {
	l := NewList()
	ends(l, "long", "a", 3*time.Second, "e1", "e2", "e3")
	ends(l, "shorter", "a", time.Second, "e1", "e2", "e3")
	expectHeld(t, l, "long", false)
	expectHeld(t, l, "shorter", false)
}

// How often a request that has nothing to do with the ends is held, if it comes again after each end and
// endpoints end at a rate, a second. Half a second and less of each of three runs is what it takes.
func TestWronglyHeld(t *testing.T) {
	const tries = 200_000
	rng := newRNG(1)
	for rate, most := range map[float64]float64{0.02: 1e-4, 0.05: 3e-4, 0.1: 1e-3} {
		held := 0
		for range tries {
			sum := 0.0
			for range 3 { // It meets three ends at most, each at some point of a run of 3 s.
				until := rng.ExpFloat64() / rate
				if until > 3 {
					break // It ends well.
				}
				sum += bits(&End{Ran: time.Duration(until * float64(time.Second))})
			}
			if sum >= Enough {
				held++
			}
		}
		share := float64(held) / tries
		t.Logf("engines that end %.2f times a second: %d of %d requests wrongly held", rate, held, tries)
		if share > most {
			t.Errorf("engines that end %.2f times a second: expected a share of %g at the most, got %g", rate, most, share)
		}
	}
}

// What was answered whole ends nothing, and what is answered all the time is not suspected at all.
func TestServedClears(t *testing.T) {
	l := NewList()
	ends(l, "a", "c", 0, "e1", "e2")
	l.Served(of("a"))
	ends(l, "a", "c", 0, "e3", "e4", "e5")
	expectHeld(t, l, "a", false)
	if !l.Empty() {
		t.Error("expected nothing to be known of a request that was just answered")
	}
}

// A caller that fills the table on purpose takes nothing from others.
func TestFillsNobodyElses(t *testing.T) {
	l := NewList()
	ends(l, "deadly", "victim", 0, "e1", "e2", "e3")
	for n := range mostEnds + mostOfCaller {
		ends(l, fmt.Sprint(n), fmt.Sprint("caller", n%64), 0, "e1")
	}
	expectHeld(t, l, "deadly", true)
	for n := range 3 * mostOfCaller {
		ends(l, fmt.Sprint("more", n), "one", 0, "e1")
	}
	expectHeld(t, l, "deadly", true)
	if n, _ := l.Sizes(); n > mostEnds {
		t.Errorf("expected at most %d ends, got %d", mostEnds, n)
	}
	for caller, n := range l.of {
		if n > mostOfCaller {
			t.Errorf("caller %s: expected at most %d ends, got %d", caller, mostOfCaller, n)
		}
	}
}

// Rows that others wrote count, those that nobody here can have written do not, and a row that goes
// is gone.
func TestRows(t *testing.T) {
	writer, l := NewList(), NewList()
	ends(writer, "deadly", "a", 0, "e1", "e2", "e3")
	rows, _ := writer.batch()
	l.SetRows(rows)
	expectHeld(t, l, "deadly", true)
	for key, text := range rows {
		rows["x"+key[1:]] = text                                  // The fingerprint is no number, or another one.
		rows[key[:len(key)-1]+"z"] = text                         // It names another endpoint.
		rows[key+"."] = []byte(`{"endpoint":7}`)                  // A field of another type.
		rows[of("b").String()+".00"] = []byte(`{"endpoint":"e"}`) // Half a row.
		break
	}
	rows[""] = nil
	l.SetRows(rows)
	if n, _ := l.Sizes(); n != 3 {
		t.Errorf("expected three ends, got %d", n)
	}
	l.SetRows(nil)
	if !l.Empty() {
		t.Error("expected nothing to be known once the rows are gone")
	}
}

func FuzzRow(f *testing.F) {
	l := NewList()
	ends(l, "a", "b", time.Second, "e")
	rows, _ := l.batch()
	for key, text := range rows {
		f.Add(key, text)
	}
	f.Fuzz(func(t *testing.T, key string, text []byte) {
		l := NewList()
		l.SetRows(map[string][]byte{key: text})
		if e, ok := parse(key, text); ok && e.key() != key {
			t.Errorf("expected the key %s, got %s", key, e.key())
		}
	})
}

// A verdict is over after its time, also where the box was suspended for a part of that.
func TestVerdictEnds(t *testing.T) {
	var asleep time.Duration
	defer clock.Set(func() time.Duration { return asleep })()
	l := NewList()
	ends(l, "deadly", "a", 0, "e1", "e2", "e3")
	asleep = keptFor - time.Second
	l.expire(keptFor)
	expectHeld(t, l, "deadly", true)
	asleep = keptFor + time.Second
	l.expire(keptFor)
	expectHeld(t, l, "deadly", false)
	if n, held := l.Sizes(); n != 0 || held != 0 {
		t.Errorf("expected nothing to be kept, got %d ends of which %d requests are held", n, held)
	}
}

// rowsOf is the table that has a list's ends.
func rowsOf(l *List) map[string][]byte {
	rows := map[string][]byte{}
	for key, k := range l.ends {
		rows[key] = k.row()
	}
	return rows
}

func TestRequestStaysHeldWhenTheTableComesBackOlder(t *testing.T) {
	l, told := NewList(), NewList()
	for _, e := range []string{"e1", "e2", "e3"} {
		l.Ended(End{Request: of("deadly"), Endpoint: e, Caller: "a", Ran: 100 * time.Millisecond, Sent: clock.Now()})
	}
	put, _ := l.batch()
	l.wrote(put, nil)
	for _, box := range []*List{l, told} {
		box.SetRows(rowsOf(l))
		expectHeld(t, box, "deadly", true)
		box.Restored(0)
		box.SetRows(nil)
		expectHeld(t, box, "deadly", true)
		box.SetRows(nil) // A later change, of another row.
		expectHeld(t, box, "deadly", true)
	}
	if put, _ := told.batch(); len(put) != 0 {
		t.Errorf("expected a box that was told to leave the writing to the one that saw it, got %d rows", len(put))
	}
	if put, _ := l.batch(); len(put) != 3 {
		t.Errorf("expected the box that saw the ends to write them again at once, got %d rows", len(put))
	}
}

func TestEndThatWasClearedDoesNotComeBackWithAnOlderTable(t *testing.T) {
	l := NewList()
	ends(l, "fine", "a", 100*time.Millisecond, "e1", "e2", "e3")
	rows := rowsOf(l)
	l.batch()
	l.SetRows(rows)
	l.Served(of("fine"))
	_, remove := l.batch()
	l.wrote(nil, remove)
	l.SetRows(nil)
	l.Restored(0)
	l.SetRows(rows)
	expectHeld(t, l, "fine", false)
	if _, remove := l.batch(); len(remove) != 3 {
		t.Errorf("expected the rows to be taken out again, got %d", len(remove))
	}
}

// The ends of a box that is gone are written again by the others, by few of them.
func TestEndsOfABoxThatIsGoneAreWrittenAgainByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const boxes = 400
		s := fleet(ctx, boxes, 1)
		lost := NewList()
		ends(lost, "deadly", "a", 100*time.Millisecond, "e1", "e2", "e3")
		rows := rowsOf(lost)
		for _, l := range s.boxes {
			l.SetRows(rows)
			l.Restored(boxes * 25 * time.Millisecond)
			l.SetRows(nil)
		}
		time.Sleep(time.Minute)
		calls, written := s.counts()
		if written != len(rows) || calls > boxes/10 {
			t.Errorf("expected %d rows by %d calls at the most, got %d rows by %d calls", len(rows), boxes/10, written, calls)
		}
		for _, l := range s.boxes {
			expectHeld(t, l, "deadly", true)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
