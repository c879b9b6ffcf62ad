package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/policy"
)

// CompareCmd simulates several routers on the same arrivals: the decision core of this project (package decide) and the
// conventional routers of type baseline.
type CompareCmd struct {
	Mix    string        `default:"kalbarri,norrvik" help:"Workloads: kalbarri, norrvik, letter."`
	Loads  string        `default:"0.5,0.8,0.95,1.1,1.3" help:"Loads, as shares of the site's saturation rate."`
	Length time.Duration `default:"60s" help:"How long requests arrive."`
	Seed   uint64        `default:"1" help:"The same seed gives the same figures."`
	Fault  string        `default:"none" help:"none, prefill-dies, decode-dies, link, frozen, third, cancels, two, all, burst."`
	Boxes  int           `default:"1" help:"How many boxes share the arrivals, each with its own decisions."`
	Policy string        `help:"A policy program for the stoatramp router." type:"existingfile" optional:""`
	Only   string        `help:"Run only this router."`
	JSON   bool          `name:"json" help:"Print JSON."`
}

// Result holds the figures of one router in one simulation. Good is the goodput: the number of requests answered within
// both latency targets, for the first token and between tokens. Bound is an upper bound on Good for any router.
// WastedTokens is the number of prompt tokens that were processed and then not used for an answer.
type Result struct {
	Mix           string         `json:"mix"`
	Load          float64        `json:"load"`
	Router        string         `json:"router"`
	Fault         string         `json:"fault"`
	Arrivals      int            `json:"arrivals"`
	Good          int            `json:"good"`
	Bound         int            `json:"bound"`
	Answered      int            `json:"answered"`
	Refused       int            `json:"refused_not_run"`
	Lost          int            `json:"lost"`
	Cancelled     int            `json:"cancelled"`
	Moves         int            `json:"moves"`
	Retries       int            `json:"retries"`
	PrefillTokens int            `json:"prefill_tokens"`
	WastedTokens  int            `json:"wasted_tokens"`
	FirstP50MS    float64        `json:"first_p50_ms"`
	FirstP95MS    float64        `json:"first_p95_ms"`
	BetweenP95MS  float64        `json:"between_p95_ms"`
	EndReasons    map[string]int `json:"ends"`
	// GoodByClient is the share of each client's requests that were answered within both latency targets.
	GoodByClient map[string]float64 `json:"good_by_client"`
	// GoodBySecond has one value for each second of the run. The value is a share of the requests that arrived in that
	// second: the share that was answered within both latency targets.
	GoodBySecond []float64 `json:"by_second"`

	firstTokens, tokenGaps []time.Duration
	goodAt                 []time.Duration
	goodIDs                map[decide.ID]bool
}

func (c *CompareCmd) routers() []string {
	if c.Only != "" {
		return []string{c.Only}
	}
	return append(append([]string{}, ruleNames[:]...), "stoatramp")
}

