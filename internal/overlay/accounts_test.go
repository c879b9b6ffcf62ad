package overlay

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/quota"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// setLimits sets the same limit for accounts on all boxes.
func setLimits(all []*box, l quota.Limit, accounts ...string) {
	limits := map[string]quota.Limit{}
	for _, a := range accounts {
		limits[a] = l
	}
	for _, b := range all {
		b.o.Limits.SetBounds(time.Now(), quota.Bounds{Window: 8 * time.Second})
		b.o.Limits.SetLimits(time.Now(), limits)
	}
}

// lentShare is the proportion of all boxes that have lent their shares to the owner of an account.
func (b *box) lentShare(account string) float64 {
	a, _ := b.Allow(context.Background(), account, 0, 0)
	return a.LentShare
}

// All boxes lend their shares of an account's limit to the same box, the account's owner. The owner grants the whole
// limit and no more, whichever boxes the requests come from. When the owner is gone, the other boxes lend their shares
// to the next owner.
func TestAccountOwner(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	const account = "lab"
	setLimits(all, quota.Limit{Rate: 0.001, Burst: 100}, account)
	owner := all[0].accountOwners(quota.GroupOf(account))[0].Name
	var ownerBox *box
	for _, b := range all {
		eventually(t, "all boxes have lent to the owner", func() bool { return b.lentShare(account) == 1 })
		if b.o.Self.Name == owner {
			ownerBox = b
		}
	}
	// At 1,000 units per second the account's bucket is full after a tenth of a second. At 0.001 units per second
	// it is hardly refilled during the test.
	setLimits(all, quota.Limit{Rate: 1000, Burst: 100}, account)
	eventually(t, "the account has its burst", func() bool { return ownerBox.o.Limits.LowAccounts(time.Now(), 2)[account] == 1 })
	setLimits(all, quota.Limit{Rate: 0.001, Burst: 100}, account)
	granted := 0.0
	for range 40 {
		for _, b := range all {
			a, _ := b.Allow(context.Background(), account, 7, 0)
			granted += a.Granted
		}
	}
	if granted > 100 || granted < 35 {
		t.Errorf("expected at most the burst of 100 and at least the half that is not granted ahead, got %.0f", granted)
	}
	ownerBox.kill()
	for _, b := range all {
		if b != ownerBox {
			eventually(t, "the next box is the owner", func() bool { return b.lentShare(account) >= 0.8 })
		}
	}
}

// The owner of an account stops as planned: it leaves the list of members and still answers calls. Its shares and the
// units in its bucket move to the next owner, and no box is refused a request within the limit meanwhile. The other boxes
// did not know the old owner's address any more, so its shares came back only when the loans expired, and its units were
// lost.
func TestAccountOwnerStopsAsPlanned(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	const account = "lab"
	setLimits(all, quota.Limit{Rate: 1000, Burst: 100}, account)
	order := all[0].accountOwners(quota.GroupOf(account))
	boxNamed := func(name string) *box {
		return all[slices.IndexFunc(all, func(b *box) bool { return b.o.Self.Name == name })]
	}
	owner, next := boxNamed(order[0].Name), boxNamed(order[1].Name)
	for _, b := range all {
		eventually(t, "all boxes have lent to the owner", func() bool { return b.lentShare(account) == 1 })
	}
	eventually(t, "the account has its burst", func() bool { return owner.o.Limits.LowAccounts(time.Now(), 2)[account] == 1 })
	setLimits(all, quota.Limit{Rate: 0.001, Burst: 100}, account)
	granted := 0.0
	take := func(b *box, units float64) {
		t.Helper()
		a, known := b.Allow(context.Background(), account, units, 0)
		if !known || a.Granted < units {
			t.Errorf("expected %g units at box %s after %g were granted, got %+v, known %t", units, b.o.Self.Name, granted, a, known)
		}
		granted += a.Granted
	}
	take(next, 40)
	owner.Leave(context.Background())
	moved := func() bool {
		a, _ := next.o.Limits.Grant(time.Now(), "", account, 0, 0)
		return a.LentShare == 1 && next.MemberCount() == 4
	}
	for i := 0; !moved(); i++ {
		if i < 40 {
			take(all[i%len(all)], 0.25)
		}
		time.Sleep(20 * time.Millisecond)
		if i > 500 {
			t.Fatal("expected the next box to get the shares of the four others within ten seconds")
		}
	}
	// At most 50 units were granted, and the share of the stopping box ends with it: a fifth of what was left.
	if level := 100 * next.o.Limits.LowAccounts(time.Now(), 2)[account]; level < 35 || level > 100-granted {
		t.Errorf("expected four fifths of the %g units that are left, got %g", 100-granted, level)
	}
	for _, b := range all {
		take(b, 1)
	}
}

