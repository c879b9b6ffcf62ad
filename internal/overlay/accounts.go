package overlay

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
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

// Package quota divides the limit of a client account into equal shares, one for each box. The boxes lend their
// shares to one box, the owner of the account. The owner grants units of the limit to all boxes. This file selects
// the owners and calls them. Package quota decides what is granted.
//
// Accounts are divided into groups. All accounts of a group have the same owner. All boxes of a region rank the
// boxes of the region in the same order for a group. The first box in this order that answers is the owner.

const (
	// allowTimeout bounds a call that requests units from an owner. lendTimeout bounds a call that lends shares.
	// A request without streaming counts as on time within 300 ms. A box that is short of processor time
	// answers some tens of milliseconds late.
	allowTimeout = 60 * time.Millisecond
	lendTimeout  = 200 * time.Millisecond
	// maxOwnersAsked is how many boxes are asked as owner of the account for one client request. One more is asked while
	// shares move from one owner to another.
	maxOwnersAsked = 2
	// A share that moves from one owner to another is with neither of them between two calls. If all boxes move their
	// shares at the same time, both owners refuse. The request is then repeated up to maxMoveRetries times.
	maxMoveRetries = 3
	moveRetryDelay = 20 * time.Millisecond
	// unsettledLendInterval is the pause between lending attempts while a share of this box is not yet lent to
	// the owner of its group. So after a change of owner the new owner can grant units within a tenth of a second.
	// Before, the shares were lent to the new owner only at the next renewal of the loans, five seconds later. In
	// a simulated day all of 60 boxes were killed and restarted. In the two seconds of the restart 175 of 531
	// requests were refused, most of them because no owner had any shares.
	unsettledLendInterval = 100 * time.Millisecond
	// startupGrace is how long a box that has just started calls other boxes although it follows no box yet.
	startupGrace = 3 * time.Second
	// maxUnits bounds the units in a request for units of an account.
	maxUnits = 1 << 40
)

// ownerRankings caches, for each group of accounts, the order in which the boxes of the region are asked as owner.
type ownerRankings struct {
	mu      sync.Mutex
	version int64
	byGroup [quota.Groups][]Member
}

// borrowers remembers the boxes that this box has lent shares to. When such a box stops as planned, it leaves the list
// of members at once, but still has the shares. Until it returns them or the loans expire, it is asked for units and for
// the return.
type borrowers struct {
	mu sync.Mutex
	// byName has a box as it was listed when this box last lent a share to it.
	byName map[string]Member
}

// remember records a listed box to which shares are lent.
func (b *borrowers) remember(m Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byName == nil {
		b.byName = map[string]Member{}
	}
	b.byName[m.Name] = m
}

// retain forgets all boxes but those that keep reports true for.
func (b *borrowers) retain(keep func(name string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.byName, func(name string, _ Member) bool { return !keep(name) })
}

func (b *borrowers) get(name string) (m Member, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok = b.byName[name]
	return m, ok
}

// borrower returns the member that a share is lent to. It is the listed one, or the remembered one if it is not listed
// any more. It can be this box.
func (n *Node) borrower(name string) (m Member, ok bool) {
	if name == n.o.Self.Name {
		return n.o.Self, true
	}
	if m, _ = n.members.get(name); m.Address != "" {
		return m, true
	}
	return n.borrowers.get(name)
}

// isBorrower reports whether a share of this box is lent to a box, or was until a short time ago.
func (n *Node) isBorrower(now time.Time, name string) bool {
	for g := range quota.Groups {
		if n.lender.Borrower(now, g) == name || n.lender.PreviousBorrower(now, g) == name {
			return true
		}
	}
	return false
}

