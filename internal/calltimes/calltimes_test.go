package calltimes

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func record(t *Table, k Key, times ...time.Duration) {
	for _, d := range times {
		t.Record(k, d)
	}
}

// Guards against an estimate below a call that was seen, and one that a single slow call far in the past keeps high.
func TestEstimateFollowsLatestCalls(t *testing.T) {
	var table Table
	k := Key{"s", "r"}
	if _, known := table.Estimate(k); known {
		t.Error("expected nothing to be known")
	}
	record(&table, k, time.Millisecond, 700*time.Millisecond, time.Millisecond)
	if d, known := table.Estimate(k); !known || d < 700*time.Millisecond {
		t.Errorf("expected more than the longest of a few calls, got %s", d)
	}
	record(&table, k, slices.Repeat([]time.Duration{10 * time.Millisecond}, samples)...)
	if d, _ := table.Estimate(k); d > 20*time.Millisecond {
		t.Errorf("expected the latest calls to decide, got %s", d)
	}
}

// Guards against taking a service as unknown although another route has called it, and against mixing services.
func TestOtherRouteOfService(t *testing.T) {
	var table Table
	record(&table, Key{"s", "a"}, 2*time.Second)
	if d, known := table.Estimate(Key{"s", "b"}); !known || d < 2*time.Second {
		t.Errorf("expected the service's other route to count, got %s, %t", d, known)
	}
	record(&table, Key{"s", "b"}, time.Millisecond)
	if d, _ := table.Estimate(Key{"s", "b"}); d > time.Second {
		t.Errorf("expected the route's own calls to count, got %s", d)
	}
	if _, known := table.Estimate(Key{"other", "a"}); known {
		t.Error("expected nothing to be known of another service")
	}
	table.Keep(func(k Key) bool { return k.Route == "b" })
	if d, _ := table.Estimate(Key{"s", "a"}); d > time.Second {
		t.Errorf("expected the removed route to be forgotten, got %s", d)
	}
}

// service draws the times of the calls of a service.
type service struct {
	name string
	draw func(rng *rand.Rand) time.Duration
}

// spread draws a lognormal time with a mean and a standard deviation of cv times the mean.
func spread(mean time.Duration, cv float64) func(*rand.Rand) time.Duration {
	s := math.Sqrt(math.Log(1 + cv*cv))
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(float64(mean) * math.Exp(s*rng.NormFloat64()-s*s/2))
	}
}

func mixed(share float64, a, b func(*rand.Rand) time.Duration) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		if rng.Float64() < share {
			return a(rng)
		}
		return b(rng)
	}
}

// late returns the shares of late calls that a way to estimate refuses although they could have ended, and that it lets run
// into the end of the stop. Requests have 6.8 s, and calls arrive in the first 2.5 s or, if tight, when 0.1 to 2.5 s are left.
func late(s service, seen int, tight bool, estimate func([]time.Duration) time.Duration) (refusedEarly, cut, refused float64) {
	const plays, calls = 300, 40
	rng := rand.New(rand.NewPCG(1, 2))
	for range plays {
		var list []time.Duration
		for range seen {
			list = append(list, s.draw(rng))
		}
		e := estimate(slices.Clone(list))
		for range calls {
			left := 4300*time.Millisecond + time.Duration(rng.Float64()*float64(2500*time.Millisecond))
			if tight {
				left -= 4200 * time.Millisecond
				left = min(left, 2500*time.Millisecond)
			}
			took := s.draw(rng)
			switch {
			case e > left && took <= left:
				refusedEarly++
				refused++
			case e > left:
				refused++
			case took > left:
				cut++
			}
		}
	}
	const n = plays * calls
	return refusedEarly / n, cut / n, refused / n
}

var services = []service{
	{"fast", spread(20*time.Millisecond, 0.7)},
	{"slow", spread(2500*time.Millisecond, 0.2)},
	{"uneven", spread(1500*time.Millisecond, 0.7)},
	{"mixed", mixed(0.9, spread(50*time.Millisecond, 0.5), spread(3*time.Second, 0.2))},
	{"rare", mixed(0.99, spread(50*time.Millisecond, 0.5), spread(4*time.Second, 0.2))},
}

func latest(list []time.Duration, n int) []time.Duration { return list[max(0, len(list)-n):] }

func quantileOf(q, margin float64) func([]time.Duration) time.Duration {
	return func(list []time.Duration) time.Duration {
		list = latest(list, samples)
		slices.Sort(list)
		return time.Duration(margin * float64(list[min(len(list)-1, int(q*float64(len(list))))]))
	}
}

func meanTimes(factor float64) func([]time.Duration) time.Duration {
	return func(list []time.Duration) time.Duration {
		sum := time.Duration(0)
		for _, d := range list {
			sum += d
		}
		return time.Duration(factor * float64(sum) / float64(len(list)))
	}
}

func longest(n int, margin float64) func([]time.Duration) time.Duration {
	return func(list []time.Duration) time.Duration {
		return time.Duration(margin * float64(slices.Max(latest(list, n))))
	}
}

var ways = []struct {
	name     string
	estimate func([]time.Duration) time.Duration
}{
	{"nothing refused", func([]time.Duration) time.Duration { return 0 }},
	{"route's time, 10 s", func([]time.Duration) time.Duration { return 10 * time.Second }},
	{"1.5 x mean", meanTimes(1.5)},
	{"3 x mean", meanTimes(3)},
	{"0.9 quantile x 1.25", quantileOf(0.9, 1.25)},
	{"0.98 quantile", quantileOf(0.98, 1)},
	{"0.98 quantile x 1.25", quantileOf(0.98, 1.25)},
	{"0.98 quantile x (1.25 + 1/n)", func(list []time.Duration) time.Duration { return upper(latest(list, samples)) }},
	{"longest of 32 x 1.25", longest(32, 1.25)},
	{"longest of 128 x 1.25", longest(128, 1.25)},
}

// Guards against an estimate that refuses calls of fast services, or lets calls of slow ones run into the end of the stop.
func TestStopsRefuseAndCutFew(t *testing.T) {
	for _, tight := range []bool{false, true} {
		for _, s := range services {
			for _, seen := range []int{5, 20, 500} {
				for _, w := range ways {
					early, cut, refused := late(s, seen, tight, w.estimate)
					t.Logf("tight=%t %s, %d seen: %s: refused %.1f%%, could have ended %.1f%%, cut %.2f%%", tight, s.name, seen, w.name, 100*refused, 100*early, 100*cut)
				}
				early, cut, _ := late(s, seen, tight, func(list []time.Duration) time.Duration { return upper(latest(list, samples)) })
				_, without, _ := late(s, seen, tight, func([]time.Duration) time.Duration { return 0 })
				if !tight && s.name == "fast" && early > 0 {
					t.Errorf("%s, %d seen: expected no refusal, got %.2f%%", s.name, seen, 100*early)
				}
				// A tenth of the cuts may stay, and those after a history that has none of the slow calls, one in ten of all.
				if allowed := without * (0.1 + math.Pow(0.9, float64(seen))); s.name != "rare" && tight && cut > allowed+0.001 {
					t.Errorf("%s, %d seen: expected at most %.2f%% of cuts, got %.2f%%", s.name, seen, 100*allowed, 100*cut)
				}
			}
		}
	}
}
