package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// selectionRule is the rule by which a baseline router selects engines.
type selectionRule uint8

const (
	roundRobin selectionRule = iota
	leastLoaded
	randomTwo
	affinityOnly
)

var ruleNames = [...]string{"round robin", "least loaded", "random two", "prefix affinity"}

// baseline is a conventional router. The decision core (package decide) is compared with it. When a request arrives,
// baseline selects a prefill engine and a decode engine independently, and sends the request immediately. It reserves
// no memory, refuses no request, and retries a failed request one time.
type baseline struct {
	rule      selectionRule
	rng       *rand.Rand
	prefills  []string
	decodes   []string
	reports   map[string]decide.LoadReport
	nextIndex int
	flights   map[decide.ID]*baseFlight
}

type baseFlight struct {
	decide.Request
	attempt         decide.Attempt
	prefill, decode string
	kvAttempt       decide.Attempt
	decoding        bool
	retried         bool
}

func newBaseline(r selectionRule, seed uint64) *baseline {
	return &baseline{rule: r, rng: rand.New(rand.NewPCG(seed, 3)), reports: map[string]decide.LoadReport{}, flights: map[decide.ID]*baseFlight{}}
}

// Step implements decider: it takes one event and returns the actions to carry out.
func (b *baseline) Step(_ time.Time, ev decide.Event) []decide.Action {
	switch ev := ev.(type) {
	case decide.Fleet:
		b.prefills, b.decodes = nil, nil
		for _, e := range ev.Engines {
			if e.Role == decide.Prefill {
				b.prefills = append(b.prefills, e.Name)
			} else {
				b.decodes = append(b.decodes, e.Name)
			}
		}
	case decide.LoadReport:
		b.reports[ev.Engine] = ev
	case decide.Submit:
		f := &baseFlight{Request: ev.Request}
		b.flights[f.ID] = f
		return b.start(f)
	case decide.PrefillDone:
		if f := b.flights[ev.ID]; f != nil && ev.Attempt == f.attempt {
			f.kvAttempt = f.attempt
			f.attempt++
			f.decoding = true
			return []decide.Action{decide.StartDecode{ID: f.ID, Attempt: f.attempt, Prefill: f.prefill, PrefillAttempt: f.kvAttempt, Decode: f.decode, Priority: int(f.ID)}}
		}
	case decide.Failed:
		return b.failed(ev)
	case decide.Done:
		delete(b.flights, ev.ID)
	case decide.Cancel:
		return b.cancel(ev.ID)
	}
	return nil
}

func (b *baseline) start(f *baseFlight) []decide.Action {
	f.attempt++
	f.decoding = false
	prefix := uint64(0)
	if len(f.Blocks) > 0 {
		prefix = f.Blocks[0]
	}
	f.prefill = b.selectEngine(b.prefills, prefix, func(r decide.LoadReport) int { return r.QueuedTokens })
	f.decode = b.selectEngine(b.decodes, 0, func(r decide.LoadReport) int { return r.Streams })
	return []decide.Action{decide.StartPrefill{ID: f.ID, Attempt: f.attempt, Prefill: f.prefill, Decode: f.decode, Priority: int(f.ID)}}
}

func (b *baseline) selectEngine(names []string, prefix uint64, load func(decide.LoadReport) int) string {
	byLoad := func(x, y string) int { return cmp.Compare(load(b.reports[x]), load(b.reports[y])) }
	switch {
	case b.rule == roundRobin:
		b.nextIndex++
		return names[b.nextIndex%len(names)]
	case b.rule == leastLoaded:
		return slices.MinFunc(names, byLoad)
	case b.rule == affinityOnly && prefix != 0:
		return names[prefix%uint64(len(names))]
	}
	x, y := names[b.rng.IntN(len(names))], names[b.rng.IntN(len(names))]
	if byLoad(y, x) < 0 {
		return y
	}
	return x
}

func (b *baseline) failed(ev decide.Failed) []decide.Action {
	f := b.flights[ev.ID]
	if f == nil || ev.Attempt != f.attempt {
		return nil
	}
	if f.retried {
		delete(b.flights, f.ID)
		return []decide.Action{decide.End{ID: f.ID, Outcome: outcome.Outcome{Kind: outcome.MayHaveRun, Reason: ev.Reason}}}
	}
	f.retried = true
	return append([]decide.Action{decide.Retry{ID: f.ID}}, b.start(f)...)
}

func (b *baseline) cancel(id decide.ID) []decide.Action {
	f := b.flights[id]
	if f == nil {
		return nil
	}
	delete(b.flights, id)
	engine := f.prefill
	if f.decoding {
		engine = f.decode
	}
	return []decide.Action{decide.Abort{ID: id, Attempt: f.attempt, Engine: engine}}
}
