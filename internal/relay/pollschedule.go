package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// This file decides when a box polls an engine for its load. Time alone is not enough: the rate allowed to all
// boxes grows with their streams, so all engines polled a while ago would become due at once, on all boxes, as
// soon as the rate rises: while streams went on, a box polled 38 of its 96 engines, out of 8,650,
// within five seconds, where seven are allowed (TestNewEnginesArePolledInTurn). So the rounds are counted too; in
// one round all engines may be polled once.

// pollSchedule spreads the polls of a service's engines over the boxes that keep them.
type pollSchedule struct {
	// round is the time in which the allowed rate polls every engine once.
	round time.Duration
	// spread is the range of the jitter between boxes that keep the same engine: one polls, and the others receive
	// the result.
	spread time.Duration
}

// pollDelay is what must pass before an engine is polled: both a time and a number of rounds.
type pollDelay struct {
	time   time.Duration
	rounds float64
}

// delays returns the delay of an engine that was polled before, and of one that never was. Both include a jitter
// for each box and engine. Its hash differs from the one that selects the subset: a box keeps the engines with the
// highest subset ranks, so all boxes would poll an engine at the same moment.
func (t pollSchedule) delays(box string, e Endpoint) (again, first pollDelay) {
	after := pollIntervalDecode
	if e.Role == decide.Prefill {
		after = pollIntervalPrefill
	}
	jitter := float64(xxhash.Sum64String("ask "+box+" "+e.ID)>>11) / (1 << 53)
	first = pollDelay{time.Duration(jitter * float64(t.spread)), jitter * max(1, t.spread.Seconds()/t.round.Seconds())}
	return pollDelay{after + first.time, 1 + first.rounds}, first
}

// remaining returns the time until a delay is over that began ago and rounds before now.
func (t pollSchedule) remaining(delay pollDelay, ago time.Duration, rounds float64) time.Duration {
	return max(delay.time-ago, seconds((delay.rounds-rounds)*t.round.Seconds()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// roundCount counts the rounds of a service, as of a time.
type roundCount struct {
	completed float64
	at        time.Time
}

// lastReport is when an engine's load was last received or polled, or when the engine was first listed.
type lastReport struct {
	at     time.Time
	rounds float64
	// listedOnly is set while the engine was listed and no load was received.
	listedOnly bool
}

// advanceRounds counts the rounds of a service up to now, given the present duration of one.
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

// claimPoll records a poll of an engine now if one is due, and otherwise returns the time until it is.
func (f *fleet) claimPoll(e Endpoint, now time.Time, t pollSchedule, again, first pollDelay) (due bool, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	completed := f.rounds[e.Service].completed
	last, known := f.lastReports[e.ID]
	if !known {
		last = lastReport{at: now, rounds: completed, listedOnly: true}
		f.setLastReport(e.ID, last)
	}
	delay := again
	if last.listedOnly {
		delay = first
	}
	if left = t.remaining(delay, now.Sub(last.at), completed-last.rounds); left > 0 {
		return false, left
	}
	f.setLastReport(e.ID, lastReport{at: now, rounds: completed})
	return true, maxPollPause
}

// claimStalePoll records a poll of an engine now, unless its load was received within a time.
func (f *fleet) claimStalePoll(id string, now time.Time, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, known := f.lastReports[id]; known && !last.listedOnly && now.Sub(last.at) < within {
		return false
	}
	f.recordReport(id, now)
	return true
}

// recordReport records that an engine's load was received. f.mu is held.
func (f *fleet) recordReport(id string, now time.Time) {
	report := lastReport{at: now}
	if i, listed := f.index[id]; listed {
		report.rounds = f.rounds[f.endpoints[i].Service].completed
	}
	f.setLastReport(id, report)
}

func (f *fleet) setLastReport(id string, report lastReport) {
	if f.lastReports == nil {
		f.lastReports = map[string]lastReport{}
	}
	f.lastReports[id] = report
}
