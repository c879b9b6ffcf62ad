// Package pacing bounds what all boxes together send to one endpoint, and sets how fast each box may send to it. A box
// is a machine that runs the router, and an endpoint is a back end.
//
// A bound applies to the sum over all boxes, even while boxes are cut off from each other. If the bound were divided
// equally, each box would often get less than one request. So only a few boxes are selected to send.
//
// Each box determines by itself whether it is selected and how much it may send. Each box has a list of all boxes.
// For each endpoint, a hash ranks the boxes on the list (rendezvous hashing). The highest-ranked boxes are selected.
package pacing

import "github.com/cespare/xxhash/v2"

// Selected reports whether a box is on the list boxes, and is one of the n highest-ranked boxes for an endpoint.
func Selected(box string, boxes []string, endpoint string, n int) bool {
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
