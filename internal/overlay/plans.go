package overlay

import "slices"

// This file says which box changes the plans of builds (package builds).

// PlanRank returns the position of this box among those boxes of a region that plan, in the order in which they write a row. It
// is negative if this box is not one of them, and there are some.
func (n *Node) PlanRank(region, key string) int {
	list := slices.DeleteFunc(n.members.list(region), func(m Member) bool { return !m.Plans })
	if len(list) == 0 {
		return 0
	}
	return slices.IndexFunc(rankMembers(list, "build plan "+key), func(m Member) bool { return m.Name == n.o.Self.Name })
}

// CountIn returns the number of boxes of a region.
func (n *Node) CountIn(region string) int { return len(n.members.list(region)) }

// PlanRules returns the version of the rules for plans that all boxes of a region know. A box with rules below
// PlanRulesTraceable begins streams whose build follows neither from the log nor from the plans.
func (n *Node) PlanRules(region string) int {
	lowest := PlanRulesByID
	for _, m := range n.members.list(region) {
		lowest = min(lowest, max(0, m.PlanRules))
	}
	return lowest
}