// Run simulates all routers and prints the results.
func (c *CompareCmd) Run() error {
	var all []Result
	faults := []string{c.Fault}
	if c.Fault == "all" {
		faults = faultNames
	}
	for _, m := range mixes() {
		if !strings.Contains(","+c.Mix+",", ","+m.name+",") {
			continue
		}
		saturation := m.saturationRate()
		for _, fault := range faults {
			for load := range strings.SplitSeq(c.Loads, ",") {
				var share float64
				if _, err := fmt.Sscan(load, &share); err != nil {
					return fmt.Errorf("--loads: %q is not a number", load)
				}
				for _, name := range c.routers() {
					res, err := c.runOne(&m, saturation, share, fault, name)
					if err != nil {
						return err
					}
					all = append(all, res)
				}
			}
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	printResults(all)
	return nil
}

func (c *CompareCmd) runOne(m *mix, saturation, share float64, fault, router string) (Result, error) {
	cancels := 0.0
	if fault == "cancels" || fault == "two" {
		cancels = 0.1
	}
	reqs := m.arrivals(c.Seed, saturation*share, c.Length, cancels)
	if fault == "burst" {
		reqs = m.withBurst(c.Seed, reqs, saturation*share, c.Length)
	}
	r := newSimulation(m)
	r.res = Result{Mix: m.name, Load: share, Router: router, Fault: fault, Arrivals: len(reqs), EndReasons: map[string]int{}, goodIDs: map[decide.ID]bool{}, Bound: m.bound(reqs, c.Length)}
	for i := range c.Boxes {
		s, err := c.router(router, c.Seed+uint64(i)*1000)
		if err != nil {
			return Result{}, err
		}
		r.boxes = append(r.boxes, s)
	}
	if err := c.setPolicy(reqs); err != nil {
		return Result{}, err
	}
	r.runArrivals(reqs, c.Seed, c.Length, fault)
	r.summarize(reqs, c.Length)
	return r.res, nil
}

func (c *CompareCmd) router(name string, seed uint64) (decider, error) {
	for i, n := range ruleNames {
		if n == name {
			return newBaseline(selectionRule(i), seed), nil
		}
	}
	if name == "stoatramp" {
		return decide.New(rand.New(rand.NewPCG(seed, 5)), 4096), nil
	}
	return nil, fmt.Errorf("unknown router %q", name)
}

func (c *CompareCmd) setPolicy(reqs []*request) error {
	if c.Policy == "" {
		return nil
	}
	text, err := os.ReadFile(c.Policy)
	if err != nil {
		return err
	}
	p, err := policy.New(c.Policy, string(text))
	if err != nil {
		return err
	}
	for _, r := range reqs {
		r.Policy = p
	}
	return nil
}

func newSimulation(m *mix) *simulation {
	start := time.Unix(1800000000, 0)
	r := &simulation{m: m, now: start, start: start, engines: map[string]*simEngine{}, flights: map[decide.ID]*simFlight{}}
	for _, cfg := range m.fleet().Engines {
		e := &simEngine{
			r: r, name: cfg.Name, model: m.model, role: cfg.Role, freeKV: m.model.KVTokens,
			calls: map[callKey]*call{}, results: map[callKey]*call{}, cache: map[uint64]int{},
		}
		r.engines[e.name] = e
		r.engineList = append(r.engineList, e)
	}
	return r
}

// runArrivals runs the simulation for the time in which requests arrive (length), and for drainTime after it.
func (r *simulation) runArrivals(reqs []*request, seed uint64, length time.Duration, fault string) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for box := range r.boxes {
		r.deliver(box, r.m.fleet())
	}
	for _, req := range reqs {
		box := rng.IntN(len(r.boxes))
		r.at(r.start.Add(req.at), func() { r.submit(req, box) })
	}
	r.every(sampleInterval, func() {
		for _, e := range r.engineList {
			e.sample()
		}
	})
	r.every(decide.TickEvery(), func() {
		for box := range r.boxes {
			r.deliver(box, decide.Tick{})
		}
	})
	r.every(probeInterval, func() {
		for _, e := range r.engineList {
			for box := range r.boxes {
				if e.dead {
					r.deliver(box, decide.ProbeFailed{Engine: e.name})
				} else {
					e.report(box)
				}
			}
		}
	})
	r.inject(fault, length)
	r.loop(r.start.Add(length + drainTime))
}

func (r *simulation) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *simulation) submit(req *request, box int) {
	f := &simFlight{request: req, box: box, arrived: r.now}
	r.flights[req.ID] = f
	r.deliver(box, decide.Submit{Request: req.Request})
	if req.cancelAfter > 0 {
		r.after(req.cancelAfter, func() {
			if !f.ended {
				f.ended = true
				r.res.Cancelled++
				r.countWaste(f)
				r.deliver(box, decide.Cancel{ID: req.ID})
			}
		})
	}
}

// summarize computes the figures of the result after the simulation has ended.
func (r *simulation) summarize(reqs []*request, length time.Duration) {
	for _, req := range reqs {
		if f := r.flights[req.ID]; f != nil && !f.ended {
			r.res.Lost++
			r.res.EndReasons["unfinished"]++
			r.countWaste(f)
		}
	}
	res := &r.res
	res.FirstP50MS = ms(quantile(res.firstTokens, 0.5))
	res.FirstP95MS = ms(quantile(res.firstTokens, 0.95))
	res.BetweenP95MS = ms(quantile(res.tokenGaps, 0.95))
	res.GoodByClient = goodByClient(reqs, res.goodIDs)
	n := int(length.Seconds())
	arrived, good := make([]float64, n), make([]float64, n)
	for _, req := range reqs {
		arrived[min(n-1, int(req.at.Seconds()))]++
	}
	for _, at := range res.goodAt {
		good[min(n-1, int(at.Seconds()))]++
	}
	for i := range n {
		if arrived[i] > 0 {
			good[i] /= arrived[i]
		}
	}
	res.GoodBySecond = good
}

func goodByClient(reqs []*request, good map[decide.ID]bool) map[string]float64 {
	all, n := map[string]float64{}, map[string]float64{}
	for _, req := range reqs {
		all[req.Client]++
		if good[req.ID] {
			n[req.Client]++
		}
	}
	for c := range all {
		all[c] = n[c] / all[c]
	}
	return all
}

// formatShares formats the values of Result.GoodByClient, in alphabetical order of the clients.
func formatShares(byClient map[string]float64) string {
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(byClient)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", c, byClient[c]))
	}
	return strings.Join(parts, ", ")
}

func printResults(all []Result) {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "mix\tfault\tload\trouter\tarrivals\tgood\tof bound\tanswered\trefused\tlost\tcancelled\tmoves\tretries\twasted\tfirst p50\tfirst p95\tgap p95\tgood by client\t")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t%.0f ms\t%.0f ms\t%.1f ms\t%s\t\n",
			r.Mix, r.Fault, r.Load, r.Router, r.Arrivals, r.Good, float64(r.Good)/float64(max(1, r.Bound)), r.Answered, r.Refused, r.Lost, r.Cancelled,
			r.Moves, r.Retries, 100*float64(r.WastedTokens)/float64(max(1, r.PrefillTokens)), r.FirstP50MS, r.FirstP95MS, r.BetweenP95MS, formatShares(r.GoodByClient))
	}
	_ = t.Flush()
}
