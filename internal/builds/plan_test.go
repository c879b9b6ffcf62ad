package builds

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatramp/stoatramp/internal/origins"
)

var (
	testGroup = Group{"llm", "perth"}
	start     = time.UnixMilli(1_800_000_000_000)
)

func shares(list ...any) (s Shares) {
	for i := 0; i < len(list); i += 2 {
		s = append(s, Share{list[i].(string), list[i+1].(int)})
	}
	return s
}

// Guards against builds that get more or fewer streams than their engines can take, and against a change of a weight that
// moves streams between builds that it does not concern.
func TestSharesFollowWeights(t *testing.T) {
	const keys = 20000
	before, after := shares("a", 6, "b", 3, "c", 1), shares("a", 6, "b", 3, "c", 3)
	count := map[string]int{}
	for k := range origins.Key(keys) {
		old, now := before.BuildOf(k+1), after.BuildOf(k+1)
		count[old]++
		if old != now && now != "c" {
			t.Fatalf("key %d moved from %s to %s", k, old, now)
		}
	}
	for _, s := range before {
		if part := float64(count[s.Build]) / keys; math.Abs(part-before.Fraction(s.Build)) > 0.01 {
			t.Errorf("build %s: expected %.2f of the streams, got %.3f", s.Build, before.Fraction(s.Build), part)
		}
	}
}

// begunStream is a stream of the model, with the build that began it.
type begunStream struct {
	key   origins.Key
	build string
	at    time.Time
}

// A stream that is taken up goes on at the build that began it, whatever plans follow each other, and however late the box that
// began it learned of them.
func TestOriginFollowsFromPlans(t *testing.T) {
	const (
		callerTime = 20 * time.Second
		maxLag     = 15 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		type inForce struct {
			plan *Plan
			at   time.Time
		}
		now := start
		plans := []inForce{{successor(testGroup, 1, now, byID(shares("a", 2, "b", 2))), now}}
		var streams []begunStream
		log := map[origins.Key]string{}
		nextKey := origins.Key(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"begin", "begin", "take up", "change"}).Draw(t, "step") {
			case "change":
				next := Shares{}
				for _, build := range []string{"a", "b", "c"} {
					if n := rapid.IntRange(0, 4).Draw(t, build); n > 0 {
						next = append(next, Share{build, n})
					}
				}
				skew := time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "skew")) * time.Millisecond
				if last := plans[len(plans)-1].plan; len(next) > 0 && !slices.Equal(next, last.Shares) {
					plans = append(plans, inForce{successor(testGroup, 1, now.Add(skew), byID(next), last), now})
				}
			case "begin": // At a box that knows the plans of some time ago.
				lag := time.Duration(rapid.IntRange(0, int(maxLag.Milliseconds())).Draw(t, "lag")) * time.Millisecond
				known := plans[0].plan
				for _, p := range plans {
					if !p.at.After(now.Add(-lag)) {
						known = p.plan
					}
				}
				for range 8 {
					build, logged := known.begin(streamOf(nextKey), now)
					if logged {
						log[nextKey] = build
					}
					streams = append(streams, begunStream{nextKey, build, now})
					nextKey++
				}
			case "take up":
				newest := plans[len(plans)-1].plan
				for _, s := range streams {
					if now.Sub(s.at) > callerTime {
						continue
					}
					build, logged := log[s.key]
					if !logged {
						build, _ = newest.origin(streamOf(s.key), now)
					}
					if build != s.build {
						t.Fatalf("stream %d began at %s %s ago, and goes on at %s (logged %t); plan %+v", s.key, s.build, now.Sub(s.at), build, logged, newest)
					}
				}
			}
		}
	})
}

