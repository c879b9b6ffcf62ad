package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// This file decides which parts crash endpoints. A crash makes all parts that ran there suspects, also those of the
// harmless streams beside the request that caused the crash. A harmless part has runs that lasted, and these clear it.
// Where several parts remain, the fewest parts are looked for that explain the crashes. A harmless part that was always
// beside a part that crashes endpoints explains nothing by itself, and is not blamed.

// minPartBits is the least evidence of one crash against a part. Five crashes then suffice, however long the requests
// had waited at the endpoints before they began.
const minPartBits = ThresholdBits / 5.0

// minPartRequests is the least number of different requests under which endpoints must have crashed. One request that is
// sent again and again is quarantined by itself.
const minPartRequests = 2

// exposure is the evidence of one crash against a part that ran there.
type exposure struct {
	request string // Tells requests apart.
	account string // The Tag of the client account.
	bits    float64
	// position is the number of parts that stand before this part in the prompt.
	position int
	// runs is the number of requests with the part that ran at the endpoint.
	runs int
}

// join adds the evidence of other runs at the same crash. A part that crashes endpoints does so as soon as a run begins to
// write. So the run that had gone on for longest counts.
func (e exposure) join(other exposure) exposure {
	if other.bits < e.bits {
		e.bits, e.request, e.account = other.bits, other.request, other.account
	}
	e.position, e.runs = max(e.position, other.position), e.runs+other.runs
	return e
}

// suspects are the parts that may have caused one crash.
type suspects map[Part]exposure

// tally is the evidence against one part.
type tally struct {
	bits     float64
	requests int
	position int
	shared   int    // The crashes in which several requests with the part ran.
	account  string // Empty if requests of several accounts, or of none, are part of the evidence.
	crashes  []string
}

// sufficient reports whether the evidence is enough to quarantine the part.
func (t *tally) sufficient() bool { return t.bits >= ThresholdBits && t.requests >= minPartRequests }

// indexParts returns the crashes of each part that has several.
func indexParts(crashes map[string]suspects) map[Part][]string {
	index := map[Part][]string{}
	for endpoint, s := range crashes {
		for p := range s {
			index[p] = append(index[p], endpoint)
		}
	}
	maps.DeleteFunc(index, func(_ Part, list []string) bool { return len(list) < minPartRequests })
	return index
}

// tallyPart adds up the evidence of crashes against a part. The crashes of one request count in full only once.
func tallyPart(p Part, crashes map[string]suspects, endpoints []string) (t tally) {
	t.crashes = slices.Sorted(slices.Values(endpoints))
	list := make([]exposure, 0, len(endpoints))
	for _, endpoint := range t.crashes {
		list = append(list, crashes[endpoint][p])
	}
	slices.SortStableFunc(list, func(a, b exposure) int { return cmp.Compare(b.bits, a.bits) })
	seen := map[string]bool{}
	for i, e := range list {
		if !seen[e.request] {
			seen[e.request] = true
			t.bits += e.bits
		} else {
			t.bits += minCrashBits
		}
		t.position = max(t.position, e.position)
		if e.runs > 1 {
			t.shared++
		}
		if i == 0 {
			t.account = e.account
		} else if t.account != e.account {
			t.account = ""
		}
	}
	t.requests = len(seen)
	return t
}

// coveredShare is the share of the crashes of a part that parts further back in prompts must explain, for the part not to
// be blamed. A first part that all requests share runs at each crash, whatever causes it.
const coveredShare = 0.5

// findParts returns the parts that explain the crashes, with the evidence against each of them. It blames the part with
// the most evidence first, unless others explain half of its crashes that stand further back in prompts, and that fewer
// requests share. What a part explains counts against no other part any more.
func findParts(crashes map[string]suspects) map[Part]tally {
	found := map[Part]tally{}
	all := indexParts(crashes)
	remaining := maps.Clone(crashes)
	for {
		candidates := sufficientParts(remaining)
		n := slices.IndexFunc(candidates, func(c candidate) bool { return !isCovered(c, candidates, remaining) })
		if n < 0 {
			break
		}
		best := candidates[n]
		found[best.part] = tallyPart(best.part, crashes, all[best.part])
		for _, endpoint := range best.crashes {
			delete(remaining, endpoint)
		}
	}
	dropRedundant(found)
	return found
}

// candidate is a part with enough evidence against it.
type candidate struct {
	part Part
	tally
}

// sufficientParts returns the parts with enough evidence against them, those with the most evidence first.
func sufficientParts(crashes map[string]suspects) (out []candidate) {
	for p, endpoints := range indexParts(crashes) {
		if t := tallyPart(p, crashes, endpoints); t.sufficient() {
			out = append(out, candidate{p, t})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.bits, a.bits), cmp.Compare(b.position, a.position), bytes.Compare(a.part[:], b.part[:]))
	})
	return out
}

// isCovered reports whether candidates that stand further back in prompts explain the crashes of a part.
func isCovered(c candidate, candidates []candidate, crashes map[string]suspects) bool {
	covered := 0
	for _, endpoint := range c.crashes {
		if slices.ContainsFunc(candidates, func(other candidate) bool {
			_, ran := crashes[endpoint][other.part]
			return ran && other.position > c.position
		}) {
			covered++
		}
	}
	return float64(covered) >= coveredShare*float64(len(c.crashes))
}

// dropRedundant removes parts whose crashes other parts explain, those with the least evidence first.
func dropRedundant(found map[Part]tally) {
	order := slices.SortedFunc(maps.Keys(found), func(a, b Part) int {
		return cmp.Or(cmp.Compare(found[a].bits, found[b].bits), bytes.Compare(a[:], b[:]))
	})
	for _, p := range order {
		explained := map[string]bool{}
		for other, t := range found {
			if other != p {
				for _, c := range t.crashes {
					explained[c] = true
				}
			}
		}
		if !slices.ContainsFunc(found[p].crashes, func(c string) bool { return !explained[c] }) {
			delete(found, p)
		}
	}
}
