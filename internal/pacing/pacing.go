// Package pacing bounds what all boxes together send to one endpoint.
//
// The bounds are on sums over all boxes, and hold for boxes too that are cut off from the others. A part of
// the bound for each box would be less than one request. So few boxes are selected to send; each finds out
// by itself whether it is one of them, by rendezvous hashing over the list of boxes, and keeps to its share.
package pacing

import "github.com/cespare/xxhash/v2"

// selected says whether a box is listed and among the first n of the list for an endpoint.
func selected(box string, boxes []string, endpoint string, n int) bool {
	own, listed, before := rank(box, endpoint), false, 0
	for _, other := range boxes {
		if other == box {
			listed = true
			continue
		}
		if rank(other, endpoint) > own {
			before++
		}
	}
	return listed && before < n
}

func rank(box, endpoint string) uint64 { return xxhash.Sum64String(box + " " + endpoint) }
