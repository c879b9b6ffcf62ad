package quarantine

import "math"

// How much one end of an endpoint says against a request that ran there, in bits: by how much it is
// less likely under a request that has nothing to do with it. An endpoint that runs for a time t
// ends by itself with a chance of 1 - exp(-t × usualEnds), and under a request that ends whatever runs it for certain.
//
// Example: a request that ran for 0.1 s has 5 bits against it (the most), one that ran for 1 s 3.4, one
// that had run for 4 s 1.6. A long stream that is near three crashes has 5 bits, and is far from
// Enough; one that begins anew each time and ends its engine within half a second is there with three.
const (
	// usualEnds is how often an endpoint ends, a second, where many do: three and more of nine engines
	// ended in each ten seconds of a recorded day on which two requests did it, 0.03 to 0.1 a second.
	usualEnds = 0.1
	// mostBits bounds what one end says, so that two are never enough: endpoints also end together.
	mostBits = 5
	// leastBits is what an end must say to be kept: 2.9 s and less.
	leastBits = 2
	// Enough is when a request is not sent to endpoints any more. Where endpoints end 0.02, 0.05 and
	// 0.1 times a second, a request of 3 s that begins anew after each end and has nothing to do with
	// them is wrongly held once in 100,000, 13,000 and 2,000 times (TestWronglyHeld).
	Enough = 13
)

// sum is what ends say against their request together. Of those within one try only the strongest
// counts in full, and the others as little as a doubtful one: a stream that goes on from engine to engine while
// these end one after the other comes near several ends at once, and a request that ends them itself
// comes again.
func sum(ends []End) (total float64) {
	strongest := map[string]float64{}
	for i := range ends {
		b := bits(&ends[i])
		if before, more := strongest[ends[i].Try]; more && ends[i].Try != "" {
			total += leastBits + max(0, b-before)
			strongest[ends[i].Try] = max(b, before)
			continue
		}
		strongest[ends[i].Try] = b
		total += b
	}
	return total
}

// bits is what an end says against the request. A doubtful one says the least: so seven of them are
// enough, for a request that ends whatever it is sent to at once.
func bits(e *End) float64 {
	if e.Doubt {
		return leastBits
	}
	p := -math.Expm1(-usualEnds * max(0, e.Ran.Seconds()))
	if p <= 0 {
		return mostBits
	}
	return min(mostBits, -math.Log2(p))
}
