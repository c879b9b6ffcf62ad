package overlay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/quota"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file finds the homes of client accounts and speaks to them; package quota decides. All
// boxes of a region order its boxes in the same way for a group of accounts, and take the first one
// that answers for the home.

const (
	// allowLimit bounds a question to a home, and lendLimit the lending of parts. A plain call is
	// in time within 300 ms, and a box that is short of processor time answers some tens of
	// milliseconds later.
	allowLimit = 60 * time.Millisecond
	lendLimit  = 200 * time.Millisecond
	// mostAsked is how many homes are asked for one request.
	mostAsked = 2
	// settleAgain paces the lending while a part is not where it should be: a home that came or went
	// has what it gives out again in a tenth of a second, where the next renewal took five. On a
	// played day 175 of the 531 requests of the two seconds in which all of 60 boxes were killed and
	// began again were refused, most for want of a home with parts.
	settleAgain = 100 * time.Millisecond
	// mayHear is how long after its start a box asks others though it follows none yet.
	mayHear = 3 * time.Second
	// mostUnits bounds a question's units.
	mostUnits = 1 << 40
)

// homeOrder keeps the order of boxes for each group.
type homeOrder struct {
	mu      sync.Mutex
	version int64
	order   [quota.Groups][]Member
}

// accountHomes are the region's boxes in the order in which they are a group's home.
func (n *Node) accountHomes(group int) []Member {
	version := n.members.changes.Load()
	n.order.mu.Lock()
	defer n.order.mu.Unlock()
	if n.order.version != version || n.order.order[0] == nil {
		list := n.members.list(n.o.Self.Region)
		for g := range n.order.order {
			n.order.order[g] = ranked(list, "accounts "+strconv.Itoa(g))
		}
		n.order.version = version
	}
	return n.order.order[group]
}

// ranked sorts members by how much they are a key's, as rendezvous picks the first one.
func ranked(list []Member, key string) []Member {
	type scored struct {
		m Member
		n uint64
	}
	all := make([]scored, len(list))
	for i, m := range list {
		all[i] = scored{m, claim(m, key)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(a.m.Name, b.m.Name)) })
	out := make([]Member, len(all))
	for i, s := range all {
		out[i] = s.m
	}
	return out
}

// RunLimits lends this box's parts of the accounts' limits until ctx ends. Alone says that there are no
// other boxes.
func (n *Node) RunLimits(ctx context.Context, alone bool) {
	for ctx.Err() == nil {
		limited := n.o.Limits.Limited()
		if limited {
			n.place(clock.Now(), alone)
			if n.lendParts(ctx, alone) {
				n.lendParts(ctx, alone) // What came back goes to its home at once.
			}
		}
		sleep(ctx, n.nextLook(clock.Now(), limited, alone))
	}
}

// nextLook is when to look again at who has the parts. In its first seconds a box waits for its
// configuration and the list of members.
func (n *Node) nextLook(now time.Time, limited, alone bool) time.Duration {
	starting := now.Sub(n.began) < mayHear && !(limited && (alone || n.members.known()))
	if starting || limited && !n.settled(now, alone) {
		return settleAgain
	}
	renew, _ := quota.Renewal(n.members.size())
	return renew
}

// settled says whether all parts are where they should be.
func (n *Node) settled(now time.Time, alone bool) bool {
	for g, home := range n.wanted(now, alone) {
		if home != n.lender.To(now, g) {
			return false
		}
	}
	return true
}

// hears says whether others may answer this box.
func (n *Node) hears() bool {
	return n.Connected() || clock.Since(n.began) < mayHear && n.members.secret() != ""
}

// wanted are the boxes that should have the parts of each group now.
func (n *Node) wanted(now time.Time, alone bool) (want [quota.Groups]string) {
	for g := range want {
		want[g] = n.o.Self.Name
		if alone || !n.hears() {
			continue
		}
		for _, m := range n.accountHomes(g) {
			if m.Name == n.o.Self.Name || n.homes.usable(m.Name, now) {
				want[g] = m.Name
				break
			}
		}
	}
	return want
}

// place says where this box stands among the homes.
func (n *Node) place(now time.Time, alone bool) {
	for g := range quota.Groups {
		at := quota.Place{Boxes: 1}
		if !alone {
			rank := slices.IndexFunc(n.accountHomes(g), func(m Member) bool { return m.Name == n.o.Self.Name })
			at = quota.Place{Boxes: n.members.size(), Rank: rank}
			if rank < 0 {
				at.Rank = at.Boxes // Not listed yet: the last one.
			}
		}
		n.o.Limits.SetPlace(now, g, at)
	}
}

// lendParts lends once, and returns whether parts came back that can be lent again.
func (n *Node) lendParts(ctx context.Context, alone bool) (again bool) {
	now := clock.Now()
	_, lent := quota.Renewal(n.members.size())
	return n.lendCalls(ctx, n.lender.Plan(now, n.wanted(now, alone), lent))
}

// lendCalls makes calls at the same time.
func (n *Node) lendCalls(ctx context.Context, calls []quota.Call) (again bool) {
	var wg sync.WaitGroup
	results := make([]quota.Result, len(calls))
	for i, c := range calls {
		if c.To == n.o.Self.Name {
			n.o.Limits.Lend(clock.Now(), c.To, c.Groups, c.Back, c.For)
			continue
		}
		m, _ := n.members.get(c.To)
		wg.Go(func() { results[i] = n.lend(ctx, m.Address, c) })
	}
	wg.Wait()
	for i, c := range calls {
		again = n.lender.Ended(clock.Now(), c, results[i]) || again
	}
	return again
}

