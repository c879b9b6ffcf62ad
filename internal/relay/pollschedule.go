package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// This file decides when a box polls an engine for its load. A round is the time in which all engines may be polled
// once. An engine is due when enough time and enough rounds have passed. Time alone is not enough, because the rate of
// polls allowed to all boxes grows with their streams. When that rate rises, all engines that were polled a while ago
// would become due at the same moment, on all boxes. Example: a box has 96 of 8,650 engines. With a schedule by time
// alone, it polled 38 of these engines within five seconds, while streams went on. Seven polls are allowed
// (TestNewEnginesArePolledInTurn).

// pollSchedule spreads the polls of a service's engines over time. It also spreads them over the boxes that have the
// engines in their subsets.
type pollSchedule struct {
	// round is the time in which each engine is polled once at the rate allowed to all boxes.
	round time.Duration
	// spread is the range of the jitter between boxes that have the same engine in their subsets. The box with the
	// shortest jitter polls. The other boxes receive the load before they would poll.
	spread time.Duration
}

// pollDelay is what must pass before an engine is polled: an amount of time, and also a number of rounds.
type pollDelay struct {
	time   time.Duration
	rounds float64
}

// delays returns two delays for polls of an engine. again counts from an earlier poll. first is for an engine that was
// never polled. Both delays include a jitter that is fixed for each box and engine. The hash for the jitter differs
// from the hash that selects the box's subset. A subset has the engines with the highest hashes. With the same hash,
// all boxes that have an engine would therefore have similar jitters, and poll the engine at the same moment.
func (t pollSchedule) delays(box string, e Endpoint) (again, first pollDelay) {
	after := pollIntervalDecode
	if e.Role == decide.Prefill {
		after = pollIntervalPrefill
	}
	jitter := float64(xxhash.Sum64String("ask "+box+" "+e.ID)>>11) / (1 << 53)
	first = pollDelay{time.Duration(jitter * float64(t.spread)), jitter * max(1, t.spread.Seconds()/t.round.Seconds())}
	return pollDelay{after + first.time, 1 + first.rounds}, first
}

// remaining returns the time until a delay is over. ago is the time, and rounds the number of rounds, since the delay
// began.
func (t pollSchedule) remaining(delay pollDelay, ago time.Duration, rounds float64) time.Duration {
	return max(delay.time-ago, seconds((delay.rounds-rounds)*t.round.Seconds()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// roundCount is the number of rounds of a service that were completed at a time.
type roundCount struct {
	completed float64
	at        time.Time
}

// lastReport says when the load of an engine was last polled or received. If neither has happened yet, it says when
// this box first checked whether a poll of the engine was due.
type lastReport struct {
	at     time.Time
	rounds float64 // The completed rounds of the service at that time.
	// listedOnly is set while the load of the engine was neither polled nor received.
	listedOnly bool
}

// advanceRounds counts the rounds of a service up to now, at the present duration of a round.
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

// claimPoll reports whether a poll of an engine is due now. If a poll is due, claimPoll records the poll, and left is
// the time until the next check. If no poll is due, left is the time until one is due.
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

// claimStalePoll reports whether the last load of an engine is older than the duration within, or not known. If so, it
// records a poll now.
func (f *fleet) claimStalePoll(id string, now time.Time, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, known := f.lastReports[id]; known && !last.listedOnly && now.Sub(last.at) < within {
		return false
	}
	f.recordReport(id, now)
	return true
}

// recordReport records that an engine's load was received or polled now. f.mu is held.
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
