package overlay

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/quota"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// limitAll has the boxes keep accounts to a limit.
func limitAll(all []*box, l quota.Limit, accounts ...string) {
	limits := map[string]quota.Limit{}
	for _, a := range accounts {
		limits[a] = l
	}
	for _, b := range all {
		b.o.Limits.SetBounds(time.Now(), quota.Bounds{Window: 8 * time.Second})
		b.o.Limits.SetLimits(time.Now(), limits)
	}
}

// partOf is the share of the boxes that has lent to an account's home.
func (b *box) partOf(account string) float64 {
	a, _ := b.Allow(context.Background(), account, 0, 0)
	return a.Part
}

// All boxes lend to the same home of an account, which gives all of its limit out whichever box a
// caller comes to and no more; once that home is gone the others lend to the next.
func TestAccountHome(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	const account = "lab"
	limitAll(all, quota.Limit{Rate: 0.001, Burst: 100}, account)
	home := all[0].accountHomes(quota.GroupOf(account))[0].Name
	var homeBox *box
	for _, b := range all {
		eventually(t, "all boxes have lent to the home", func() bool { return b.partOf(account) == 1 })
		if b.o.Self.Name == home {
			homeBox = b
		}
	}
	// The bucket is full after a tenth of a second at this rate, and stays so at the other.
	limitAll(all, quota.Limit{Rate: 1000, Burst: 100}, account)
	eventually(t, "the account has its burst", func() bool { return homeBox.o.Limits.Levels(time.Now(), 2)[account] == 1 })
	limitAll(all, quota.Limit{Rate: 0.001, Burst: 100}, account)
	granted := 0.0
	for range 40 {
		for _, b := range all {
			a, _ := b.Allow(context.Background(), account, 7, 0)
			granted += a.Granted
		}
	}
	if granted > 100 || granted < 35 {
		t.Errorf("expected at most the burst of 100 and at least the half that is not given ahead, got %.0f", granted)
	}
	homeBox.kill()
	for _, b := range all {
		if b != homeBox {
			eventually(t, "the next box is the home", func() bool { return b.partOf(account) >= 0.8 })
		}
	}
}

// A box that hears of no other has its own part, and says that no home answered.
func TestAccountAlone(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	limitAll(all, quota.Limit{Rate: 100, Burst: 100}, "a0")
	for _, b := range all[1:] {
		b.kill()
	}
	eventually(t, "the box has its part back", func() bool {
		part := all[0].partOf("a0")
		return part > 0 && part < 0.5
	})
}

// Units that cannot be are refused, and so is a box without the key or that is not listed.
func TestAccountBadCalls(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	limitAll(all, quota.Limit{Rate: 1, Burst: 1}, "lab")
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
	key := all[0].members.secret()
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
