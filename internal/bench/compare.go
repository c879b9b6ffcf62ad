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

// CompareCmd runs all routers over the same arrivals.
type CompareCmd struct {
	Mix    string        `default:"kalbarri,norrvik" help:"Workloads: kalbarri, norrvik, letter."`
	Loads  string        `default:"0.5,0.8,0.95,1.1,1.3" help:"Loads, as shares of the knee."`
	Length time.Duration `default:"60s" help:"Length of the arrivals."`
	Seed   uint64        `default:"1" help:"The same seed gives the same figures."`
	Fault  string        `default:"none" help:"none, prefill-dies, decode-dies, link, frozen, third, cancels, two, all, burst."`
	Boxes  int           `default:"1" help:"How many boxes share the arrivals, each with its own decisions."`
	Policy string        `help:"A policy program for our own router." type:"existingfile" optional:""`
	Only   string        `help:"Run only this router."`
	JSON   bool          `name:"json" help:"Print JSON."`
}

// Result is what one router came to.
type Result struct {
	Mix      string         `json:"mix"`
	Load     float64        `json:"load"`
	Router   string         `json:"router"`
	Fault    string         `json:"fault"`
	Arrivals int            `json:"arrivals"`
	Good     int            `json:"good"`
	Bound    int            `json:"bound"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused_not_run"`
	Lost     int            `json:"lost"`
	Gone     int            `json:"cancelled"`
	Moves    int            `json:"moves"`
	Retries  int            `json:"retries"`
	Read     int            `json:"prefill_tokens"`
	Wasted   int            `json:"wasted_tokens"`
	First50  float64        `json:"first_p50_ms"`
	First95  float64        `json:"first_p95_ms"`
	Gap95    float64        `json:"between_p95_ms"`
	Ends     map[string]int `json:"ends"`
	// Kinds is the share of each client's requests that were good.
	Kinds map[string]float64 `json:"good_by_client"`
	// ByTime is the goodput of each second, as a share of that second's arrivals.
	ByTime []float64 `json:"by_second"`

	firsts, gaps []time.Duration
	goodAt       []time.Duration
	goodIDs      map[decide.ID]bool
}

func (c *CompareCmd) routers() []string {
	if c.Only != "" {
		return []string{c.Only}
	}
	return append(append([]string{}, ruleNames[:]...), "stoatramp")
}

