package decide

import (
	"slices"
	"time"
)

// link holds the transfers that use the network link of one engine, as far as this box knows them. These are
// transfers in progress, and planned transfers of prompts that are still being prefilled. Transfers on the
// same link share its rate evenly.
type link struct{ transfers []transfer }

type transfer struct {
	id       ID
	ready    time.Time     // When the transfer started or is expected to start.
	duration time.Duration // How long the transfer takes if it does not share its links.
}

func (l *link) add(t transfer) { l.transfers = append(l.transfers, t) }

func (l *link) remove(id ID) {
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.id == id })
}

// delay predicts how much longer a transfer takes because it shares the link. The transfer starts at the time
// ready, and shares the link with the transfers that still run then. Each of these adds the new transfer's own
// duration. But the delay is at most the total duration of these transfers.
//
// Example: two other transfers take 130 ms each. A transfer of 2 ms then takes 4 ms longer, and a
// transfer of 500 ms takes 260 ms longer.
func (l *link) delay(ready time.Time, duration time.Duration) time.Duration {
	sharing, total := 0, time.Duration(0)
	for _, t := range l.transfers {
		if t.ready.After(ready) {
			continue
		}
		if remaining := t.duration - ready.Sub(t.ready); remaining > 0 {
			sharing++
			total += t.duration
		}
	}
	return min(time.Duration(sharing)*duration, total)
}

// planTransfer adds the request's transfer, which starts at the time ready, to the links of both engines. A
// transfer planned earlier is removed.
func (f *flight) planTransfer(ready time.Time) {
	f.cancelTransfer()
	f.plannedLinks = [2]*engine{f.prefill, f.decode}
	t := transfer{f.ID, ready, transferTime(f.pool, f, f.prefill, f.decode)}
	for _, e := range f.plannedLinks {
		e.link.add(t)
	}
}

// cancelTransfer removes the request's transfer from the links of both engines. The transfer is done or given up.
func (f *flight) cancelTransfer() {
	for _, e := range f.plannedLinks {
		if e != nil {
			e.link.remove(f.ID)
		}
	}
	f.plannedLinks = [2]*engine{}
}

// transferTime is how long the transfer of the request's KV cache takes at the rate of the slower link
// if no other transfer shares the links.
func transferTime(p *pool, f *flight, prefillEngine, decodeEngine *engine) time.Duration {
	rate := min(prefillEngine.LinkRate, decodeEngine.LinkRate)
	return seconds(float64(f.PromptTokens) * float64(p.KVBytesPerToken) / rate)
}

// predictTransfer is how long a transfer that starts at the time ready takes if it shares its links with
// other transfers.
func predictTransfer(p *pool, f *flight, prefillEngine, decodeEngine *engine, ready time.Time) time.Duration {
	alone := transferTime(p, f, prefillEngine, decodeEngine)
	known := alone + max(prefillEngine.link.delay(ready, alone), decodeEngine.link.delay(ready, alone))
	return max(known, time.Duration(p.predictionError.transferSlowdown*float64(alone)))
}

// predictionError tracks by how much recent predictions of cached tokens and transfer times were wrong. Other
// boxes are the cause. News of the prompts that they send to the same engines arrives late, and there is no
// news of their transfers. So a box measures the errors on its own requests.
type predictionError struct {
	transferSlowdown float64 // Mean ratio of the real transfer time to the time without sharing.
	cacheErrorRate   float64 // Share of prompts whose cached part differed from the prediction by a block or more.
}

// errorBlend is the weight of a new observation in the running means.
const errorBlend = 0.1

// observeCache compares the predicted number of cached prompt tokens with the actual number, and updates the error
// rate.
func (s *predictionError) observeCache(predicted, actual int) {
	mispredicted := 0.0
	if d := predicted - actual; d >= BlockTokens || d <= -BlockTokens {
		mispredicted = 1
	}
	s.cacheErrorRate += errorBlend * (mispredicted - s.cacheErrorRate)
}

// affinityFactor says how much cheaper the preferred engine of a prefix is made. As long as the box predicts
// correctly which engine has the prefix in its cache, the predictions are the better guide. The predictions fail if
// other boxes send the same prefix to other engines. Then it is better that all boxes prefer the same engine.
func (s *predictionError) affinityFactor() float64 {
	return maxAffinityFactor * min(1, affinityGain*s.cacheErrorRate)
}

// minObservedTransfer is the shortest duration of a transfer to learn from. In shorter transfers, other
// delays make up most of the time.
const minObservedTransfer = 2 * time.Millisecond

func (s *predictionError) observeTransfer(took, alone time.Duration) {
	if alone >= minObservedTransfer {
		s.transferSlowdown += errorBlend * (float64(took)/float64(alone) - s.transferSlowdown)
	}
}
