package builds

import (
	"github.com/stoatramp/stoatramp/internal/origins"
)

// streamOf returns the stream with a key; the zero one for key 0. Its account's key divides streams otherwise.
func streamOf(k origins.Key) origins.Stream {
	if k == 0 {
		return origins.Stream{}
	}
	return origins.Stream{Key: k, AccountKeys: []origins.Key{k ^ 0x9e3779b97f4a7c15}}
}

func byID(s Shares) division { return division{s, true} }

// rulesOf returns what the boxes know if one is, or is not, of a release that begins streams without plans.
func rulesOf(earlier bool) int {
	if earlier {
		return 0
	}
	return PlanRulesByID
}