// accountOwners returns the region's boxes in the order in which they are asked as owner of a group of accounts.
func (n *Node) accountOwners(group int) []Member {
	version := n.members.changes.Load()
	n.ownerOrder.mu.Lock()
	defer n.ownerOrder.mu.Unlock()
	if n.ownerOrder.version != version || n.ownerOrder.byGroup[0] == nil {
		list := n.members.list(n.o.Self.Region)
		for g := range n.ownerOrder.byGroup {
			n.ownerOrder.byGroup[g] = rankMembers(list, "accounts "+strconv.Itoa(g))
		}
		n.ownerOrder.version = version
	}
	return n.ownerOrder.byGroup[group]
}

// rankMembers sorts members by their rendezvousScore for a key, the highest first. The first one is the
// member that rendezvous returns for the key.
func rankMembers(list []Member, key string) []Member {
	type scored struct {
		m     Member
		score uint64
	}
	all := make([]scored, len(list))
	for i, m := range list {
		all[i] = scored{m, rendezvousScore(m, key)}
	}
	slices.SortFunc(all, func(a, b scored) int { return compareScores(a.m, b.m, a.score, b.score) })
	out := make([]Member, len(all))
	for i, s := range all {
		out[i] = s.m
	}
	return out
}

func compareScores(a, b Member, scoreA, scoreB uint64) int {
	return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a.Name, b.Name))
}

// compareRank compares two members by the order of rankMembers.
func compareRank(a, b Member, key string) int {
	return compareScores(a, b, rendezvousScore(a, key), rendezvousScore(b, key))
}

// RunLimits lends this box's shares of the account limits to the owners of the accounts until ctx ends. It also tells
// the pool of limits the rank of this box. Alone means that there are no other boxes.
func (n *Node) RunLimits(ctx context.Context, alone bool) {
	for ctx.Err() == nil {
		limited := n.o.Limits.HasLimits()
		if limited {
			n.updateRanks(clock.Now(), alone)
			if n.lendOnce(ctx, alone) {
				n.lendOnce(ctx, alone) // Shares that were just returned are lent to their owner immediately.
			}
		}
		n.waitToLend(ctx, n.nextLendDelay(clock.Now(), limited, alone), alone)
	}
}

// waitToLend waits for a delay. It returns earlier if a share of this box is no longer lent to the right box, for
// example because the owner of a group has left the list of members.
func (n *Node) waitToLend(ctx context.Context, delay time.Duration, alone bool) {
	for end := clock.Now().Add(delay); ctx.Err() == nil; {
		left := end.Sub(clock.Now())
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, unsettledLendInterval))
		if n.o.Limits.HasLimits() && !n.settled(clock.Now(), alone) {
			return
		}
	}
}

// nextLendDelay is the pause before the next lending attempt. The pause is short while a share of this box is not lent
// to the right box. It is also short in the first seconds, while a box waits for its configuration and the list of
// members.
func (n *Node) nextLendDelay(now time.Time, limited, alone bool) time.Duration {
	starting := now.Sub(n.startedAt) < startupGrace && !(limited && (alone || n.members.loaded()))
	if starting || limited && !n.settled(now, alone) {
		return unsettledLendInterval
	}
	renew, _ := quota.RenewalInterval(n.members.size())
	return renew
}

// settled reports whether this box's share of every group is lent to the box that should own the group.
func (n *Node) settled(now time.Time, alone bool) bool {
	for g, owner := range n.desiredOwners(now, alone) {
		if owner != n.lender.Borrower(now, g) {
			return false
		}
	}
	return true
}

// canReachOthers reports whether calls to other boxes may be answered. A box that has just started counts as able to
// reach others once it knows the shared key, which authenticates calls between boxes. A box that stops as planned counts
// too, although it has no followers and may follow no box any more.
func (n *Node) canReachOthers() bool {
	return n.Connected() || (n.stopping() || clock.Since(n.startedAt) < startupGrace) && n.members.sharedKey() != ""
}

// stopping reports whether this box has begun a planned stop. It then owns no group, even if its copy of the list of
// members still has it.
func (n *Node) stopping() bool { return n.stopped.Err() != nil }

