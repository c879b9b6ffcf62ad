package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

func partOf(id string) Part { return NewPart("m", id) }

func partsOf(ids ...string) (parts []Part) {
	for _, id := range ids {
		parts = append(parts, partOf(id))
	}
	return parts
}

// crashUnder records the crash of an endpoint under a request with parts in its prompt.
func crashUnder(l *List, endpoint, request string, parts ...string) {
	l.RecordCrash(Crash{Request: fingerprintOf(request), Endpoint: endpoint, Caller: "c", RunTime: 80 * time.Millisecond, SentAt: clock.Now().Add(-80 * time.Millisecond), Parts: partsOf(parts...)})
}

// crashThree records three crashes under different requests with the parts that parts returns for each.
func crashThree(l *List, parts func(n int) []string) {
	for n := range 3 {
		crashUnder(l, fmt.Sprint("e", n), fmt.Sprint("r", n), parts(n)...)
	}
}

// writeRows has the table accept all that a box has to write.
func writeRows(l *List) { l.markWritten(l.nextBatch()) }

func noAccount() string { return "" }

func stateOf(l *List, id string) PartState {
	if v := l.CheckParts(partsOf(id), noAccount); v != nil {
		return v.State
	}
	return Released
}

func expectPart(t *testing.T, l *List, id string, want PartState) {
	t.Helper()
	if got := stateOf(l, id); got != want {
		t.Errorf("part %s: expected %s, got %s", id, want, got)
	}
}

// rowsWith returns the keys of the rows with a prefix that a list knows.
func (l *List) rowsWith(prefix string) (keys []string) {
	for key := range l.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// rowsOf returns the table after a box has written all that it knows.
func rowsOf(l *List) map[string][]byte {
	rows := map[string][]byte{}
	for key, row := range l.rows {
		rows[key] = row.value
	}
	return rows
}

// Different requests with one part crash engines. The part is suspected at the third crash and quarantined a little later,
// although no two requests are alike.
func TestPartIsQuarantinedUnderDifferentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewList()
		var states []string
		l.OnPart = func(v PartVerdict) { states = append(states, v.State.String()) }
		for n := range 3 {
			expectPart(t, l, "bad", Released)
			crashUnder(l, fmt.Sprint("e", n), fmt.Sprint("r", n), fmt.Sprint("own", n), "bad")
		}
		expectPart(t, l, "bad", Suspected)
		writeRows(l)
		time.Sleep(verifyTime)
		synctest.Wait()
		expectPart(t, l, "bad", Quarantined)
		expectPart(t, l, "own1", Released)
		if got := strings.Join(states, " "); got != "suspected quarantined" {
			t.Errorf("unexpected changes: %s", got)
		}
		if l.Check(fingerprintOf("r1")).Quarantined {
			t.Error("expected no whole request to be quarantined")
		}
	})
}

// Five crashes suffice, however long the runs had waited at the engines, and one request that is repeated does not.
func TestFiveCrashesSuffice(t *testing.T) {
	slow, repeated := NewList(), NewList()
	for n := range 5 {
		slow.RecordCrash(Crash{Request: fingerprintOf(fmt.Sprint(n)), Endpoint: fmt.Sprint("e", n), RunTime: 9 * time.Second, Parts: partsOf("bad")})
		crashUnder(repeated, fmt.Sprint("e", n), "same", "bad")
	}
	expectPart(t, slow, "bad", Suspected)
	expectPart(t, repeated, "bad", Released)
	crashUnder(repeated, "e5", "other", "bad")
	expectPart(t, repeated, "bad", Suspected)
}

// What lies beside a crash is not blamed: the shared first part, and the streams beside the request that crashes engines.
func TestPartsBesideCrashesAreNotBlamed(t *testing.T) {
	l := NewList()
	l.RecordLasted(partsOf("shared"))
	for n := range 5 {
		e := fmt.Sprint("e", n)
		crashUnder(l, e, fmt.Sprint("bad", n), "shared", "bad")
		for beside := range 4 {
			crashUnder(l, e, fmt.Sprint("beside", beside), "shared", fmt.Sprint("session", beside))
		}
	}
	expectPart(t, l, "bad", Suspected)
	for _, id := range []string{"shared", "session0", "session3"} {
		expectPart(t, l, id, Released)
	}
	if l.Check(fingerprintOf("beside1")).Quarantined {
		t.Error("expected a request beside the crashes not to be quarantined: the part explains them")
	}
}

