package bench

import (
	"math"
	"slices"
	"time"
)

// work is what a request takes from the site at the least.
type work struct {
	read   float64 // Prefill engine seconds.
	tokens float64 // Decode tokens.
	memory float64 // Decode memory seconds: tokens of KV times seconds held.
	link   float64 // Seconds of a prefill engine's link.
}

// leastWork assumes that every shared prefix is in the cache once it was read by
// anybody, on every engine at once, and that every stream runs alone.
func (m *mix) leastWork(r *request, seen map[uint64]bool) work {
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
	read := m.model.Prefill(r.PromptTokens, cached*128).Seconds()
	held := float64(r.out) * m.model.StepOf(1).Seconds()
	return work{
		read: read, tokens: float64(r.out), memory: held * float64(r.PromptTokens),
		link: m.model.Transfer(r.PromptTokens).Seconds(),
	}
}

// tokenRate is the most tokens a second one decode engine can make while its
// step stays inside the target. It grows with the batch, so the largest allowed
// batch gives it.
func (m *mix) tokenRate(target time.Duration) float64 {
	n := 1
	for m.model.StepOf(n+1) <= target {
		n++
	}
	return float64(n) / m.model.StepOf(n).Seconds()
}

// bound is a number of requests that no router can bring inside both targets,
// one more at least. It holds because each step only drops constraints:
//
//   - All engines of a role are taken as one that is as fast as all of them, with
//     work that splits freely, transfers take no time and nothing is predicted,
//     because everything is known.
//   - Time is cut into windows. A request that arrives in a window and is on time
//     must be read between the window's start and its end plus the target, so the
//     read work of those served cannot exceed what the pool does in that time;
//     nor can the work of the prefill engines' links.
//     The most requests fit if the smallest are taken, whatever their order.
//   - The same holds for decode tokens and memory over the whole run.
//
// The smallest of the counts over several window lengths is returned.
func (m *mix) bound(reqs []*request, length time.Duration) int {
	seen := map[uint64]bool{}
	all := make([]work, len(reqs))
	longest := time.Duration(0)
	for i, r := range reqs {
		all[i] = m.leastWork(r, seen)
		longest = max(longest, r.FirstToken)
		if m.model.Prefill(1, 0).Seconds() > r.FirstToken.Seconds() {
			all[i].read = math.Inf(1)
		}
	}
	best := len(reqs)
	for _, window := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, length} {
		best = min(best, m.windowBound(reqs, all, window, length, func(w work) float64 { return w.read }))
		best = min(best, m.windowBound(reqs, all, window, length, func(w work) float64 { return w.link }))
	}
	tail := (length + drainTime).Seconds()
	rate := m.tokenRate(reqs[0].BetweenTokens) * float64(m.decodes)
	best = min(best, fit(all, func(w work) float64 { return w.tokens }, rate*tail))
	memory := float64(m.model.KVTokens*m.decodes) * tail
	return min(best, fit(all, func(w work) float64 { return w.memory }, memory))
}

// windowBound sums what fits into each window, of reading or of the links.
func (m *mix) windowBound(reqs []*request, all []work, window, length time.Duration, size func(work) float64) int {
	total := 0
	for start := time.Duration(0); start < length; start += window {
		var in []work
		slack := time.Duration(0)
		for i, r := range reqs {
			if r.at >= start && r.at < start+window {
				in = append(in, all[i])
				slack = max(slack, r.FirstToken)
			}
		}
		total += fit(in, size, float64(m.prefills)*(window+slack).Seconds())
	}
	return total
}

// fit counts how many of the smallest fit into the capacity.
func fit(all []work, size func(work) float64, capacity float64) int {
	sizes := make([]float64, len(all))
	for i, w := range all {
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

// knee is the rate of arrivals that uses up the scarcest resource of the site.
func (m *mix) knee() float64 {
	const sample = 20000
	reqs := m.arrivals(99, 1000, sample/1000*time.Second, 0)
	seen := map[uint64]bool{}
	var sum work
	for _, r := range reqs {
		w := m.leastWork(r, seen)
		sum.read += w.read
		sum.tokens += w.tokens
		sum.link += w.link
		// Memory is held at the step of a full batch, and for the token limit asked for.
		sum.memory += float64(r.out) * r.BetweenTokens.Seconds() * float64(r.PromptTokens+r.MaxTokens)
	}
	n := float64(len(reqs))
	return min(
		float64(m.prefills)/(sum.read/n),
		float64(min(m.prefills, m.decodes))/(sum.link/n),
		m.tokenRate(reqs[0].BetweenTokens)*float64(m.decodes)/(sum.tokens/n),
		float64(m.model.KVTokens*m.decodes)/(sum.memory/n),
	)
}
