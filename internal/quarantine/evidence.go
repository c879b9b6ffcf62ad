package quarantine

import "math"

// The evidence of one crash against the request that ran there is a number of bits. It compares two probabilities of
// the crash. If the request crashes every endpoint, the crash is certain. If the request is harmless, the endpoint
// crashes by itself within the run time t with probability 1 - exp(-t × baselineCrashesPerSecond). The lower this
// probability is, the more bits the crash has.
//
// Example: a request that ran for 0.1 s gets 5 bits (the maximum), a request that ran for 1 s gets 3.4, and a request
// that ran for 4 s gets 1.6. A long stream that was running at three crashes has 5 bits in total, far below
// ThresholdBits. A request that is retried each time and crashes its engine within half a second reaches ThresholdBits
// with three crashes.
const (
	// baselineCrashesPerSecond is the rate at which one endpoint crashes during a bad period. On a recorded day at
	// least three of nine engines crashed in each ten seconds because of two requests. That is 0.03 to 0.1 crashes per
	// second.
	baselineCrashesPerSecond = 0.1
	// maxCrashBits is the maximum evidence of one crash. Two crashes never reach ThresholdBits, since unrelated
	// endpoints also crash together.
	maxCrashBits = 5
	// minCrashBits is the least evidence of a crash that is recorded. A request that ran for 2.9 s has this evidence.
	minCrashBits = 2
	// ThresholdBits is the total evidence at which a request is quarantined. Take a harmless request of 3 s that is
	// retried after each crash. If each endpoint crashes 0.02 times per second, the request is wrongly quarantined once
	// in 100,000 times. At 0.05 crashes per second it is once in 13,000 times, and at 0.1 once in 2,000 times
	// (TestWrongQuarantineRate).
	ThresholdBits = 13
)

// totalBits adds up the evidence of the crashes. Within one try of a request, only the strongest crash counts in full.
// Each other crash of that try counts minCrashBits. The reason is a stream that migrates from engine to engine while
// the engines crash one after the other: it is running at several crashes within one try. A request that causes crashes
// is sent again as another try.
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
// every endpoint immediately is quarantined after seven doubtful crashes.
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