// Of parts that were always together, the one that the fewest requests share is blamed, until crashes show another one.
func TestEarlierPartIsBlamedOnceItAloneExplains(t *testing.T) {
	l := NewList()
	crashThree(l, func(int) []string { return []string{"first", "second"} })
	expectPart(t, l, "second", Suspected)
	expectPart(t, l, "first", Released)
	for n := range 3 {
		crashUnder(l, fmt.Sprint("f", n), fmt.Sprint("other", n), "first", fmt.Sprint("x", n))
	}
	expectPart(t, l, "first", Suspected)
	expectPart(t, l, "second", Released)
}

// Two parts that crash engines at the same time are both found, and what both share is not blamed.
func TestTwoPartsAtOnce(t *testing.T) {
	l := NewList()
	for n := range 6 {
		crashUnder(l, fmt.Sprint("e", n), fmt.Sprint("r", n), "shared", fmt.Sprint("bad", n%2))
	}
	expectPart(t, l, "bad0", Suspected)
	expectPart(t, l, "bad1", Suspected)
	expectPart(t, l, "shared", Released)
}

// A run that lasts clears its parts, whenever it does: before the crashes, between them and after them.
func TestRunThatLastedClearsParts(t *testing.T) {
	for _, lastedAfter := range []int{0, 2, 3} {
		l := NewList()
		for n := range 3 {
			if n == lastedAfter {
				l.RecordLasted(partsOf("sound"))
			}
			crashUnder(l, fmt.Sprint("e", n), fmt.Sprint("r", n), "sound")
		}
		if lastedAfter == 3 {
			expectPart(t, l, "sound", Suspected)
			l.RecordLasted(partsOf("sound"))
		}
		expectPart(t, l, "sound", Released)
	}
}

// A part that was sound becomes one that crashes engines, for example by a release of their software.
func TestPartThatWasSoundIsQuarantinedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewList()
		l.RecordLasted(partsOf("part"))
		time.Sleep(servedTTL + time.Second)
		crashThree(l, func(int) []string { return []string{"part"} })
		expectPart(t, l, "part", Suspected)
		writeRows(l)
		time.Sleep(2 * verifyTime)
		expectPart(t, l, "part", Quarantined)
	})
}

// Callers can name any part. One account whose requests crash engines gets no other account's requests quarantined, unless
// those crash engines too.
func TestOneAccountDoesNotBlameAnother(t *testing.T) {
	l := NewList()
	record := func(n int, account string) {
		l.RecordCrash(Crash{Request: fingerprintOf(fmt.Sprint(n)), Endpoint: fmt.Sprint("e", n), RunTime: 80 * time.Millisecond, Parts: partsOf("bad"), Account: Tag(account)})
	}
	for n := range 4 {
		record(n, "stranger")
	}
	check := func(account string) *PartVerdict {
		return l.CheckParts(partsOf("bad"), func() string { return Tag(account) })
	}
	if check("stranger") == nil || check("customer") != nil {
		t.Error("expected only the requests of the stranger to be suspected")
	}
	record(4, "customer")
	if check("customer") == nil {
		t.Error("expected the requests of all accounts to be suspected")
	}
}

// A box that does not run a sound part itself sees only its crashes. It learns from the other boxes that their runs lasted,
// before it quarantines the part.
func TestPartIsClearedByRunsAtOtherBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 8, 1)
		for _, l := range s.boxes[1:] {
			l.RecordLasted(partsOf("shared"))
		}
		quarantined := false
		for _, l := range s.boxes {
			l.SetBoxes(len(s.boxes))
			l.OnPart = func(v PartVerdict) { quarantined = quarantined || v.Part == partOf("shared") && v.State == Quarantined }
		}
		for n := range 6 {
			crashUnder(s.boxes[0], fmt.Sprint("e", n), fmt.Sprint("r", n), "shared", fmt.Sprint("own", n))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, l := range s.boxes {
			expectPart(t, l, "shared", Released)
		}
		if quarantined {
			t.Error("expected the shared part not to be quarantined at any time")
		}
		_, rows := s.counts()
		if rows != 2*6+1 {
			t.Errorf("expected two rows for each crash and one that clears the part, got %d", rows)
		}
		cancel()
		synctest.Wait()
	})
}