// Run prints the comparison.
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
		knee := m.knee()
		for _, fault := range faults {
			for load := range strings.SplitSeq(c.Loads, ",") {
				var share float64
				if _, err := fmt.Sscan(load, &share); err != nil {
					return fmt.Errorf("--loads: %q is not a number", load)
				}
				for _, name := range c.routers() {
					res, err := c.one(&m, knee, share, fault, name)
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

func (c *CompareCmd) one(m *mix, knee, share float64, fault, router string) (Result, error) {
	cancels := 0.0
	if fault == "cancels" || fault == "two" {
		cancels = 0.1
	}
	reqs := m.arrivals(c.Seed, knee*share, c.Length, cancels)
	if fault == "burst" {
		reqs = m.withBurst(c.Seed, reqs, knee*share, c.Length)
	}
	r := newRun(m)
	r.res = Result{Mix: m.name, Load: share, Router: router, Fault: fault, Arrivals: len(reqs), Ends: map[string]int{}, goodIDs: map[decide.ID]bool{}, Bound: m.bound(reqs, c.Length)}
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
	r.play(reqs, c.Seed, c.Length, fault)
	r.sum(reqs, c.Length)
	return r.res, nil
}

func (c *CompareCmd) router(name string, seed uint64) (stepper, error) {
	for i, n := range ruleNames {
		if n == name {
			return newBaseline(rule(i), seed), nil
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

func newRun(m *mix) *run {
	start := time.Unix(1800000000, 0)
	r := &run{m: m, now: start, start: start, engines: map[string]*simEngine{}, flights: map[decide.ID]*simFlight{}}
	for _, cfg := range m.fleet().Engines {
		e := &simEngine{
			r: r, name: cfg.Name, model: m.model, role: cfg.Role, free: m.model.KVTokens,
			calls: map[callKey]*call{}, kept: map[callKey]*call{}, cache: map[uint64]int{},
		}
		r.engines[e.name] = e
		r.order = append(r.order, e)
	}
	return r
}

// play runs the arrivals to the end.
func (r *run) play(reqs []*request, seed uint64, length time.Duration, fault string) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for box := range r.boxes {
		r.tell(box, r.m.fleet())
	}
	for _, q := range reqs {
		box := rng.IntN(len(r.boxes))
		r.at(r.start.Add(q.at), func() { r.arrive(q, box) })
	}
	r.every(sampleEvery, func() {
		for _, e := range r.order {
			e.sample()
		}
	})
	r.every(decide.TickEvery(), func() {
		for box := range r.boxes {
			r.tell(box, decide.Tick{})
		}
	})
	r.every(probeEngine, func() {
		for _, e := range r.order {
			for box := range r.boxes {
				if e.dead {
					r.tell(box, decide.Silent{Engine: e.name})
				} else {
					e.report(box)
				}
			}
		}
	})
	r.inject(fault, length)
	r.loop(r.start.Add(length + drainTime))
}

func (r *run) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *run) arrive(q *request, box int) {
	f := &simFlight{request: q, box: box, arrived: r.now}
	r.flights[q.ID] = f
	r.tell(box, decide.Arrive{Request: q.Request})
	if q.cancel > 0 {
		r.after(q.cancel, func() {
			if !f.ended {
				f.ended = true
				r.res.Gone++
				r.wasteOf(f)
				r.tell(box, decide.Cancel{ID: q.ID})
			}
		})
	}
}

// sum works out the figures of the run.
func (r *run) sum(reqs []*request, length time.Duration) {
	for _, q := range reqs {
		if f := r.flights[q.ID]; f != nil && !f.ended {
			r.res.Lost++
			r.res.Ends["unfinished"]++
			r.wasteOf(f)
		}
	}
	res := &r.res
	res.First50 = ms(quantile(res.firsts, 0.5))
	res.First95 = ms(quantile(res.firsts, 0.95))
	res.Gap95 = ms(quantile(res.gaps, 0.95))
	res.Kinds = goodByClient(reqs, res.goodIDs)
	n := int(length.Seconds())
	arrived, good := make([]float64, n), make([]float64, n)
	for _, q := range reqs {
		arrived[min(n-1, int(q.at.Seconds()))]++
	}
	for _, at := range res.goodAt {
		good[min(n-1, int(at.Seconds()))]++
	}
	for i := range n {
		if arrived[i] > 0 {
			good[i] /= arrived[i]
		}
	}
	res.ByTime = good
}

func goodByClient(reqs []*request, good map[decide.ID]bool) map[string]float64 {
	all, n := map[string]float64{}, map[string]float64{}
	for _, q := range reqs {
		all[q.Client]++
		if good[q.ID] {
			n[q.Client]++
		}
	}
	for c := range all {
		all[c] = n[c] / all[c]
	}
	return all
}

// shares prints the clients' shares in a fixed order.
func shares(kinds map[string]float64) string {
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(kinds)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", c, kinds[c]))
	}
	return strings.Join(parts, ", ")
}

func printResults(all []Result) {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "mix\tfault\tload\trouter\tarrivals\tgood\tof bound\tanswered\trefused\tlost\tcancelled\tmoves\tretries\twasted\tfirst p50\tfirst p95\tgap p95\tgood by client\t")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t%.0f ms\t%.0f ms\t%.1f ms\t%s\t\n",
			r.Mix, r.Fault, r.Load, r.Router, r.Arrivals, r.Good, float64(r.Good)/float64(max(1, r.Bound)), r.Answered, r.Refused, r.Lost, r.Gone,
			r.Moves, r.Retries, 100*float64(r.Wasted)/float64(max(1, r.Read)), r.First50, r.First95, r.Gap95, shares(r.Kinds))
	}
	_ = t.Flush()
}