// desiredOwners returns the box that this box's share should be lent to now, for each group of accounts. That can be
// this box itself.
func (n *Node) desiredOwners(now time.Time, alone bool) (want [quota.Groups]string) {
	for g := range want {
		want[g] = n.o.Self.Name
		if alone || !n.canReachOthers() {
			continue
		}
		for _, m := range n.accountOwners(g) {
			if m.Name == n.o.Self.Name && n.stopping() {
				continue
			}
			if m.Name == n.o.Self.Name || n.unresponsive.usable(m.Name, now) {
				want[g] = m.Name
				break
			}
		}
	}
	return want
}

// updateRanks tells the pool of limits the rank of this box among the possible owners of each group. A stopping box keeps
// its rank: with a lower rank its buckets would lose the overage before it could travel with the shares.
func (n *Node) updateRanks(now time.Time, alone bool) {
	if n.stopping() {
		n.o.Limits.BeginStop(now)
		return
	}
	for g := range quota.Groups {
		at := quota.Place{Boxes: 1}
		if !alone {
			rank := slices.IndexFunc(n.accountOwners(g), func(m Member) bool { return m.Name == n.o.Self.Name })
			at = quota.Place{Boxes: n.members.size(), Rank: rank}
			if rank < 0 {
				at.Rank = at.Boxes // Not listed yet: ranked last.
			}
		}
		n.o.Limits.SetPlace(now, g, at)
	}
}

// lendOnce makes the lend and return calls that are due. It reports whether shares became free that can be lent again.
func (n *Node) lendOnce(ctx context.Context, alone bool) (canLendAgain bool) {
	now := clock.Now()
	_, lent := quota.RenewalInterval(n.members.size())
	n.borrowers.retain(func(name string) bool { return n.isBorrower(now, name) })
	return n.runLendCalls(ctx, n.lender.Plan(now, n.desiredOwners(now, alone), lent))
}

// applyLend carries out a call of a box on this box's pool. It returns the units that belong to returned shares.
func (n *Node) applyLend(now time.Time, lender string, c quota.Call) quota.Units {
	returned := n.o.Limits.Lend(now, lender, c.Groups, c.Return, c.Duration)
	if !c.Return {
		n.o.Limits.AddUnits(now, c.Groups, c.Units)
	}
	return returned
}

// runLendCalls makes lend and return calls concurrently. It reports whether shares can be lent again.
func (n *Node) runLendCalls(ctx context.Context, calls []quota.Call) (canLendAgain bool) {
	var wg sync.WaitGroup
	results := make([]quota.Result, len(calls))
	for i, c := range calls {
		if c.To == n.o.Self.Name {
			calls[i].Units = n.applyLend(clock.Now(), n.o.Self.Name, c)
			continue
		}
		if n.stopping() && !c.Return {
			// Nobody gets the share: the other boxes soon count one share less, and this one would be beyond the limit.
			results[i] = quota.Delivered
			continue
		}
		m, _ := n.borrower(c.To)
		if m.Address != "" {
			n.borrowers.remember(m)
		}
		wg.Go(func() { results[i], calls[i].Units = n.lend(ctx, m.Address, c) })
	}
	wg.Wait()
	for i, c := range calls {
		canLendAgain = n.lender.CallDone(clock.Now(), c, results[i]) || canLendAgain
	}
	return canLendAgain
}

// lend makes one call that lends shares of this box to an owner, or asks for their return. Returned are the units that
// belong to returned shares.
func (n *Node) lend(ctx context.Context, address string, c quota.Call) (result quota.Result, returned quota.Units) {
	if address == "" {
		return quota.Lost, quota.Units{} // The box is not known any more. The loan expires on its own.
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	req := connect.NewRequest(&v1.LendRequest{Box: n.o.Self.Name, Back: c.Return, LentMs: c.Duration.Milliseconds()})
	if !c.Return {
		req.Msg.Levels, req.Msg.OthersFull = encodeLevels(c.Units.Levels), c.Units.OthersFull
	}
	for _, g := range c.Groups {
		req.Msg.Groups = append(req.Msg.Groups, int32(g))
	}
	authorize(req.Header(), n.members.sharedKey())
	resp, err := n.client(address).Lend(ctx, req)
	if err == nil {
		n.count.lent.Inc()
		// An answer with invalid levels still means that the shares are back. Its units are lost.
		if levels, ok := decodeLevels(resp.Msg.Levels); ok && c.Return {
			returned = quota.Units{Levels: levels, OthersFull: resp.Msg.OthersFull}
		}
		return quota.Delivered, returned
	}
	n.count.lendFailed.Inc()
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return quota.Gone, returned // The called box does not list this box yet, and has accepted nothing.
	}
	n.unresponsive.failed(c.To, clock.Now())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return quota.Gone, returned
	}
	return quota.Lost, returned
}