// The store accepts nothing for a second when a box suspects a sound part, so the other boxes do not know of it. The box
// must not quarantine the part before they do and have had time to clear it.
func TestPartIsNotHeldBeforeOtherBoxesKnowOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 8, 1)
		s.propagationDelay = 100 * time.Millisecond // So that the longest maxClearDelay is within verifyTime.
		for _, l := range s.boxes[1:] {
			l.RecordLasted(partsOf("shared"))
		}
		quarantined := false
		for _, l := range s.boxes {
			l.SetBoxes(len(s.boxes))
			l.SetRows(nil) // The first read of the table, when the box starts.
			l.OnPart = func(v PartVerdict) { quarantined = quarantined || v.Part == partOf("shared") && v.State == Quarantined }
		}
		s.unavailable = true
		for n := range 6 {
			crashUnder(s.boxes[0], fmt.Sprint("e", n), fmt.Sprint("r", n), "shared", fmt.Sprint("own", n))
		}
		time.Sleep(900 * time.Millisecond)
		expectPart(t, s.boxes[0], "shared", Suspected)
		s.mu.Lock()
		s.unavailable = false
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		expectPart(t, s.boxes[0], "shared", Released)
		if quarantined {
			t.Error("expected the shared part not to be quarantined at any time")
		}
		cancel()
		synctest.Wait()
	})
}

// The row that clears a part is lost: another box replaced it by one about fewer crashes. It is written again.
func TestReplacedClearIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 3, 1)
		s.boxes[0].RecordLasted(partsOf("shared"))
		crashThree(s.boxes[1], func(int) []string { return []string{"shared"} })
		time.Sleep(2 * time.Second)
		_ = s.Write(ctx, map[string][]byte{clearRowPrefix + partOf("shared").String(): encodeClearRow([]string{endpointHash("e0")})}, nil)
		time.Sleep(3 * time.Second)
		late := s.lateBox()
		expectPart(t, late, "shared", Released)
		cancel()
		synctest.Wait()
	})
}

// A box that starts anew quarantines at once what the others have, and doesn't lose its earlier process's row.
func TestRestartedBoxKnowsQuarantinedParts(t *testing.T) {
	first, other, second := NewList(), NewList(), NewList()
	crashThree(first, func(int) []string { return []string{"bad"} })
	rows := rowsOf(first)
	other.SetRows(nil)
	other.SetRows(rows)
	expectPart(t, other, "bad", Suspected)
	second.SetRows(rows)
	expectPart(t, second, "bad", Quarantined)
	crashUnder(second, "e2", "r9", "more")
	for key, value := range rows {
		if other, changed := rowsOf(second)[key]; !changed || string(other) != string(value) {
			t.Errorf("expected the earlier row %s to stay", key)
		}
	}
	if keys := second.rowsWith(partRowPrefix); len(keys) != 4 {
		t.Errorf("expected four rows about parts, got %v", keys)
	}
}

// An older copy of the store comes back. What was quarantined and what was cleared stays so, at all boxes and at new ones.
func TestPartsAfterOlderStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 3, 1)
		s.boxes[2].RecordLasted(partsOf("shared"))
		crashThree(s.boxes[0], func(int) []string { return []string{"shared", "bad"} })
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		older := map[string][]byte{}
		for key, value := range s.rows {
			if strings.HasPrefix(key, partRowPrefix) && len(older) == 0 {
				older[key] = value
			}
		}
		s.rows = older
		s.mu.Unlock()
		for _, l := range s.boxes {
			l.ExpectRestoredRows(0)
			l.SetRows(maps.Clone(older))
			expectPart(t, l, "bad", Quarantined)
			expectPart(t, l, "shared", Released)
		}
		time.Sleep(10 * time.Second)
		late := s.lateBox()
		expectPart(t, late, "bad", Quarantined)
		expectPart(t, late, "shared", Released)
		cancel()
		synctest.Wait()
	})
}

// The store is away during the crashes. Each box decides by its own crashes, and all agree once the store is back.
func TestPartsWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 3, 1)
		s.unavailable = true
		crashThree(s.boxes[0], func(int) []string { return []string{"bad"} })
		expectPart(t, s.boxes[0], "bad", Suspected)
		time.Sleep(maxVerifyTime - time.Millisecond)
		expectPart(t, s.boxes[0], "bad", Suspected)
		time.Sleep(2 * time.Millisecond)
		expectPart(t, s.boxes[0], "bad", Quarantined)
		expectPart(t, s.boxes[1], "bad", Released)
		s.mu.Lock()
		s.unavailable = false
		s.mu.Unlock()
		time.Sleep(2 * maxRetryDelay)
		for _, l := range s.boxes {
			expectPart(t, l, "bad", Quarantined)
		}
		cancel()
		synctest.Wait()
	})
}

