package slots

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxCountedAccounts bounds the accounts that are counted separately, as their names come from other boxes. All
	// further accounts are counted together as otherAccounts.
	maxCountedAccounts = 256
	otherAccounts      = "(other)"
)

// AccountCounts counts the requests of an account since the Dispatcher was created.
type AccountCounts struct {
	Granted uint64
	// Refused counts the refusals by Reason. Withdrawn counts the requests whose callers gave up while they waited.
	Refused   [Stopping + 1]uint64
	Withdrawn uint64
	// Returning counts the requests of callers that were refused before, and ReturningRefused those that were refused
	// again.
	Returning, ReturningRefused uint64
}

// AccountSnapshot is the state of an account for display.
type AccountSnapshot struct {
	// Account is empty for calls without an account, and "(other)" for the accounts that are not counted separately.
	Account        string
	Waiting, InUse int
	AccountCounts
}

// countsOf returns the counts of an account.
func (d *Dispatcher) countsOf(account string) *AccountCounts {
	if c := d.counts[account]; c != nil {
		return c
	}
	if len(d.counts) >= maxCountedAccounts {
		account = otherAccounts
	}
	c := d.counts[account]
	if c == nil {
		c = &AccountCounts{}
		d.counts[account] = c
	}
	return c
}

func (d *Dispatcher) countRefusal(r *Request, reason Reason) {
	c := d.countsOf(r.Account)
	c.Refused[reason]++
	if r.Returning {
		c.ReturningRefused++
	}
}

// accountSnapshots returns the state of all accounts, ordered by name.
func (d *Dispatcher) accountSnapshots() []AccountSnapshot {
	byName := map[string]*AccountSnapshot{}
	get := func(account string) *AccountSnapshot {
		if d.counts[account] == nil {
			account = otherAccounts
		}
		s := byName[account]
		if s == nil {
			s = &AccountSnapshot{Account: account}
			byName[account] = s
		}
		return s
	}
	for account, c := range d.counts {
		get(account).AccountCounts = *c
	}
	for _, w := range d.waiting {
		get(w.Account).Waiting++
	}
	for _, g := range d.grants {
		if !g.overdue {
			get(g.account).InUse++
		}
	}
	out := make([]AccountSnapshot, 0, len(byName))
	for _, s := range slices.SortedFunc(maps.Values(byName), func(a, b *AccountSnapshot) int { return cmp.Compare(a.Account, b.Account) }) {
		out = append(out, *s)
	}
	return out
}
