package decide

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/retry"
)

// Engines got more calls beyond the first per request in ten seconds than the platform allows all
// boxes together (a fifth of the requests and a few hundred), in this order of events: engines reject
// most calls; meanwhile boxes are restarted, cut off or killed; each box spends its own allowance,
// three at once and one more per ten seconds whether there are 8 boxes or 85, and again after a
// restart; and all of them spend from a shared allowance before they learn that others have.
//
// Observed on 85 boxes that were allowed 319 to 323 such calls: 324 when all boxes were killed, 434
// when half of them were cut off, 462 when all were restarted in turn, and no more than allowed
// otherwise. A stream that starts over costs two such calls, since its prompt is prefilled again too,
// and only one retry was taken for both.

// retryPlatform holds the limits of a platform and its load.
type retryPlatform struct {
	boxes int
	// perSecond is the request rate of all boxes.
	perSecond float64
	// share and slack bound the calls beyond the first per request in window.
	share, slack float64
	window       time.Duration
}

var (
	smallPlatform = retryPlatform{boxes: 8, perSecond: 10, share: 0.2, slack: 56, window: 10 * time.Second}
	grownPlatform = retryPlatform{boxes: 85, perSecond: 34, share: 0.2, slack: 210, window: 10 * time.Second}
	largePlatform = retryPlatform{boxes: 295, perSecond: 60, share: 0.2, slack: 630, window: 10 * time.Second}
)

// newBoxCore returns the core of a box that started at the given time and knows the number of boxes.
func (p retryPlatform) newBoxCore(now time.Time) *Core {
	c := newPoolCore(9, 27, 0)
	c.now = now
	c.SetRetryLimits(retry.Limits{Share: p.share, FreeCalls: p.slack, Window: p.window}, p.boxes, now)
	return c
}

// failureMode is how engines fail the calls of a test.
type failureMode int

const (
	rejectsPrefills failureMode = iota
	losesKVHandles
)

// restartsPerSecond is how many boxes per second restart from second 8 to 18.
type restartsPerSecond int

// expectRetriesWithin makes all engines fail all calls for half a minute, and expects no window
// to have more calls beyond the first per request than the platform allows.
func expectRetriesWithin(t *testing.T, p retryPlatform, how failureMode, again restartsPerSecond) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, uint64(p.boxes)))
	start := time.Unix(1_800_000_000, 0).Add(time.Minute)
	boxes := make([]*failingBox, p.boxes)
	for i := range boxes {
		boxes[i] = &failingBox{c: p.newBoxCore(start), how: how}
	}
	var arrivals, extra []time.Duration
	next, id := 0, ID(0)
	for at := time.Duration(0); at < 30*time.Second; at += tickInterval {
		now := start.Add(at)
		if at > 8*time.Second && at < 18*time.Second && rng.Float64() < float64(again)*tickInterval.Seconds() {
			boxes[next%p.boxes] = &failingBox{c: p.newBoxCore(now), how: how}
			next++
		}
		if rng.Float64() < p.perSecond*tickInterval.Seconds() {
			id++
			arrivals = append(arrivals, at)
			boxes[rng.IntN(p.boxes)].step(now, Submit{Request{
				ID: id, Pool: "p", Region: "r", PromptTokens: 5000, MaxTokens: 1000, Repeatable: true, PrefillNotRun: true,
				FirstToken: 900 * time.Millisecond, BetweenTokens: 5 * time.Millisecond, MaxWait: time.Second,
			}})
		}
		for _, b := range boxes {
			b.step(now, Tick{})
			for range b.extra {
				extra = append(extra, at)
			}
			b.extra = 0
		}
	}
	for _, from := range extra {
		most := p.slack + p.share*float64(max(countIn(arrivals, from, p.window), countIn(arrivals, from-p.window, p.window)))
		if n := countIn(extra, from, p.window); float64(n) > most {
			t.Errorf("%d boxes: expected at most %.0f calls beyond the first per request in %s from %s, got %d", p.boxes, most, p.window, from, n)
			return
		}
	}
}