// Boxes ignore rows that no box can have written. They leave rows of other kinds alone, as boxes of other releases do.
func TestPartRowsOfAnotherWriter(t *testing.T) {
	writer, l := NewList(), NewList()
	crashThree(writer, func(int) []string { return []string{"bad"} })
	rows := rowsOf(writer)
	for key := range maps.Clone(rows) {
		if !strings.HasPrefix(key, partRowPrefix) {
			continue
		}
		rows["later."+key] = []byte("{}")
		rows[partRowPrefix+"00."+key] = rows[key]
		rows[key+"a"] = []byte(`{"endpoint":"e0","parts":[{"part":"xx"}]}`)
		rows[key+"b"] = []byte(`{"endpoint":"e0","parts":[{"part":"` + partOf("p").String() + `","bits":1e9}]}`)
		rows[key+"c"] = []byte(`{"endpoint":"e0","parts":[]}`)
	}
	rows[clearRowPrefix+"zz"] = []byte(`{"crashes":["00"]}`)
	rows[clearRowPrefix+partOf("bad").String()] = []byte(`{"crashes":"all"}`)
	l.SetRows(rows)
	expectPart(t, l, "bad", Quarantined)
	if keys := l.rowsWith(""); len(keys) != 6 {
		t.Errorf("expected three rows about requests and three about parts, got %v", keys)
	}
	l.expire(0)
	if _, remove := l.nextBatch(); len(remove) != 6 {
		t.Errorf("expected only known rows to be removed, got %v", remove)
	}
	expectPart(t, l, "bad", Released)
}

// The crashes of harmless streams fill the table, and don't displace those of a part that crashes engines.
func TestFullTableKeepsQuarantinedPart(t *testing.T) {
	l := NewList()
	crashThree(l, func(int) []string { return []string{"bad"} })
	for n := range 2 * maxPartCrashes {
		crashUnder(l, fmt.Sprint("f", n), fmt.Sprint("r", n), fmt.Sprint("p", n))
	}
	expectPart(t, l, "bad", Suspected)
	if n := len(l.parts.crashes); n > maxPartCrashes {
		t.Errorf("expected at most %d crashes, got %d", maxPartCrashes, n)
	}
}

// More crashes than a box records come from many boxes, as when racks of engines are lost. Not every box removes the same rows,
// and the rows that it has no room for don't displace others again at each change of the table.
func TestEvictedCrashesAreRemovedByTheirOwnBox(t *testing.T) {
	writer, l := NewList(), NewList()
	rows := map[string][]byte{}
	for n := range maxPartCrashes + 50 {
		crashUnder(writer, fmt.Sprint("f", n), fmt.Sprint("r", n), fmt.Sprint("p", n))
		for key, row := range writer.rows {
			if strings.HasPrefix(key, partRowPrefix) {
				rows[key] = row.value
			}
		}
	}
	for range 2 {
		l.SetRows(rows)
		if _, remove := l.nextBatch(); len(remove) > 0 || len(l.parts.crashes) != maxPartCrashes {
			t.Errorf("expected the rows of another box to stay, got %d removed and %d crashes", len(remove), len(l.parts.crashes))
		}
	}
	if len(l.parts.ignored) != 50 {
		t.Errorf("expected 50 rows to be ignored, got %d", len(l.parts.ignored))
	}
	for put, _ := writer.nextBatch(); len(put) > 0; put, _ = writer.nextBatch() {
		writer.markWritten(put, nil)
	}
	for n := range 10 {
		crashUnder(writer, fmt.Sprint("g", n), fmt.Sprint("r", n), fmt.Sprint("p", n))
	}
	if _, remove := writer.nextBatch(); len(remove) == 0 {
		t.Error("expected the box that wrote the rows to remove them")
	}
	l.SetRows(nil)
	if len(l.parts.ignored) != 0 {
		t.Error("expected rows that are gone not to be remembered")
	}
}

