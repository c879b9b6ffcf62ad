// Package pacing bounds what all boxes together send to one endpoint, and at which pace each box may send to it.
//
// The bounds apply to the sum over all boxes, also while boxes are cut off from each other. An equal share of the
// bound for each box would often be less than one request, so only a few boxes are selected to send. Each box
// determines by itself whether it is selected and how much it may send. It does so by rendezvous hashing: for each
// endpoint, a hash ranks the boxes of the list, and the highest-ranked boxes are selected.
package pacing

import "github.com/cespare/xxhash/v2"

// selected reports whether a box is on the list and among its n highest-ranked boxes for an endpoint.
func selected(box string, boxes []string, endpoint string, n int) bool {
	ownRank, listed, higherRanked := rank(box, endpoint), false, 0
	for _, other := range boxes {
		if other == box {
			listed = true
			continue
		}
		if rank(other, endpoint) > ownRank {
			higherRanked++
		}
	}
	return listed && higherRanked < n
}

func rank(box, endpoint string) uint64 { return xxhash.Sum64String(box + " " + endpoint) }