func encodeLevels(levels []quota.Level) (out []*v1.Level) {
	for _, l := range levels {
		out = append(out, &v1.Level{Account: l.Account, Units: l.Units})
	}
	return out
}

// decodeLevels checks the levels of a message: their number, and that each is a number of units.
func decodeLevels(levels []*v1.Level) (out []quota.Level, ok bool) {
	if len(levels) > quota.MaxLevels {
		return nil, false
	}
	for _, l := range levels {
		if !(l.GetUnits() >= 0 && l.GetUnits() <= maxUnits) {
			return nil, false
		}
		out = append(out, quota.Level{Account: l.GetAccount(), Units: l.GetUnits()})
	}
	return out, true
}

// Allow asks the owner of an account for units of the account's limit. If the owner refuses, but has the shares of too
// few boxes to know that the limit is exceeded, the second candidate is asked too. If no owner answers, this box grants
// units from the shares that this box has. Known is false if neither the owner nor this box knows a limit of the account.
func (n *Node) Allow(ctx context.Context, account string, units, ahead float64) (a quota.Answer, known bool) {
	group := quota.GroupOf(account)
	for try := 0; n.canReachOthers(); try++ {
		owners := n.ownersToAsk(clock.Now(), group)
		a, known = quota.AskOwners(len(owners), units, ahead, func(i int, units, ahead float64) (quota.Answer, bool) {
			return n.allowFrom(ctx, owners[i], account, units, ahead)
		})
		if !known {
			break
		}
		if !a.Uncertain(units) || try == maxMoveRetries || !n.sharesMove(clock.Now(), group) || ctx.Err() != nil {
			return a, true
		}
		sleep(ctx, moveRetryDelay)
	}
	return n.o.Limits.Grant(clock.Now(), n.o.Self.Name, account, units, ahead)
}

// sharesMove reports whether the shares of a group are moving to another owner: this box's share has moved a short time
// ago, or the box that has it has left the list of members.
func (n *Node) sharesMove(now time.Time, group int) bool {
	if n.lender.PreviousBorrower(now, group) != "" {
		return true
	}
	to := n.lender.Borrower(now, group)
	_, listed := n.members.get(to)
	return to != "" && !listed
}

// allowFrom asks a box for units. The box can be this box.
func (n *Node) allowFrom(ctx context.Context, m Member, account string, units, ahead float64) (a quota.Answer, ok bool) {
	if m.Name == n.o.Self.Name {
		return n.o.Limits.Grant(clock.Now(), n.o.Self.Name, account, units, ahead)
	}
	return n.askOwner(ctx, m, account, units, ahead)
}

// ownersToAsk returns the boxes to ask for units of a group's accounts, up to maxOwnersAsked. The first is the box that
// this box's share is lent to, and the second the box that it was lent to before, even if these have left the list of
// members. While the shares move to a new owner, both have shares of other boxes too. After them come the possible owners
// in order of rank.
func (n *Node) ownersToAsk(now time.Time, group int) (out []Member) {
	most, previous := maxOwnersAsked, n.lender.PreviousBorrower(now, group)
	if previous != "" {
		most++ // It may have ended by now.
	}
	for _, to := range []string{n.lender.Borrower(now, group), previous} {
		if m, ok := n.borrower(to); ok && n.unresponsive.usable(to, now) && !containsMember(out, m.Name) {
			out = append(out, m)
		}
	}
	for _, m := range n.accountOwners(group) {
		if len(out) >= most {
			break
		}
		if m.Name == n.o.Self.Name && n.stopping() {
			continue
		}
		if !containsMember(out, m.Name) && n.unresponsive.usable(m.Name, now) {
			out = append(out, m)
		}
	}
	return out
}