func countIn(times []time.Duration, from, window time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// failingBox is a box whose engines fail all calls.
type failingBox struct {
	c                 *Core
	how               failureMode
	prefills, decodes map[ID]int
	// extra counts the calls beyond the first per request since it was last reset.
	extra int
}

func (b *failingBox) step(now time.Time, ev Event) {
	if b.prefills == nil {
		b.prefills, b.decodes = map[ID]int{}, map[ID]int{}
	}
	pending := []Event{ev}
	for len(pending) > 0 {
		ev, pending = pending[0], pending[1:]
		for _, a := range b.c.Step(now, ev) {
			switch a := a.(type) {
			case StartPrefill:
				b.count(b.prefills, a.ID)
				if b.how == rejectsPrefills {
					pending = append(pending, Failed{ID: a.ID, Attempt: a.Attempt, Reason: outcome.EndpointRefused})
					break
				}
				pending = append(pending, PrefillDone{ID: a.ID, Attempt: a.Attempt, Expires: now.Add(time.Second)})
			case StartDecode:
				b.count(b.decodes, a.ID)
				pending = append(pending, Failed{ID: a.ID, Attempt: a.Attempt, Reason: outcome.EndpointRefused, KVGone: true})
			}
		}
	}
}

func (b *failingBox) count(calls map[ID]int, id ID) {
	if calls[id]++; calls[id] > 1 {
		b.extra++
	}
}

func TestRetriesOfAllBoxes(t *testing.T) {
	for _, p := range []retryPlatform{smallPlatform, grownPlatform, largePlatform} {
		for _, how := range []failureMode{rejectsPrefills, losesKVHandles} {
			expectRetriesWithin(t, p, how, 0)
			expectRetriesWithin(t, p, how, restartsPerSecond(max(1, p.boxes/10)))
		}
	}
}

// A stream was answered with 504 and all retries spent: the engine that had taken its KV cache lost the
// connection, and each further engine was told to fetch the cache from the prefill engine, which no longer
// had it. An engine that refuses after that shows that the cache is gone, and the prompt is prefilled
// again. Observed: six decode calls for one prompt, five of them refused.
func TestTakenKVCacheIsRecomputed(t *testing.T) {
	s := newFixture(t, 1, 3)
	s.arrive(1, "c", 1000)
	s.step(PrefillDone{ID: 1, Attempt: s.prefills[1].Attempt, Expires: s.now.Add(5 * time.Second)})
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.EndpointLost, Ran: true})
	second := s.decodes[1]
	s.step(Failed{ID: 1, Attempt: second.Attempt, Reason: outcome.ConnectFailed})
	if s.decodes[1].Attempt == second.Attempt {
		t.Error("expected a third engine to be called after a failed connection attempt")
	}
	second = s.decodes[1]
	s.step(Failed{ID: 1, Attempt: second.Attempt, Reason: outcome.EndpointRefused})
	if s.decodes[1].Attempt != second.Attempt || s.prefills[1].Attempt <= second.Attempt {
		t.Errorf("expected the prompt to be prefilled again after the refusal, got prefill %d, decode %d", s.prefills[1].Attempt, s.decodes[1].Attempt)
	}
	// If no engine can have taken the KV cache, a refusal does not mean that it is gone.
	s = newFixture(t, 1, 3)
	s.arrive(1, "c", 1000)
	s.step(PrefillDone{ID: 1, Attempt: s.prefills[1].Attempt, Expires: s.now.Add(5 * time.Second)})
	first := s.decodes[1]
	s.step(Failed{ID: 1, Attempt: first.Attempt, Reason: outcome.EndpointRefused})
	if s.decodes[1].Attempt <= first.Attempt {
		t.Errorf("expected another engine to take the KV cache, got %+v", s.decodes[1])
	}
}
