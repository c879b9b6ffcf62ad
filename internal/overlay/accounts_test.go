package overlay

import (
	"context"
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
// request comes without the shared key. It also refuses the shares of a box that is not listed.
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
	unknown := func(c *box, key string) error {
		req := connect.NewRequest(&v1.AllowRequest{Account: "nobody", Units: 1})
		authorize(req.Header(), key)
		_, err := c.client(c.o.Self.Address).Allow(context.Background(), req)
		return err
	}
	expectCode(connect.CodeNotFound, unknown, key)
}
