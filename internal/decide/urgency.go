package decide

import "time"

// urgency knows how much of the work has a tighter target than a request. Engines
// read the most urgent prompts first, so a request waits for the prompt being read
// and for what is at least as urgent, not for all that is queued.
type urgency struct{ classes []urgencyClass }

// urgencyClass is the recent work of requests with one first-token target.
type urgencyClass struct {
	target time.Duration
	work   float64       // Decaying sum of seconds.
	job    time.Duration // Mean reading time of one.
	late   time.Duration // How much later than predicted prompts were read lately.
}

const (
	// urgencyDecay fades the sums with each arrival.
	urgencyDecay = 0.995
	// maxClasses bounds the targets told apart; others count as the last one.
	maxClasses = 16
	jobBlend   = 0.05
	// latenessFade is what stays of a lateness that caused a refusal.
	latenessFade = 0.5
)

// class is the target that says how urgent a request is. One that may be late goes
// after all others, whatever its target.
func (f *flight) class() time.Duration {
	if f.yields {
		return patientWait
	}
	return f.FirstToken
}

func (u *urgency) arrived(f *flight) {
	i := 0
	for i < len(u.classes) && u.classes[i].target != f.class() {
		i++
	}
	if i == len(u.classes) && i < maxClasses {
		u.classes = append(u.classes, urgencyClass{target: f.class(), job: f.work[Prefill]})
	}
	for j := range u.classes {
		u.classes[j].work *= urgencyDecay
	}
	c := &u.classes[min(i, len(u.classes)-1)]
	c.work += f.work[Prefill].Seconds()
	c.job += time.Duration(jobBlend * float64(f.work[Prefill]-c.job))
}

// wasLate takes how much later than predicted a prompt was read. What other boxes
// send to the same engines is known only from lagging reports; what a box cannot
// see it learns from what happened to its own requests.
func (u *urgency) wasLate(f *flight, late time.Duration) {
	for i := range u.classes {
		if c := &u.classes[i]; c.target == f.class() {
			c.late = max(0, c.late+time.Duration(surpriseBlend*float64(late-c.late)))
		}
	}
}

// doubted fades the lateness of a class whose requests are refused for it alone:
// otherwise nothing would run any more that could prove it wrong.
func (u *urgency) doubted(f *flight) {
	for i := range u.classes {
		if c := &u.classes[i]; c.target == f.class() {
			c.late = time.Duration(latenessFade * float64(c.late))
		}
	}
}

func (u *urgency) lateness(f *flight) time.Duration {
	for _, c := range u.classes {
		if c.target == f.class() {
			return c.late
		}
	}
	return 0
}

// wait predicts how long a request waits before an engine with so much queued: for
// the prompt being read, and for what is queued and at least as urgent.
//
// Example: 500 ms are queued, a tenth of all work is as urgent as the request, and
// the others take 170 ms each. It waits for the one being read, and a tenth of the
// rest: 170 and 33 ms.
func (u *urgency) wait(f *flight, queued time.Duration) (reading, ahead time.Duration) {
	all, urgent, longest := 0.0, 0.0, time.Duration(0)
	for _, c := range u.classes {
		all += c.work
		if c.target <= f.class() {
			urgent += c.work
		} else {
			longest = max(longest, c.job)
		}
	}
	if all == 0 || longest == 0 {
		return 0, queued
	}
	reading = min(queued, longest)
	return reading, time.Duration(urgent / all * float64(queued-reading))
}
