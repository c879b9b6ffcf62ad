package decide

import (
	"cmp"
	"slices"
	"time"
)

// waitQueue holds requests that wait, the one whose latest start comes first in
// front. Slack is measured against a fixed instant for each request, so the
// order does not change as time passes and a sorted slice is enough.
type waitQueue struct{ items []*flight }

func byOrder(a, b *flight) int {
	if n := a.order.Compare(b.order); n != 0 {
		return n
	}
	return cmp.Compare(a.ID, b.ID)
}

func (q *waitQueue) add(f *flight) {
	i, _ := slices.BinarySearchFunc(q.items, f, byOrder)
	q.items = slices.Insert(q.items, i, f)
}

func (q *waitQueue) remove(f *flight) {
	i, ok := slices.BinarySearchFunc(q.items, f, byOrder)
	if ok {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// tokensBefore sums the prompt tokens of requests that would start before f.
func (q *waitQueue) tokensBefore(f *flight) int {
	n := 0
	for _, g := range q.items {
		if byOrder(g, f) >= 0 {
			break
		}
		n += g.PromptTokens
	}
	return n
}

// retryBudget lets retries be a share of arrivals, so that a failing fleet is
// not loaded further by its own retries.
type retryBudget struct{ tokens float64 }

const (
	retryShare  = 0.1
	retryTokens = 10
)

func (b *retryBudget) arrived() { b.tokens = min(retryTokens, b.tokens+retryShare) }

func (b *retryBudget) has() bool { return b.tokens >= 1 }

func (b *retryBudget) take() bool {
	if !b.has() {
		return false
	}
	b.tokens--
	return true
}

// refill adds a trickle so that a box with hardly any traffic may still retry.
func (b *retryBudget) refill(d time.Duration) {
	b.tokens = min(retryTokens, b.tokens+d.Seconds()*retryShare)
}
