package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file lets single requests with a quarantined part run, to find out whether the part was blamed wrongly. A quarantined
// part has no runs that could clear it. If each request of a route has the part, the route would stand still until the
// crashes expire. A trial may cost an engine, so there are few.

const (
	// The first trial follows trialDelay after the quarantine of a part. If the part had several runs in some crash, it
	// follows after sharedTrialDelay: a part that crashes endpoints does so as soon as a run begins to write, and rarely has
	// another run beside it. After each trial, and after each crash under the part, all boxes wait trialFactor times longer.
	trialDelay       = 30 * time.Second
	sharedTrialDelay = 2 * time.Second
	trialFactor      = 8
	// trialSpread is the time after which one more box may make a trial that is due, for the case that the boxes before it
	// get no such request.
	trialSpread = 3 * time.Second
)

// trialState is when a part may have its next trial.
type trialState struct {
	next  time.Time
	delay time.Duration
}

// TrialBoxes returns how many boxes may now let a request run although a part of its prompt is quarantined; 0 if none may.
// Which boxes these are must be the same in the view of all boxes. There must be little evidence against the other parts of
// the request, because these might crash the endpoint and have the trial fail.
func (l *List) TrialBoxes(p Part, parts []Part) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	next, ok := l.nextTrial(p)
	if !ok || now.Before(next) {
		return 0
	}
	for _, other := range parts {
		if other != p && l.evidence(other) >= ThresholdBits/2 {
			return 0
		}
	}
	return 1 + int(now.Sub(next)/trialSpread)
}

// IsTrialBox reports whether this box is one of the n that may make a trial, if it has no list of the boxes. The processes whose
// rows name the part are then taken for the boxes: all boxes read the same rows. A process without such a row comes last.
func (l *List) IsTrialBox(p Part, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	observers := map[string]bool{}
	for _, c := range l.parts.crashes {
		for key, row := range c.rows {
			if _, named := row[p]; named {
				observers[key[strings.LastIndexByte(key, '.')+1:]] = true
			}
		}
	}
	own := trialRank(l.parts.instance, p)
	before := 0
	for instance := range observers {
		if !observers[l.parts.instance] || trialRank(instance, p) > own {
			before++
		}
	}
	return before < n
}

// trialRank is the rank of a process among those that may make a trial with a part.
func trialRank(instance string, p Part) string {
	return endpointHash(instance + " " + p.String())
}

// StartTrial records that this box lets a request run. It returns false if another request was faster.
func (l *List) StartTrial(p Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if next, ok := l.nextTrial(p); !ok || now.Before(next) {
		return false
	}
	l.delayTrial(p, now)
	return true
}

// delayTrial postpones the next trial of a part. l.mu must be held.
func (l *List) delayTrial(p Part, now time.Time) {
	delay := trialFactor * max(l.firstTrialDelay(p), l.parts.trials[p].delay)
	l.parts.trials[p] = trialState{now.Add(delay), delay}
}

// evidence adds up the evidence against a part, also of crashes that another part explains. l.mu must be held.
func (l *List) evidence(p Part) float64 {
	crashes := map[string]suspects{}
	for endpoint, c := range l.parts.crashes {
		if e, ok := c.uncleared()[p]; ok {
			crashes[endpoint] = suspects{p: e}
		}
	}
	return tallyPart(p, crashes, slices.Collect(maps.Keys(crashes))).bits
}

// nextTrial returns when a part may have its next trial; ok is false if it may have none. l.mu must be held.
func (l *List) nextTrial(p Part) (next time.Time, ok bool) {
	v := l.parts.verdicts[p]
	if v == nil || v.State != Quarantined {
		return next, false
	}
	if t, tried := l.parts.trials[p]; tried {
		return t.next, true
	}
	return v.Since.Add(verifyTime + l.firstTrialDelay(p)), true
}

// firstTrialDelay returns the time from the quarantine of a part until its first trial. A quarantine that came later than
// verifyTime after the evidence sufficed counts from then. l.mu must be held.
func (l *List) firstTrialDelay(p Part) time.Duration {
	if v := l.parts.verdicts[p]; v != nil && v.Shared {
		return sharedTrialDelay
	}
	return trialDelay
}
