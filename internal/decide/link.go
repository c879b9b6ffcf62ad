package decide

import (
	"slices"
	"time"
)

// link holds the known transfers over one engine's link, which they share evenly: those in
// progress and those whose prompt is still being prefilled.
type link struct{ transfers []transfer }

type transfer struct {
	id       ID
	ready    time.Time     // When the transfer started, or is expected to.
	duration time.Duration // Without sharing its links.
}

func (l *link) add(t transfer) { l.transfers = append(l.transfers, t) }

func (l *link) remove(id ID) {
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.id == id })
}

// delay predicts how much longer a transfer takes because of the others that share the
// link when it is ready. Sharing with k others makes it k+1 times as long, but never adds
// more than the total duration of the others.
//
// Example: two others need 130 ms each. A transfer of 2 ms takes 4 ms longer; one
// of 500 ms takes 260 ms longer.
func (l *link) delay(ready time.Time, duration time.Duration) time.Duration {
	k, sum := 0, time.Duration(0)
	for _, t := range l.transfers {
		if t.ready.After(ready) {
			continue
		}
		if rest := t.duration - ready.Sub(t.ready); rest > 0 {
			k++
			sum += t.duration
		}
	}
	return min(time.Duration(k)*duration, sum)
}

// planTransfer registers on both links a transfer that is ready at the given time.
func (f *flight) planTransfer(ready time.Time) {
	f.cancelTransfer()
	f.plannedLinks = [2]*engine{f.prefill, f.decode}
	t := transfer{f.ID, ready, transferTime(f.pool, f, f.prefill, f.decode)}
	for _, e := range f.plannedLinks {
		e.link.add(t)
	}
}

// cancelTransfer removes the transfer from its links, when it is done or abandoned.
func (f *flight) cancelTransfer() {
	for _, e := range f.plannedLinks {
		if e != nil {
			e.link.remove(f.ID)
		}
	}
	f.plannedLinks = [2]*engine{}
}

// transferTime is the time of a transfer without sharing, at the slower link's rate.
func transferTime(p *pool, f *flight, prefillEngine, decodeEngine *engine) time.Duration {
	rate := min(prefillEngine.LinkRate, decodeEngine.LinkRate)
	return seconds(float64(f.PromptTokens) * float64(p.KVBytesPerToken) / rate)
}

// predictTransfer is the time of a transfer that starts at ready and shares its links with others.
func predictTransfer(p *pool, f *flight, prefillEngine, decodeEngine *engine, ready time.Time) time.Duration {
	alone := transferTime(p, f, prefillEngine, decodeEngine)
	known := alone + max(prefillEngine.link.delay(ready, alone), decodeEngine.link.delay(ready, alone))
	return max(known, time.Duration(p.predictionError.transferSlowdown*float64(alone)))
}

// predictionError tracks how far recent predictions were off. Reports of what other boxes
// send to the same engines arrive late, and their transfers are not reported at all, so a
// box estimates both from the times of its own requests.
type predictionError struct {
	transferSlowdown float64 // Mean ratio of the actual transfer time to that without sharing.
	cacheErrorRate   float64 // Share of prompts with another amount cached than predicted.
}

// errorBlend is the weight of a new observation.
const errorBlend = 0.1

// observeCache compares the predicted number of cached prompt tokens with the actual one.
func (s *predictionError) observeCache(predicted, actual int) {
	mispredicted := 0.0
	if d := predicted - actual; d >= BlockTokens || d <= -BlockTokens {
		mispredicted = 1
	}
	s.cacheErrorRate += errorBlend * (mispredicted - s.cacheErrorRate)
}

// affinityFactor is how strongly a prefix favors its preferred engine. While this
// box's cache predictions are right they are the better guide. Where other boxes send the
// same prefixes to other engines, a common rule that depends on no observations is better.
func (s *predictionError) affinityFactor() float64 {
	return maxAffinityFactor * min(1, affinityGain*s.cacheErrorRate)
}

// minObservedTransfer is the least duration of a transfer to learn from: in shorter ones,
// other kinds of waiting dominate.
const minObservedTransfer = 2 * time.Millisecond

func (s *predictionError) observeTransfer(took, alone time.Duration) {
	if alone >= minObservedTransfer {
		s.transferSlowdown += errorBlend * (float64(took)/float64(alone) - s.transferSlowdown)
	}
}
