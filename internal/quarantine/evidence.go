package quarantine

import "math"

// Evidence of one crash against the request that ran there, in bits: how much less likely the crash
// is if the request did not cause it. An endpoint that runs for a time t crashes by itself with
// probability 1 - exp(-t × baselineCrashesPerSecond), and with certainty under a request that crashes
// every endpoint.
//
// Example: a request that ran for 0.1 s gets 5 bits (the maximum), one that ran for 1 s gets 3.4, and
// one that ran for 4 s gets 1.6. A long stream that was running at three crashes has 5 bits in total,
// far below ThresholdBits; a request that is restarted each time and crashes its engine within half a
// second reaches ThresholdBits with three.
const (
	// baselineCrashesPerSecond is the crash rate of one endpoint during a bad period: on a recorded day,
	// at least three of nine engines crashed in each ten seconds because of two requests, which is 0.03
	// to 0.1 per second.
	baselineCrashesPerSecond = 0.1
	// maxCrashBits caps the evidence of one crash so that two never reach ThresholdBits: unrelated
	// endpoints also crash together.
	maxCrashBits = 5
	// minCrashBits is the least evidence that is recorded; it corresponds to a run of 2.9 s.
	minCrashBits = 2
	// ThresholdBits is the total at which a request is quarantined. Where endpoints crash 0.02, 0.05 and
	// 0.1 times per second, a harmless 3 s request that is restarted after each crash is wrongly
	// quarantined once in 100,000, 13,000 and 2,000 times (TestWrongQuarantineRate).
	ThresholdBits = 13
)

// totalBits adds up the evidence of the crashes. Of the crashes within one try only the strongest counts
// in full, and each other one counts minCrashBits: a stream that migrates from engine to engine while
// these crash one after the other is present at several crashes at once, whereas a request that causes
// them is sent again as another try.
func totalBits(crashes []Crash) (total float64) {
	strongest := map[string]float64{}
	for i := range crashes {
		b := crashBits(&crashes[i])
		if strongestSoFar, seen := strongest[crashes[i].Try]; seen && crashes[i].Try != "" {
			total += minCrashBits + max(0, b-strongestSoFar)
			strongest[crashes[i].Try] = max(b, strongestSoFar)
			continue
		}
		strongest[crashes[i].Try] = b
		total += b
	}
	return total
}

// crashBits returns the evidence of one crash. A doubtful crash counts minCrashBits, so that seven of
// them quarantine a request that crashes every endpoint immediately.
func crashBits(e *Crash) float64 {
	if e.Doubtful {
		return minCrashBits
	}
	p := -math.Expm1(-baselineCrashesPerSecond * max(0, e.RunTime.Seconds()))
	if p <= 0 {
		return maxCrashBits
	}
	return min(maxCrashBits, -math.Log2(p))
}