// Guards against a plan of another lineage that hides the streams of a plan that a restored store has lost.
func TestSuccessorKeepsAllLineages(t *testing.T) {
	first := successor(testGroup, 1, start, byID(shares("a", 1)))
	lost := successor(testGroup, 1, start.Add(time.Second), byID(shares("a", 1, "b", 1)), first)
	other := successor(testGroup, 2, start.Add(2*time.Second), byID(shares("c", 1)), first)
	merged := successor(testGroup, 2, start.Add(3*time.Second), byID(shares("c", 1)), lost, other)
	if !merged.newer(lost) || !merged.newer(other) {
		t.Errorf("expected a plan that replaces both, got %+v", merged)
	}
	seen := map[string]bool{}
	for _, s := range merged.candidates(start.Add(4 * time.Second)) {
		seen[fmt.Sprint(s)] = true
	}
	for _, want := range []division{first.division(), lost.division(), other.division()} {
		if !seen[fmt.Sprint(want)] {
			t.Errorf("expected %v among %v", want, seen)
		}
	}
	if merged.LogLostUntil <= start.Add(3*time.Second).UnixMilli() {
		t.Error("expected that the log may have lost origins")
	}
	if got := merged.candidates(start.Add(3*time.Second + returnTime + time.Minute)); len(got) != 1 {
		t.Errorf("expected earlier plans to be forgotten, got %v", got)
	}
}

// Guards against rows that bring a box down, or that are taken for plans.
func FuzzParsePlan(f *testing.F) {
	p := successor(testGroup, 1, start, byID(shares("a", 1, "b", 2)), successor(testGroup, 1, start, byID(shares("a", 1))))
	f.Add(p.rowKey(), p.encode())
	f.Add(p.rowKey(), []byte(`{"service":"llm","region":"perth","number":1,"shares":[{"build":"","weight":0}]}`))
	f.Add("build.x", []byte(`{}`))
	f.Add("part.x", []byte(`[]`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		p, ok := parsePlan(key, value, time.Now())
		if !ok {
			return
		}
		if again, ok := parsePlan(key, p.encode(), time.Now()); !ok || again.Number != p.Number {
			t.Errorf("expected %q to be read again", p.encode())
		}
		if build, _ := p.origin(streamOf(1), start); build == "" {
			t.Errorf("expected a build of %q", value)
		}
	})
}

// Guards against rows of other writers that are taken for plans, and that no later plan can replace.
func TestRowsThatNoBoxWritesAreNoPlans(t *testing.T) {
	now := time.Now()
	base := func() *Plan {
		return successor(testGroup, 1, now, byID(shares("a", 1, "b", 2)), successor(testGroup, 1, now, byID(shares("a", 1))))
	}
	if _, ok := parsePlan(base().rowKey(), base().encode(), now); !ok {
		t.Fatal("expected a plan")
	}
	for name, change := range map[string]func(p *Plan){
		"the largest number": func(p *Plan) { p.Number = math.MaxInt64 },
		"a negative number":  func(p *Plan) { p.Number = -1 },
		"the largest era":    func(p *Plan) { p.Era = math.MaxInt64 },
		"a negative era":     func(p *Plan) { p.Era = -1 },
		"the largest weight": func(p *Plan) { p.Shares[0].Weight = math.MaxInt64 },
		"a long build":       func(p *Plan) { p.Shares[0].Build = strings.Repeat("a", maxBuild+1) },
		"no shares":          func(p *Plan) { p.Shares = nil },
		"unplanned for good": func(p *Plan) { p.UnplannedUntil = math.MaxInt64 },
		"a log lost forever": func(p *Plan) { p.LogLostUntil = math.MaxInt64 },
		"an endless earlier": func(p *Plan) { p.Earlier[0].Until = math.MaxInt64 },
		"unsorted earlier":   func(p *Plan) { p.Earlier = append(p.Earlier, Earlier{shares("a", 1), 1, true}) },
	} {
		p := base()
		change(p)
		if _, ok := parsePlan(p.rowKey(), p.encode(), now); ok {
			t.Errorf("%s: expected no plan", name)
		}
	}
}