// An operator lets requests with a part go on. All boxes follow, the requests beside the crashes are not blamed for them,
// and the part is quarantined again if it crashes engines again.
func TestLiftedPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 3, 1)
		for n := range 3 {
			crashUnder(s.boxes[0], fmt.Sprint("e", n), fmt.Sprint("r", n), "bad")
			crashUnder(s.boxes[1], fmt.Sprint("e", n), "beside")
		}
		time.Sleep(3 * time.Second)
		expectPart(t, s.boxes[2], "bad", Quarantined)
		if !s.boxes[2].LiftPart(partOf("bad")) || s.boxes[2].LiftPart(partOf("bad")) || s.boxes[2].LiftPart(partOf("unknown")) {
			t.Error("expected the part to be lifted once")
		}
		time.Sleep(3 * time.Second)
		for _, l := range s.boxes {
			expectPart(t, l, "bad", Released)
			expectQuarantined(t, l, "beside", false)
		}
		for n := range 3 {
			crashUnder(s.boxes[0], fmt.Sprint("f", n), fmt.Sprint("s", n), "bad")
		}
		time.Sleep(3 * time.Second)
		for _, l := range s.boxes {
			expectPart(t, l, "bad", Quarantined)
		}
		if got := s.boxes[1].Parts(); len(got) != 1 || len(got[0].Crashes) != 3 || got[0].Requests != 3 {
			t.Errorf("unexpected evidence: %v", got)
		}
		cancel()
		synctest.Wait()
	})
}

// An operator lets a whole request go on.
func TestLiftedRequest(t *testing.T) {
	l := NewList()
	recordCrashes(l, "deadly", "c", 0, "e1", "e2", "e3")
	if got := l.Requests(); len(got) != 1 || got[0].Request != fingerprintOf("deadly") || len(got[0].Crashes) != 3 {
		t.Errorf("unexpected verdicts: %v", got)
	}
	if !l.LiftRequest(fingerprintOf("deadly")) || l.LiftRequest(fingerprintOf("deadly")) {
		t.Error("expected the request to be lifted once")
	}
	expectQuarantined(t, l, "deadly", false)
}

// A part that all requests share is blamed wrongly. One request with it runs as a trial and clears it. A part that crashes
// engines has its first trial much later, and the next ones later still.
func TestTrialClearsPartThatWasBlamedWrongly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewList()
		for n := range 3 {
			crashUnder(l, fmt.Sprint("e", n), fmt.Sprint("r", n), "shared")
			crashUnder(l, fmt.Sprint("e", n), fmt.Sprint("s", n), "shared")
			crashUnder(l, fmt.Sprint("f", n), fmt.Sprint("t", n), "bad")
		}
		expectTrial := func(id string, want bool, others ...string) {
			t.Helper()
			parts := append(partsOf(id), partsOf(others...)...)
			if n := l.TrialBoxes(partOf(id), parts); n > 0 != want {
				t.Errorf("part %s: expected a trial to be due: %t, got %d boxes", id, want, n)
			}
		}
		expectTrial("shared", false)
		writeRows(l)
		time.Sleep(verifyTime + sharedTrialDelay)
		expectTrial("shared", true)
		expectTrial("shared", false, "bad")
		expectTrial("bad", false)
		if !l.StartTrial(partOf("shared")) || l.StartTrial(partOf("shared")) {
			t.Error("expected one trial at a time")
		}
		expectTrial("shared", false)
		l.RecordLasted(partsOf("shared"))
		expectPart(t, l, "shared", Released)
		expectPart(t, l, "bad", Quarantined)
		time.Sleep(trialDelay)
		expectTrial("bad", true)
		crashUnder(l, "f9", "t9", "bad") // Another box's trial.
		expectTrial("bad", false)
		time.Sleep(trialFactor * trialDelay)
		expectTrial("bad", true)
	})
}

// The worker is back under its ID before the list shows its new start. Its second crash counts as another one.
func TestPartCrashOfStartNotYetListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewList()
		for n := range 3 {
			crashUnder(l, "i-5@a", fmt.Sprint("r", n), "bad")
			crashUnder(l, "i-5@a", fmt.Sprint("beside", n), fmt.Sprint("x", n)) // The same crash.
			writeRows(l)
			time.Sleep(time.Second)
		}
		time.Sleep(verifyTime)
		expectPart(t, l, "bad", Quarantined)
		if got := l.Parts()[0].Crashes; !slices.Equal(got, []string{"i-5@a", "i-5@a+2", "i-5@a+3"}) {
			t.Errorf("unexpected crashes: %v", got)
		}
	})
}

func FuzzPartRow(f *testing.F) {
	l := NewList()
	crashThree(l, func(int) []string { return []string{"bad", "x"} })
	for key, value := range rowsOf(l) {
		f.Add(key, value)
	}
	f.Add(clearRowPrefix+partOf("bad").String(), encodeClearRow([]string{endpointHash("e0")}))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		l := NewList()
		crashThree(l, func(int) []string { return []string{"bad"} })
		l.SetRows(map[string][]byte{key: value})
		l.SetRows(nil)
		l.expire(0)
	})
}
