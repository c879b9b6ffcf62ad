package decide

import "time"

// urgency tracks how the recent prefill work is distributed over requests with different first-token targets. Engines
// prefill the most urgent prompts first. So a request does not wait for the whole queue. It waits for the prompt that
// is being prefilled, and for queued prompts that are at least as urgent as the request.
type urgency struct{ classes []urgencyClass }

// urgencyClass is the recent prefill work of all requests with the same first-token target.
type urgencyClass struct {
	target      time.Duration
	recentWork  float64       // Sum of prefill times in seconds, in which older requests count less.
	meanPrefill time.Duration // Mean prefill time of one request.
	lateness    time.Duration // Mean delay of recent prefills beyond their predicted end.
}

const (
	// workDecay is the factor by which each arriving request reduces the work of all classes.
	workDecay = 0.995
	// maxUrgencyClasses bounds the number of classes. Requests with further targets count in the last class.
	maxUrgencyClasses = 16
	meanPrefillBlend  = 0.05
	// refusedLatenessFactor is the factor by which a lateness is reduced after it caused a refusal.
	refusedLatenessFactor = 0.5
)

// urgencyTarget is the target by which the urgency of a request is judged. This is the first-token target. For a
// request that goes behind all requests that can still be on time, it is defaultMaxWait.
func (f *flight) urgencyTarget() time.Duration {
	if f.yieldsToOnTime {
		return defaultMaxWait
	}
	return f.FirstToken
}

// addArrival adds the prefill work of an arriving request to its class.
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

// observeLateness records how much later than predicted a prompt was prefilled. Such delays are due to prompts of other
// boxes. News of those prompts arrives late, so a box measures the delays on its own requests.
func (u *urgency) observeLateness(f *flight, late time.Duration) {
	for i := range u.classes {
		if c := &u.classes[i]; c.target == f.urgencyTarget() {
			c.lateness = max(0, c.lateness+time.Duration(errorBlend*float64(late-c.lateness)))
		}
	}
}

// fadeLateness reduces the lateness of the request's class. It is called when a request is refused only because of that
// lateness. Otherwise all requests of the class might be refused, and none would run and correct the lateness.
func (u *urgency) fadeLateness(f *flight) {
	for i := range u.classes {
		if c := &u.classes[i]; c.target == f.urgencyTarget() {
			c.lateness = time.Duration(refusedLatenessFactor * float64(c.lateness))
		}
	}
}

// lateness is the mean delay of recent prefills of the request's class, beyond their predicted end.
func (u *urgency) lateness(f *flight) time.Duration {
	for _, c := range u.classes {
		if c.target == f.urgencyTarget() {
			return c.lateness
		}
	}
	return 0
}

// wait predicts how long a request waits for a prefill engine. queued is the time that the engine needs for its whole
// queue. inProgress is the wait for a less urgent prompt that is being prefilled. urgentQueue is the wait for queued
// prompts that are at least as urgent as the request.
//
// Example: the queue takes 500 ms, a tenth of all recent work is at least as urgent as the request, and less
// urgent prompts take 170 ms each. The request waits 170 ms for the prompt that is being prefilled, and
// 33 ms for a tenth of the other 330 ms.
func (u *urgency) wait(f *flight, queued time.Duration) (inProgress, urgentQueue time.Duration) {
	allWork, urgentWork, longestOther := 0.0, 0.0, time.Duration(0)
	for _, c := range u.classes {
		allWork += c.recentWork
		if c.target <= f.urgencyTarget() {
			urgentWork += c.recentWork
		} else {
			longestOther = max(longestOther, c.meanPrefill)
		}
	}
	if allWork == 0 || longestOther == 0 {
		return 0, queued
	}
	inProgress = min(queued, longestOther)
	return inProgress, time.Duration(urgentWork / allWork * float64(queued-inProgress))
}
