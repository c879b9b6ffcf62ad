package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/stoatramp/stoatramp/internal/cost"
	"github.com/stoatramp/stoatramp/internal/decide"
)

// mix is a simulated site with its workload: the engines, and the classes of requests that arrive.
type mix struct {
	name              string
	prefills, decodes int
	halls             int
	model             cost.Model
	classes           []requestClass
	// The rate of arrivals oscillates around its mean with the period ratePeriod. rateAmplitude is the amplitude as a
	// share of the mean. This imitates a site at which more requests arrive in certain windows of time (certification
	// windows).
	rateAmplitude float64
	ratePeriod    time.Duration
}

// requestClass is a class of similar requests. share is the part of all requests that belong to the class.
type requestClass struct {
	share                     float64
	promptLow                 int // The least number of prompt tokens without the shared prefix.
	promptHigh                int // The largest such number. The numbers are log-uniformly distributed.
	prefixes                  int // The number of different prefixes that prompts share; 0 if prompts share none.
	prefixTokens              int
	outputLow, outputHigh     int
	maxTokens                 int
	firstToken, betweenTokens time.Duration
	client                    string
}

// mixes returns the sites to simulate: two with 9 engines and one with 600 engines.
func mixes() []mix {
	small := cost.Model{
		PrefillRate: 40000, PrefillBase: 4 * time.Millisecond, Step: 9 * time.Millisecond, StepPerStream: 450 * time.Microsecond,
		KVTokens: 120000, KVBytesPerToken: 131072, LinkRate: 12.5e9, Expiry: 4 * time.Second,
	}
	large := small
	large.PrefillRate, large.LinkRate = 60000, 25e9
	question := requestClass{share: 0.75, promptLow: 40, promptHigh: 400, outputLow: 40, outputHigh: 160, maxTokens: 200,
		firstToken: 430 * time.Millisecond, betweenTokens: 27 * time.Millisecond, client: "fixtures"}
	draft := question
	draft.promptHigh, draft.outputLow, draft.outputHigh, draft.maxTokens, draft.client = 600, 80, 240, 300, "staff"
	return []mix{
		{name: "kalbarri", prefills: 3, decodes: 6, halls: 3, model: small, rateAmplitude: 0.3, ratePeriod: 20 * time.Second, classes: []requestClass{
			question,
			{share: 0.25, promptLow: 2000, promptHigh: 16000, prefixes: 20, prefixTokens: 512, outputLow: 2, outputHigh: 8, maxTokens: 16,
				firstToken: 2 * time.Second, betweenTokens: 27 * time.Millisecond, client: "certification"},
		}},
		{name: "norrvik", prefills: 3, decodes: 6, halls: 3, model: small, classes: []requestClass{
			draft,
			{share: 0.25, promptLow: 300, promptHigh: 1500, prefixes: 20, prefixTokens: 12288, outputLow: 1, outputHigh: 3, maxTokens: 8,
				firstToken: 2 * time.Second, betweenTokens: 27 * time.Millisecond, client: "payrun"},
		}},
		{name: "letter", prefills: 240, decodes: 360, halls: 5, model: large, classes: []requestClass{
			{share: 1, promptLow: 40, promptHigh: 15000, prefixes: 400, prefixTokens: 512, outputLow: 100, outputHigh: 500, maxTokens: 512,
				firstToken: 430 * time.Millisecond, betweenTokens: 27 * time.Millisecond, client: "c"},
		}},
	}
}

// request is one simulated request. at is the time of its arrival, counted from the start of the run. outputTokens is
// the length of its answer.
type request struct {
	decide.Request
	at           time.Duration
	outputTokens int
	cancelAfter  time.Duration // How long after its arrival the caller cancels it; 0 if the caller does not.
}

// arrivals generates the requests of a run. The same seed gives the same requests for every router. cancels is the
// probability that a caller cancels its request.
func (m *mix) arrivals(seed uint64, rate float64, length time.Duration, cancels float64) []*request {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []*request
	t := 0.0
	for {
		t += rng.ExpFloat64() / m.rateAt(rate, t)
		if t >= length.Seconds() {
			return out
		}
		r := m.randomRequest(rng)
		r.at = time.Duration(t * float64(time.Second))
		r.ID = decide.ID(len(out) + 1)
		if rng.Float64() < cancels {
			r.cancelAfter = time.Duration(rng.Float64() * float64(time.Second))
		}
		out = append(out, r)
	}
}

func (m *mix) rateAt(rate, t float64) float64 {
	if m.rateAmplitude == 0 {
		return rate
	}
	return rate * (1 + m.rateAmplitude*math.Sin(2*math.Pi*t/m.ratePeriod.Seconds()))
}

func (m *mix) randomRequest(rng *rand.Rand) *request {
	class := &m.classes[0]
	for u, i := rng.Float64(), 0; i < len(m.classes); i++ {
		class = &m.classes[i]
		if u -= class.share; u < 0 {
			break
		}
	}
	ownTokens := int(float64(class.promptLow) * math.Pow(float64(class.promptHigh)/float64(class.promptLow), rng.Float64()))
	r := &request{outputTokens: class.outputLow + rng.IntN(class.outputHigh-class.outputLow+1)}
	r.Request = decide.Request{
		Pool: "p", Region: "r", Client: class.client, PromptTokens: ownTokens, MaxTokens: class.maxTokens,
		FirstToken: class.firstToken, BetweenTokens: class.betweenTokens, Repeatable: true,
	}
	if class.prefixes > 0 {
		r.PromptTokens += class.prefixTokens
		prefix := uint64(rng.IntN(class.prefixes))
		for i := range class.prefixTokens / decide.BlockTokens {
			r.Blocks = append(r.Blocks, hashPair(prefix+uint64(class.prefixTokens)<<32, uint64(i)))
		}
	}
	return r
}

// hashPair combines two numbers into one hash.
func hashPair(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// fleet returns the pool and the engines of the site, in the form that the decision core reads.
func (m *mix) fleet() decide.Fleet {
	f := decide.Fleet{Pools: []decide.Pool{{Name: "p", KVBytesPerToken: m.model.KVBytesPerToken, PrefillExpiry: m.model.Expiry}}}
	for i := range m.prefills + m.decodes {
		e := decide.Engine{
			Name: engineName(i), Pool: "p", Region: "r", Hall: string(rune('a' + i%m.halls)), Role: decide.Prefill,
			PrefillRate: m.model.PrefillRate, KVTokens: m.model.KVTokens, Step: m.model.Step,
			StepPerStream: m.model.StepPerStream, LinkRate: m.model.LinkRate,
		}
		if i >= m.prefills {
			e.Role = decide.Decode
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}