// lend tells a home of parts that it has, or has no more.
func (n *Node) lend(ctx context.Context, address string, c quota.Call) quota.Result {
	if address == "" {
		return quota.Lost // Not listed any more; what it has ends by itself.
	}
	ctx, cancel := context.WithTimeout(ctx, lendLimit)
	defer cancel()
	req := connect.NewRequest(&v1.LendRequest{Box: n.o.Self.Name, Back: c.Back, LentMs: c.For.Milliseconds()})
	for _, g := range c.Groups {
		req.Msg.Groups = append(req.Msg.Groups, int32(g))
	}
	authorize(req.Header(), n.members.secret())
	_, err := n.client(address).Lend(ctx, req)
	if err == nil {
		n.count.lent.Inc()
		return quota.Delivered
	}
	n.count.lendLost.Inc()
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return quota.Gone // It does not list this box yet, and has taken nothing.
	}
	n.homes.failed(c.To, clock.Now())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return quota.Gone
	}
	return quota.Lost
}

// Allow asks the home of an account for units of its limit. Where none answers, this box does by the
// parts that it has. Known is false where neither knows a limit of the account.
func (n *Node) Allow(ctx context.Context, account string, units, ahead float64) (a quota.Answer, known bool) {
	if n.hears() {
		for _, m := range n.asked(clock.Now(), quota.GroupOf(account)) {
			if m.Name == n.o.Self.Name {
				break // This box is the home.
			}
			if a, ok := n.askAllow(ctx, m, account, units, ahead); ok {
				return a, true
			}
		}
	}
	return n.o.Limits.Ask(clock.Now(), account, units, ahead)
}

// asked are the boxes to ask of a group, up to mostAsked: the one that has this box's part, since the
// others' are there too while a new home is lent to, and then in the order of homes.
func (n *Node) asked(now time.Time, group int) (out []Member) {
	if to := n.lender.To(now, group); to != "" {
		if m, ok := n.members.get(to); ok && n.homes.usable(to, now) {
			out = append(out, m)
		}
	}
	for _, m := range n.accountHomes(group) {
		if len(out) >= mostAsked {
			break
		}
		if (len(out) == 0 || out[0].Name != m.Name) && n.homes.usable(m.Name, now) {
			out = append(out, m)
		}
	}
	return out
}

// askAllow asks one home; ok is false if it did not answer or does not know the account.
func (n *Node) askAllow(ctx context.Context, m Member, account string, units, ahead float64) (a quota.Answer, ok bool) {
	limited, cancel := context.WithTimeout(ctx, allowLimit)
	defer cancel()
	req := connect.NewRequest(&v1.AllowRequest{Account: account, Units: units, AheadUnits: ahead})
	authorize(req.Header(), n.members.secret())
	resp, err := n.client(m.Address).Allow(limited, req)
	if err != nil {
		n.count.unasked.Inc()
		if ctx.Err() == nil && connect.CodeOf(err) != connect.CodeNotFound {
			n.homes.failed(m.Name, clock.Now())
		}
		return quota.Answer{}, false
	}
	n.count.asked.Inc()
	return quota.Answer{
		Granted: resp.Msg.Granted, Wait: time.Duration(resp.Msg.WaitUs) * time.Microsecond, Part: resp.Msg.Part, By: m.Name,
	}, true
}

// Lend takes the parts of another box.
func (s *server) Lend(_ context.Context, r *connect.Request[v1.LendRequest]) (*connect.Response[v1.LendResponse], error) {
	if err := s.n.allowed(r.Header()); err != nil {
		return nil, err
	}
	groups := make([]int, len(r.Msg.Groups))
	for i, g := range r.Msg.Groups {
		groups[i] = int(g)
	}
	if _, listed := s.n.members.get(r.Msg.Box); !listed || len(groups) > quota.Groups || r.Msg.LentMs < 0 || r.Msg.LentMs > quota.LongestLent.Milliseconds() {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("the box that lends is not listed here, or lends what it cannot"))
	}
	s.n.o.Limits.Lend(clock.Now(), r.Msg.Box, groups, r.Msg.Back, time.Duration(r.Msg.LentMs)*time.Millisecond)
	return connect.NewResponse(&v1.LendResponse{}), nil
}

// Allow answers for an account whose home this box is.
func (s *server) Allow(_ context.Context, r *connect.Request[v1.AllowRequest]) (*connect.Response[v1.AllowResponse], error) {
	if err := s.n.allowed(r.Header()); err != nil {
		return nil, err
	}
	if !(r.Msg.Units >= 0 && r.Msg.Units <= mostUnits && r.Msg.AheadUnits >= 0 && r.Msg.AheadUnits <= mostUnits) {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the units are out of bounds"))
	}
	a, known := s.n.o.Limits.Ask(clock.Now(), r.Msg.Account, r.Msg.Units, r.Msg.AheadUnits)
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no limit is known for the account"))
	}
	return connect.NewResponse(&v1.AllowResponse{Granted: a.Granted, WaitUs: a.Wait.Microseconds(), Part: a.Part}), nil
}
