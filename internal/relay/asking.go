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

// turn is how the boxes that deal with engines of a service take turns at asking them.
type turn struct {
	// round is the time in which all engines may be asked once, by the streams that there are.
	round time.Duration
	// spread is the time over which the boxes that deal with an engine are spread, so that one asks
	// and the others hear its answer.
	spread time.Duration
}

// wait is what has to pass before an engine is asked: a time, and a number of rounds.
type wait struct {
	time   time.Duration
	rounds float64
}

// waits are those of an engine that was heard of and of one that never was. Both have a part that is drawn
// for each box and engine. It is drawn apart from what a box deals with: of that it is the engines with the
// highest draws, which all boxes would ask at one moment.
func (t turn) waits(box string, e Endpoint) (again, first wait) {
	after := askAfterDecode
	if e.Role == decide.Prefill {
		after = askAfterPrefill
	}
	drawn := float64(xxhash.Sum64String("ask "+box+" "+e.ID)>>11) / (1 << 53)
	first = wait{time.Duration(drawn * float64(t.spread)), drawn * max(1, t.spread.Seconds()/t.round.Seconds())}
	return wait{after + first.time, 1 + first.rounds}, first
}

// left is the time until a wait is over that began so long ago, at a number of rounds.
func (t turn) left(w wait, ago time.Duration, rounds float64) time.Duration {
	return max(w.time-ago, seconds((w.rounds-rounds)*t.round.Seconds()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rounds are how often all engines of a service might have been asked, as of a time.
type rounds struct {
	done float64
	at   time.Time
}

// heard is when an engine was heard of last, or first seen.
type heard struct {
	at     time.Time
	rounds float64
	// seen says that the engine was seen on the list only.
	seen bool
}

// pass counts the rounds of a service up to now, of which one takes so long at present.
func (f *fleet) pass(service string, now time.Time, round time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rounds == nil {
		f.rounds = map[string]rounds{}
	}
	r, counted := f.rounds[service]
	if counted {
		r.done += max(0, now.Sub(r.at).Seconds()) / round.Seconds()
	}
	r.at = now
	f.rounds[service] = r
}

// askInTurn notes that an engine is asked now if it is due, and returns the time until it is otherwise.
func (f *fleet) askInTurn(e Endpoint, now time.Time, t turn, again, first wait) (ask bool, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := f.rounds[e.Service].done
	h, known := f.heard[e.ID]
	if !known {
		h = heard{at: now, rounds: done, seen: true}
		f.setHeard(e.ID, h)
	}
	w := again
	if h.seen {
		w = first
	}
	if left = t.left(w, now.Sub(h.at), done-h.rounds); left > 0 {
		return false, left
	}
	f.setHeard(e.ID, heard{at: now, rounds: done})
	return true, askIdle
}

// asked notes that an engine is asked now, unless it was heard of within a time.
func (f *fleet) asked(id string, now time.Time, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, known := f.heard[id]; known && !h.seen && now.Sub(h.at) < within {
		return false
	}
	f.heardOf(id, now)
	return true
}

// heardOf notes that an engine was heard of. The lock is held.
func (f *fleet) heardOf(id string, now time.Time) {
	h := heard{at: now}
	if i, listed := f.index[id]; listed {
		h.rounds = f.rounds[f.endpoints[i].Service].done
	}
	f.setHeard(id, h)
}

func (f *fleet) setHeard(id string, h heard) {
	if f.heard == nil {
		f.heard = map[string]heard{}
	}
	f.heard[id] = h
}
