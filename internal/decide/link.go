package decide

import (
	"slices"
	"time"
)

// link is what is known of the transfers over one engine's link, which they share
// evenly: those under way and those whose prompt is still being read.
type link struct{ transfers []transfer }

type transfer struct {
	id    ID
	ready time.Time     // When it started, or is expected to.
	takes time.Duration // Alone on its links.
}

func (l *link) add(t transfer) { l.transfers = append(l.transfers, t) }

func (l *link) remove(id ID) {
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.id == id })
}

// delay predicts how much longer a transfer takes because of the others that share
// the link when it is ready. Sharing with k others slows it k+1 times, but never by
// more than all that they still have to send.
//
// Example: two others need 130 ms each. A transfer of 2 ms takes 4 ms longer; one
// of 500 ms takes 260 ms longer.
func (l *link) delay(ready time.Time, takes time.Duration) time.Duration {
	k, left := 0, time.Duration(0)
	for _, t := range l.transfers {
		if t.ready.After(ready) {
			continue
		}
		if rest := t.takes - ready.Sub(t.ready); rest > 0 {
			k++
			left += t.takes
		}
	}
	return min(time.Duration(k)*takes, left)
}

// plan notes on both links a transfer that is ready at a time.
func (f *flight) plan(ready time.Time) {
	f.unplan()
	f.planned = [2]*engine{f.prefill, f.decode}
	t := transfer{f.ID, ready, transferTime(f.pool, f, f.prefill, f.decode)}
	for _, e := range f.planned {
		e.link.add(t)
	}
}

// unplan takes it off again, when it is over or given up.
func (f *flight) unplan() {
	for _, e := range f.planned {
		if e != nil {
			e.link.remove(f.ID)
		}
	}
	f.planned = [2]*engine{}
}

// transferTime is the time of a transfer alone, at the slower link's rate.
func transferTime(p *pool, f *flight, pe, de *engine) time.Duration {
	rate := min(pe.LinkRate, de.LinkRate)
	return seconds(float64(f.PromptTokens) * float64(p.KVBytesPerToken) / rate)
}

// predictTransfer is the time of a transfer that starts at ready beside the others.
func predictTransfer(p *pool, f *flight, pe, de *engine, ready time.Time) time.Duration {
	takes := transferTime(p, f, pe, de)
	known := takes + max(pe.link.delay(ready, takes), de.link.delay(ready, takes))
	return max(known, time.Duration(p.surprise.slower*float64(takes)))
}

// surprise is how far predictions were off lately. What other boxes send to the
// same engines is known only from lagging reports, and nothing reports their
// transfers, so what a box cannot see it learns from what happened to it.
type surprise struct {
	slower float64 // How many times longer than alone transfers took.
	cache  float64 // Share of prompts whose prefix was cached otherwise than believed.
}

// surpriseBlend is the weight of a new observation.
const surpriseBlend = 0.1

// cached compares the prompt tokens believed cached with those that were.
func (s *surprise) cached(believed, was int) {
	wrong := 0.0
	if d := believed - was; d >= BlockTokens || d <= -BlockTokens {
		wrong = 1
	}
	s.cache += surpriseBlend * (wrong - s.cache)
}

// pull is how strongly prefixes go to their favourite engines. While this box's
// beliefs come true it knows better; where other boxes send the same prefixes
// elsewhere, all do better by one rule that needs no knowledge.
func (s *surprise) pull() float64 { return favouritePull * min(1, pullGain*s.cache) }

// shortTransfer is too short to learn from: waits of other kinds would count more.
const shortTransfer = 2 * time.Millisecond

func (s *surprise) sent(took, alone time.Duration) {
	if alone >= shortTransfer {
		s.slower += surpriseBlend * (float64(took)/float64(alone) - s.slower)
	}
}
