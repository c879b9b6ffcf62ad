package decide

import "time"

// urgency tracks how the recent work is distributed over first-token targets. Engines
// prefill the most urgent prompts first, so a request waits for the prompt in progress and
// for work of at least the same urgency, not for all that is queued.
type urgency struct{ classes []urgencyClass }

// urgencyClass is the recent work of requests with one first-token target.
type urgencyClass struct {
	target      time.Duration
	recentWork  float64       // Decaying sum of prefill seconds.
	meanPrefill time.Duration // Mean prefill time of one request.
	lateness    time.Duration // Mean delay of recent prefills against their prediction.
}

const (
	// workDecay is applied to the sums with each arrival.
	workDecay = 0.995
	// maxUrgencyClasses bounds the distinct targets; further ones count as the last.
	maxUrgencyClasses = 16
	meanPrefillBlend  = 0.05
	// refusedLatenessFactor scales a lateness that caused a refusal.
	refusedLatenessFactor = 0.5
)

// urgencyTarget is the target that determines the urgency of a request. One that may be
// late goes after all others, whatever its first-token target.
func (f *flight) urgencyTarget() time.Duration {
	if f.yieldsToOnTime {
		return defaultMaxWait
	}
	return f.FirstToken
}

func (u *urgency) addArrival(f *flight) {
	i := 0
	for i < len(u.classes) && u.classes[i].target != f.urgencyTarget() {
		i++
	}
	if i == len(u.classes) && i < maxUrgencyClasses {
		u.classes = append(u.classes, urgencyClass{target: f.urgencyTarget(), meanPrefill: f.work[Prefill]})
	}
	for j := range u.classes {
		u.classes[j].recentWork *= workDecay
	}
	c := &u.classes[min(i, len(u.classes)-1)]
	c.recentWork += f.work[Prefill].Seconds()
	c.meanPrefill += time.Duration(meanPrefillBlend * float64(f.work[Prefill]-c.meanPrefill))
}

// observeLateness records how much later than predicted a prompt was prefilled. Reports of
// what other boxes send to the same engines arrive late, so a box estimates the effect from
// its own requests.
func (u *urgency) observeLateness(f *flight, late time.Duration) {
	for i := range u.classes {
		if c := &u.classes[i]; c.target == f.urgencyTarget() {
			c.lateness = max(0, c.lateness+time.Duration(errorBlend*float64(late-c.lateness)))
		}
	}
}

// fadeLateness reduces the lateness of a class whose requests are refused only because of
// it: otherwise no request would run any more that could correct it.
func (u *urgency) fadeLateness(f *flight) {
	for i := range u.classes {
		if c := &u.classes[i]; c.target == f.urgencyTarget() {
			c.lateness = time.Duration(refusedLatenessFactor * float64(c.lateness))
		}
	}
}

func (u *urgency) lateness(f *flight) time.Duration {
	for _, c := range u.classes {
		if c.target == f.urgencyTarget() {
			return c.lateness
		}
	}
	return 0
}

// wait predicts how long a request waits for an engine with the given queue: for the prompt
// in progress, and for the queued work of at least the same urgency.
//
// Example: 500 ms are queued, a tenth of all work is as urgent as the request, and the other
// prompts take 170 ms each. It waits for the one in progress and for a tenth of the rest:
// 170 and 33 ms.
func (u *urgency) wait(f *flight, queued time.Duration) (inProgress, urgentQueue time.Duration) {
	all, urgent, longest := 0.0, 0.0, time.Duration(0)
	for _, c := range u.classes {
		all += c.recentWork
		if c.target <= f.urgencyTarget() {
			urgent += c.recentWork
		} else {
			longest = max(longest, c.meanPrefill)
		}
	}
	if all == 0 || longest == 0 {
		return 0, queued
	}
	inProgress = min(queued, longest)
	return inProgress, time.Duration(urgent / all * float64(queued-inProgress))
}
