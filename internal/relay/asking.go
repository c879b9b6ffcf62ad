package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// This file says when a box asks an engine for its load. Time alone does not say it: what all boxes may
// ask grows with their streams, and an engine that was last heard of a while ago would be due at once, on
// all boxes, as soon as more may be asked: 38 of the 96 that a box deals with, of 8,650, within five
// seconds as streams go on for a while, where seven are allowed (TestAsksNewInTurn). So the rounds are
// counted too in which all engines might have been asked once.

// pollSchedule is how the boxes that deal with engines of a service take turns at asking them.
type pollSchedule struct {
	// round is the time in which all engines may be asked once, by the streams that there are.
	round time.Duration
	// spread is the time over which the boxes that deal with an engine are spread, so that one asks
	// and the others hear its answer.
	spread time.Duration
}

// pollDelay is what has to pass before an engine is asked: a time, and a number of rounds.
type pollDelay struct {
	time   time.Duration
	rounds float64
}

// delays are those of an engine that was heard of and of one that never was. Both have a part that is drawn
// for each box and engine. It is drawn apart from what a box deals with: of that it is the engines with the
// highest draws, which all boxes would ask at one moment.
func (t pollSchedule) delays(box string, e Endpoint) (again, first pollDelay) {
	after := pollIntervalDecode
	if e.Role == decide.Prefill {
		after = pollIntervalPrefill
	}
	jitter := float64(xxhash.Sum64String("ask "+box+" "+e.ID)>>11) / (1 << 53)
	first = pollDelay{time.Duration(jitter * float64(t.spread)), jitter * max(1, t.spread.Seconds()/t.round.Seconds())}
	return pollDelay{after + first.time, 1 + first.rounds}, first
}

// remaining is the time until a wait is over that began so long ago, at a number of rounds.
func (t pollSchedule) remaining(w pollDelay, ago time.Duration, rounds float64) time.Duration {
	return max(w.time-ago, seconds((w.rounds-rounds)*t.round.Seconds()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// roundCount are how often all engines of a service might have been asked, as of a time.
type roundCount struct {
	completed float64
	at        time.Time
}

// lastReport is when an engine was lastReport of last, or first seen.
type lastReport struct {
	at     time.Time
	rounds float64
	// listedOnly says that the engine was listedOnly on the list only.
	listedOnly bool
}

// advanceRounds counts the rounds of a service up to now, of which one takes so long at present.
func (f *fleet) advanceRounds(service string, now time.Time, round time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rounds == nil {
		f.rounds = map[string]roundCount{}
	}
	r, counted := f.rounds[service]
	if counted {
		r.completed += max(0, now.Sub(r.at).Seconds()) / round.Seconds()
	}
	r.at = now
	f.rounds[service] = r
}

// claimPoll notes that an engine is asked now if it is due, and returns the time until it is otherwise.
func (f *fleet) claimPoll(e Endpoint, now time.Time, t pollSchedule, again, first pollDelay) (due bool, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := f.rounds[e.Service].completed
	h, known := f.lastReports[e.ID]
	if !known {
		h = lastReport{at: now, rounds: done, listedOnly: true}
		f.setLastReport(e.ID, h)
	}
	w := again
	if h.listedOnly {
		w = first
	}
	if left = t.remaining(w, now.Sub(h.at), done-h.rounds); left > 0 {
		return false, left
	}
	f.setLastReport(e.ID, lastReport{at: now, rounds: done})
	return true, maxPollPause
}

// claimStalePoll notes that an engine is claimStalePoll now, unless it was heard of within a time.
func (f *fleet) claimStalePoll(id string, now time.Time, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, known := f.lastReports[id]; known && !h.listedOnly && now.Sub(h.at) < within {
		return false
	}
	f.recordReport(id, now)
	return true
}

// recordReport notes that an engine was heard of. The lock is held.
func (f *fleet) recordReport(id string, now time.Time) {
	h := lastReport{at: now}
	if i, listed := f.index[id]; listed {
		h.rounds = f.rounds[f.endpoints[i].Service].completed
	}
	f.setLastReport(id, h)
}

func (f *fleet) setLastReport(id string, h lastReport) {
	if f.lastReports == nil {
		f.lastReports = map[string]lastReport{}
	}
	f.lastReports[id] = h
}