func containsMember(list []Member, name string) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.Name == name })
}

// askOwner asks one owner for units. Ok is false if the owner did not answer or knows no limit of the account.
func (n *Node) askOwner(ctx context.Context, m Member, account string, units, ahead float64) (a quota.Answer, ok bool) {
	limited, cancel := context.WithTimeout(ctx, allowTimeout)
	defer cancel()
	req := connect.NewRequest(&v1.AllowRequest{Account: account, Units: units, AheadUnits: ahead})
	authorize(req.Header(), n.members.sharedKey())
	req.Header().Set(boxHeader, n.o.Self.Name)
	resp, err := n.client(m.Address).Allow(limited, req)
	if err != nil {
		n.count.allowUnanswered.Inc()
		if ctx.Err() == nil && connect.CodeOf(err) != connect.CodeNotFound {
			n.unresponsive.failed(m.Name, clock.Now())
		}
		return quota.Answer{}, false
	}
	n.count.allowAnswered.Inc()
	return quota.Answer{
		Granted: resp.Msg.Granted, Wait: time.Duration(resp.Msg.WaitUs) * time.Microsecond, LentShare: resp.Msg.Part, Owner: m.Name,
	}, true
}

// Lend serves another box's call that lends its shares to this box or asks for their return.
func (s *server) Lend(_ context.Context, r *connect.Request[v1.LendRequest]) (*connect.Response[v1.LendResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	groups := make([]int, len(r.Msg.Groups))
	for i, g := range r.Msg.Groups {
		groups[i] = int(g)
	}
	levels, ok := decodeLevels(r.Msg.Levels)
	if !ok {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the levels are too many or out of bounds"))
	}
	if _, listed := s.n.members.get(r.Msg.Box); !listed || len(groups) > quota.Groups || r.Msg.LentMs < 0 || r.Msg.LentMs > quota.MaxLoan.Milliseconds() {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("the box that lends is not listed here, or lends what it cannot"))
	}
	returned := s.n.applyLend(clock.Now(), r.Msg.Box, quota.Call{
		To: s.n.o.Self.Name, Groups: groups, Return: r.Msg.Back, Duration: time.Duration(r.Msg.LentMs) * time.Millisecond,
		Units: quota.Units{Levels: levels, OthersFull: r.Msg.OthersFull},
	})
	return connect.NewResponse(&v1.LendResponse{Levels: encodeLevels(returned.Levels), OthersFull: returned.OthersFull}), nil
}

// boxHeader names the box that asks for units. Boxes of an earlier release don't set it.
const boxHeader = "Stoatramp-Box"

// asker returns the listed box that a call names as its sender; empty if it names none.
func (s *server) asker(h http.Header) string {
	name := h.Get(boxHeader)
	if _, listed := s.n.members.get(name); !listed {
		return ""
	}
	return name
}

// Allow serves another box's request for units of an account that this box owns.
func (s *server) Allow(_ context.Context, r *connect.Request[v1.AllowRequest]) (*connect.Response[v1.AllowResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	if !(r.Msg.Units >= 0 && r.Msg.Units <= maxUnits && r.Msg.AheadUnits >= 0 && r.Msg.AheadUnits <= maxUnits) {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the units are out of bounds"))
	}
	a, known := s.n.o.Limits.Grant(clock.Now(), s.asker(r.Header()), r.Msg.Account, r.Msg.Units, r.Msg.AheadUnits)
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no limit is known for the account"))
	}
	return connect.NewResponse(&v1.AllowResponse{Granted: a.Granted, WaitUs: a.Wait.Microseconds(), Part: a.LentShare}), nil
}
