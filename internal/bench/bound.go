package bench

import (
	"math"
	"slices"
	"time"
)

// demand is the least work and memory that a request needs from the engines of a site.
type demand struct {
	prefillSeconds float64 // The time in which a prefill engine processes the prompt.
	decodeTokens   float64 // The number of tokens of the answer.
	kvTokenSeconds float64 // The KV memory reserved in a decode engine, in tokens, times the seconds of the reservation.
	linkSeconds    float64 // The time in which a link transfers the KV cache of the prompt.
}

// minDemand returns the least that a request needs. It assumes that a block of a prompt is cached on every engine as
// soon as any engine has processed the block. It also assumes that each stream has its decode engine for itself. seen
// holds the blocks that have been processed. minDemand adds the blocks of this request to seen.
func (m *mix) minDemand(r *request, seen map[uint64]bool) demand {
	cached := 0
	for _, b := range r.Blocks {
		if !seen[b] {
			break
		}
		cached++
	}
	for _, b := range r.Blocks {
		seen[b] = true
	}
	prefillSeconds := m.model.Prefill(r.PromptTokens, cached*128).Seconds()
	decodeSeconds := float64(r.outputTokens) * m.model.StepOf(1).Seconds()
	return demand{
		prefillSeconds: prefillSeconds, decodeTokens: float64(r.outputTokens), kvTokenSeconds: decodeSeconds * float64(r.PromptTokens),
		linkSeconds: m.model.Transfer(r.PromptTokens).Seconds(),
	}
}

// maxTokenRate returns the highest number of tokens per second that one decode engine generates within the target. The
// target limits a stream's time from one token to the next. More streams at the same time give more tokens per second,
// so the engine runs as many streams as the target allows.
func (m *mix) maxTokenRate(target time.Duration) float64 {
	n := 1
	for m.model.StepOf(n+1) <= target {
		n++
	}
	return float64(n) / m.model.StepOf(n).Seconds()
}

// bound returns an upper bound on the number of requests that any router can serve within both latency targets (first
// token and between tokens). The bound holds because every assumption only makes the task easier:
//
//   - All engines of a role count as one engine that is as fast as all of them together. Work can be split freely,
//     a request need not wait for its transfer, and everything is known in advance.
//   - Time is split into windows. If a request arrives in a window and its first token is on time, its prompt is
//     processed between the start of the window and the end of the window plus the target. Therefore the prefill
//     work of the requests served cannot exceed the capacity of the prefill engines in that time. The same holds
//     for the links of the prefill engines. The count is largest if the requests with the least work are served.
//   - The same holds for decode tokens and memory over the whole run.
//
// The result is the smallest of the counts over several window lengths.
func (m *mix) bound(reqs []*request, length time.Duration) int {
	seen := map[uint64]bool{}
	demands := make([]demand, len(reqs))
	longest := time.Duration(0)
	for i, r := range reqs {
		demands[i] = m.minDemand(r, seen)
		longest = max(longest, r.FirstToken)
		if m.model.Prefill(1, 0).Seconds() > r.FirstToken.Seconds() {
			demands[i].prefillSeconds = math.Inf(1)
		}
	}
	best := len(reqs)
	for _, window := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, length} {
		best = min(best, m.windowBound(reqs, demands, window, length, func(w demand) float64 { return w.prefillSeconds }))
		best = min(best, m.windowBound(reqs, demands, window, length, func(w demand) float64 { return w.linkSeconds }))
	}
	duration := (length + drainTime).Seconds()
	rate := m.maxTokenRate(reqs[0].BetweenTokens) * float64(m.decodes)
	best = min(best, countFitting(demands, func(w demand) float64 { return w.decodeTokens }, rate*duration))
	memory := float64(m.model.KVTokens*m.decodes) * duration
	return min(best, countFitting(demands, func(w demand) float64 { return w.kvTokenSeconds }, memory))
}

// windowBound returns an upper bound on the number of requests served, summed over all windows of time. size selects
// the resource that limits them: it returns the seconds of prefill or of the link that one request needs.
func (m *mix) windowBound(reqs []*request, demands []demand, window, length time.Duration, size func(demand) float64) int {
	total := 0
	for start := time.Duration(0); start < length; start += window {
		var inWindow []demand
		slack := time.Duration(0)
		for i, r := range reqs {
			if r.at >= start && r.at < start+window {
				inWindow = append(inWindow, demands[i])
				slack = max(slack, r.FirstToken)
			}
		}
		total += countFitting(inWindow, size, float64(m.prefills)*(window+slack).Seconds())
	}
	return total
}

// countFitting returns the largest number of requests that fit into the capacity. The smallest requests give the
// largest number.
func countFitting(demands []demand, size func(demand) float64, capacity float64) int {
	sizes := make([]float64, len(demands))
	for i, w := range demands {
		sizes[i] = size(w)
	}
	slices.Sort(sizes)
	n := 0
	for _, s := range sizes {
		if capacity -= s; capacity < 0 {
			break
		}
		n++
	}
	return n
}

// saturationRate returns the arrival rate, in requests per second, at which the site's scarcest resource is fully used.
func (m *mix) saturationRate() float64 {
	const sample = 20000
	reqs := m.arrivals(99, 1000, sample/1000*time.Second, 0)
	seen := map[uint64]bool{}
	var sum demand
	for _, r := range reqs {
		w := m.minDemand(r, seen)
		sum.prefillSeconds += w.prefillSeconds
		sum.decodeTokens += w.decodeTokens
		sum.linkSeconds += w.linkSeconds
		// Memory is reserved for the prompt and the requested maximum of tokens, until the answer ends. The time
		// from one token to the next is assumed to be the between-tokens target.
		sum.kvTokenSeconds += float64(r.outputTokens) * r.BetweenTokens.Seconds() * float64(r.PromptTokens+r.MaxTokens)
	}
	n := float64(len(reqs))
	return min(
		float64(m.prefills)/(sum.prefillSeconds/n),
		float64(min(m.prefills, m.decodes))/(sum.linkSeconds/n),
		m.maxTokenRate(reqs[0].BetweenTokens)*float64(m.decodes)/(sum.decodeTokens/n),
		float64(m.model.KVTokens*m.decodes)/(sum.kvTokenSeconds/n),
	)
}