// When all other boxes are gone, a box grants units from its own share alone. The lent share that it reports is above 0
// and below one half.
func TestAccountWithoutOtherBoxes(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	setLimits(all, quota.Limit{Rate: 100, Burst: 100}, "a0")
	for _, b := range all[1:] {
		b.kill()
	}
	eventually(t, "the box has its part back", func() bool {
		part := all[0].lentShare("a0")
		return part > 0 && part < 0.5
	})
}

// A box refuses a request for units in three cases. The units are out of bounds, the account has no limit, or the
// request comes without the shared key. It also refuses the shares of a box that is not listed, and levels that are too
// many or out of bounds.
func TestAccountInvalidCalls(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	setLimits(all, quota.Limit{Rate: 1, Burst: 1}, "lab")
	expectCode := func(want connect.Code, call func(c *box, key string) error, key string) {
		t.Helper()
		if err := call(all[0], key); connect.CodeOf(err) != want {
			t.Errorf("expected %s, got %v", want, err)
		}
	}
	allow := func(units float64) func(c *box, key string) error {
		return func(c *box, key string) error {
			req := connect.NewRequest(&v1.AllowRequest{Account: "lab", Units: units})
			authorize(req.Header(), key)
			_, err := c.client(c.o.Self.Address).Allow(context.Background(), req)
			return err
		}
	}
	key := all[0].members.sharedKey()
	expectCode(connect.CodeUnauthenticated, allow(1), "wrong")
	expectCode(connect.CodeInvalidArgument, allow(-1), key)
	expectCode(connect.CodeInvalidArgument, allow(1e300), key)
	unlisted := func(c *box, key string) error {
		req := connect.NewRequest(&v1.LendRequest{Box: "nobody", Groups: []int32{0, -1, 99}})
		authorize(req.Header(), key)
		_, err := c.client(c.o.Self.Address).Lend(context.Background(), req)
		return err
	}
	expectCode(connect.CodeFailedPrecondition, unlisted, key)
	lend := func(levels ...*v1.Level) func(c *box, key string) error {
		return func(c *box, key string) error {
			req := connect.NewRequest(&v1.LendRequest{Box: "b", Groups: []int32{0}, LentMs: 1000, Levels: levels})
			authorize(req.Header(), key)
			_, err := c.client(c.o.Self.Address).Lend(context.Background(), req)
			return err
		}
	}
	expectCode(connect.CodeInvalidArgument, lend(&v1.Level{Account: "lab", Units: -1}), key)
	expectCode(connect.CodeInvalidArgument, lend(&v1.Level{Account: "lab", Units: math.NaN()}), key)
	expectCode(connect.CodeInvalidArgument, lend(slices.Repeat([]*v1.Level{{Account: "lab", Units: 1}}, quota.MaxLevels+1)...), key)
	unknown := func(c *box, key string) error {
		req := connect.NewRequest(&v1.AllowRequest{Account: "nobody", Units: 1})
		authorize(req.Header(), key)
		_, err := c.client(c.o.Self.Address).Allow(context.Background(), req)
		return err
	}
	expectCode(connect.CodeNotFound, unknown, key)
}
