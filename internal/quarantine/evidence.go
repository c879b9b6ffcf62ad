package quarantine

import "math"

// The evidence of one crash against the request that ran there is a number of bits. It says how much less likely
// the crash is if the request did not cause it. An endpoint that runs for a time t crashes by itself with probability
// 1 - exp(-t × baselineCrashesPerSecond). Under a request that crashes every endpoint, it crashes with certainty.
//
// Example: a request that ran for 0.1 s gets 5 bits (the maximum), a request that ran for 1 s gets 3.4, and a request
// that ran for 4 s gets 1.6. A long stream that was running at three crashes has 5 bits in total, far below
// ThresholdBits. A request that is retried each time and crashes its engine within half a second reaches ThresholdBits
// with three crashes.
const (
	// baselineCrashesPerSecond is the rate at which one endpoint crashes during a bad period. On a recorded day
	// at least three of nine engines crashed in each ten seconds because of two requests, which is 0.03 to 0.1
	// crashes per second.
	baselineCrashesPerSecond = 0.1
	// maxCrashBits is the maximum evidence of one crash. Two crashes never reach ThresholdBits, since unrelated
	// endpoints also crash together.
	maxCrashBits = 5
	// minCrashBits is the least evidence that is recorded. It is that of a request that ran for 2.9 s.
	minCrashBits = 2
	// ThresholdBits is the total evidence at which a request is quarantined. A harmless request of 3 s that is
	// retried after each crash is wrongly quarantined once in 100,000 times if each endpoint crashes 0.02 times
	// per second. It is once in 13,000 times at 0.05 crashes per second, and once in 2,000 times at 0.1
	// (TestWrongQuarantineRate).
	ThresholdBits = 13
)

// totalBits adds up the evidence of the crashes. Of the crashes within one try of a request, only the strongest
// counts in full, and each other one counts minCrashBits. A stream that migrates from engine to engine while these
// crash one after the other is running at several crashes within one try. A request that causes crashes is sent
// again as another try.
func totalBits(crashes []Crash) (total float64) {
	strongest := map[string]float64{}
	for i := range crashes {
		bits := crashBits(&crashes[i])
		if strongestSoFar, seen := strongest[crashes[i].Try]; seen && crashes[i].Try != "" {
			total += minCrashBits + max(0, bits-strongestSoFar)
			strongest[crashes[i].Try] = max(bits, strongestSoFar)
			continue
		}
		strongest[crashes[i].Try] = bits
		total += bits
	}
	return total
}

// crashBits returns the evidence of one crash in bits. A doubtful crash counts minCrashBits. So a request that crashes
// every endpoint at once is quarantined after seven doubtful crashes.
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
