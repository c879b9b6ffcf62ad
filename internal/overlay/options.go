package overlay

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/origins"
	"github.com/stoatramp/stoatramp/internal/quota"
)

// Options configure a Node.
type Options struct {
	Self     Member
	Register Register
	// Tables are the tables to replicate, by names that are the same on all boxes. KeylessTables names the tables that
	// are also sent to a box without the shared key. A box that starts while the store is unavailable is such a box.
	Tables        map[string]Table
	KeylessTables []string
	// Seeds are addresses of boxes, as ip:port. Some may be out of date.
	Seeds []string
	// Room decides whether an engine that this box owns has enough free memory for a stream. It must not block.
	Room func(Room) RoomAnswer
	// Limits holds the shares of account limits that were lent to this box, and grants units from them.
	Limits *quota.Pool
	// Slots grants the slots of the cells of endpoints that this box owns. If it is nil, this box owns no cell, and
	// AcquireSlot asks no owner.
	Slots SlotServer
	// Retries lends calls of this box's retry budgets. If it is nil, this box lends none.
	Retries RetryLender
	// MembersAge is the time since the store last confirmed the table of members, to this box or to one that sends the
	// table to this box. If it is nil, the table counts as complete from the start.
	MembersAge func() time.Duration
	// OnOrigin receives the origins that other boxes have this box keep; nil if nobody does.
	OnOrigin func(o origins.Origin)
	// ConfirmOrigin returns the build that a stream began at by the plans and the log of the store; ok is false if this box
	// can't tell. It may block until ctx ends, and is called from several goroutines. If it is nil, this box can't tell.
	ConfirmOrigin func(ctx context.Context, service, region string, s origins.Stream) (build string, ok bool)
	// OnMessage is called with each gossip message of another box, and must not block.
	OnMessage func(Message)
	// OnStateChange is called when this box observes a change in the state of another box, and must not block.
	OnStateChange func(change string, fields ...zap.Field)
	// OnRejected is called with each new row of the table of members that no box can have written, and must not block. It
	// may be nil.
	OnRejected func(key string, err error)
	// OnMalformed is called for each malformed answer of another box, and must not block. It may be nil.
	OnMalformed func(address string, err error)
	Metrics     *metrics.Set
}

// strict returns the transport of calls to other boxes.
func (o *Options) strict(t *http.Transport) http.RoundTripper {
	return httphead.NewTransport(t, o.OnMalformed)
}
