package overlay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/transfer"
)

// maxMessageBytes bounds a message from another box. The largest configuration fits in it.
const maxMessageBytes = 16 << 20

// link is the connection of this box to its upstream, the box that it follows.
type link struct {
	n      *Node
	member Member
	client stoatrampv1connect.OverlayClient
	key    string
	queue  messageQueue
	// fetches are the blobs that the upstream has offered. fail ends this link.
	fetches fetches
	fail    context.CancelCauseFunc
	// established is set once the upstream has sent an update.
	established bool
	// storeLostSince is when the upstream began to report that it gets no answer from the store. It is zero if the
	// upstream gets answers.
	storeLostSince time.Time
}

func newLink(n *Node, m Member) *link {
	return &link{n: n, member: m, client: n.client(m.Address), key: n.members.sharedKey(), queue: newMessageQueue()}
}

// client returns a client for another box.
func (n *Node) client(address string) stoatrampv1connect.OverlayClient {
	return stoatrampv1connect.NewOverlayClient(n.httpClient, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes))
}

// fetchTables fetches once the tables that a box sends without a key.
func (n *Node) fetchTables(ctx context.Context, address string) (*v1.Update, error) {
	resp, err := n.client(address).Tables(ctx, connect.NewRequest(&v1.TablesRequest{Packed: true}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

var errUnresponsiveUpstream = errors.New("no update received within the silence timeout")

// follow receives updates of the upstream. It returns an error when the upstream sends no update for silenceTimeout, and
// no progress of one, or ends the stream. It also returns an error when an update shows that this upstream should not be
// followed now, or when better reports that another upstream should be followed.
func (l *link) follow(ctx context.Context, better func() bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l.fail = cancel
	ctx, progress, stop := transfer.WithIdleTimeout(ctx, silenceTimeout, silenceTimeout, l.n.count.updateBytes.Add, l.n.extendDelegations)
	defer stop()
	req := connect.NewRequest(&v1.FollowRequest{
		Box: l.n.o.Self.Name, Incarnation: l.n.o.Self.Incarnation, Protocol: protocolVersion, Packed: true, Deltas: true, Blobs: true,
		Known: l.n.known(),
	})
	authorize(req.Header(), l.key)
	stream, err := l.client.Follow(ctx, req)
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	defer func() {
		cancel(nil)
		_ = stream.Close()
	}()
	for stream.Receive() {
		progress.Done()
		l.n.noteContact(clock.Now())
		if !l.established {
			l.onEstablished(ctx)
		}
		l.established = true
		if err := l.apply(ctx, stream.Msg()); err != nil {
			return err
		}
		if better() {
			return errBetterUpstream
		}
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, transfer.ErrStalled):
		return fmt.Errorf("%w: %v", errUnresponsiveUpstream, progress)
	case cause != nil:
		return cause
	}
	return fmt.Errorf("receive updates: %w", errors.Join(stream.Err(), errStreamEnded))
}

// The causes for which this box stops following an upstream, as metrics name them.
const (
	followEndBetter    = "better_upstream"
	followEndStoreLost = "store_lost"
	followEndCycle     = "cycle"
	followEndStalled   = "stalled"
	followEndEnded     = "ended"
)

func newFollowEnds(set *metrics.Set) map[string]*metrics.Counter {
	ends := map[string]*metrics.Counter{}
	for _, cause := range []string{followEndBetter, followEndStoreLost, followEndCycle, followEndStalled, followEndEnded} {
		ends[cause] = set.NewCounter(fmt.Sprintf("stoatramp_overlay_follow_ends_total{cause=%q}", cause))
	}
	return ends
}

func followEndCause(err error) string {
	switch {
	case errors.Is(err, errBetterUpstream):
		return followEndBetter
	case errors.Is(err, errUpstreamStoreLost):
		return followEndStoreLost
	case errors.Is(err, errCycle):
		return followEndCycle
	case errors.Is(err, errUnresponsiveUpstream):
		return followEndStalled
	}
	return followEndEnded
}

var errStreamEnded = errors.New("the upstream ended the stream")

// extendDelegations is called while an update of the upstream arrives. It keeps this box from reading the store.
func (n *Node) extendDelegations() {
	n.noteContact(clock.Now())
	for _, t := range n.o.Tables {
		t.ExtendDelegation(silenceTimeout, false)
	}
}

// onEstablished is called when the first update arrives. It sets the upstream of this box and starts publishLoop.
func (l *link) onEstablished(ctx context.Context) {
	l.n.count.switches.Inc()
	l.n.interests.reset()
	l.n.setUpstream(l)
	l.queue.signal() // Sends the interest of this box.
	l.n.o.OnStateChange("following another box", zap.String("box", l.member.Name), zap.String("hall", l.member.Hall))
	go l.publishLoop(ctx)
}

var (
	errUpstreamStoreLost = errors.New("the store does not answer the upstream")
	errCycle             = errors.New("the updates of the upstream pass through this box")
)

// apply applies an update of the upstream: gossip messages, counts of omitted streams, and tables. An error means that
// this upstream should not be followed now.
func (l *link) apply(ctx context.Context, msg *v1.Update) error {
	for _, f := range msg.Facts {
		l.n.receive(f, l, nil)
	}
	for _, p := range msg.Placed {
		l.n.receivePlaced(p)
	}
	if slices.Contains(msg.Path, l.n.o.Self.Name) {
		return errCycle
	}
	l.n.setUpstreamPath(msg.Path)
	lost := false
	for _, p := range msg.Tables {
		if t := l.n.o.Tables[p.Name]; t != nil {
			if err := l.receiveTable(ctx, t, p); err != nil {
				return err
			}
			lost = lost || p.AgeMs < 0
		}
	}
	return l.checkStoreLost(lost, clock.Now())
}

// receiveTable applies a part of a table that the upstream sent, or begins to fetch it if it is a blob. While the table is
// fetched, updates only say that the upstream is alive.
func (l *link) receiveTable(ctx context.Context, t Table, p *v1.Table) error {
	switch {
	case p.Offer != nil && l.fetches.begin(p.Name):
		go l.fetchTable(ctx, l.fail, t, p)
	case l.fetches.isRunning(p.Name):
	default:
		return l.n.applyTable(t, p)
	}
	t.ExtendDelegation(silenceTimeout, true)
	return nil
}

// applyTable applies a part of a table that another box sent.
func (n *Node) applyTable(t Table, p *v1.Table) error {
	part, err := decodePart(p, t.Value)
	if errors.Is(err, errUnknownBase) {
		// This box may have read a newer version from the store, and then no longer has the bases of the deltas.
		switch have := t.Version(); {
		case !have.Before(tableVersion(p)):
			part, err = decodePart(&v1.Table{Version: p.Version, Era: p.Era, Since: p.Version, SinceEra: p.Era, AgeMs: p.AgeMs, Transferring: p.Transferring}, t.Value)
		case have != sinceVersion(p):
			err = errOtherVersion
		default:
			n.setNeedsWhole(p.Name, true)
		}
	}
	if err != nil {
		return err
	}
	n.packer.forward(p)
	if t.Receive(part, silenceTimeout); len(part.Rows) > 0 {
		n.setNeedsWhole(p.Name, false)
	}
	return nil
}

func (n *Node) setNeedsWhole(table string, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if yes {
		n.needsWhole[table] = true
		return
	}
	delete(n.needsWhole, table)
}

// known lists the versions of the tables that this box has, for its upstream.
func (n *Node) known() (out []*v1.Table) {
	n.mu.Lock()
	needsWhole := maps.Clone(n.needsWhole) // A table calls this node back with its lock held.
	n.mu.Unlock()
	for name, t := range n.o.Tables {
		ver := t.Version()
		if needsWhole[name] {
			ver = follow.Version{}
		}
		out = append(out, &v1.Table{Name: name, Version: ver.Number, Era: ver.Era})
	}
	return out
}

// checkStoreLost returns an error if the upstream has had no answer from the store for too long. Lost means that the
// upstream has just reported that it gets no answer from the store.
func (l *link) checkStoreLost(lost bool, now time.Time) error {
	if !lost {
		l.storeLostSince = time.Time{}
		return nil
	}
	if l.storeLostSince.IsZero() {
		l.storeLostSince = now
	}
	grace := storeLostGrace
	if l.n.storeLost() {
		grace = bothStoreLostGrace
	}
	if now.Sub(l.storeLostSince) > grace {
		return errUpstreamStoreLost
	}
	return nil
}

// publishLoop sends gossip messages to the upstream: those of this box and those of its followers. It also sends the
// interest of this box if that has changed.
func (l *link) publishLoop(ctx context.Context) {
	for {
		select {
		case <-l.queue.wake:
		case <-ctx.Done():
			return
		}
		l.publish(ctx, l.queue.drain(clock.Now()))
		sleep(ctx, minSendInterval)
	}
}

func (l *link) publish(ctx context.Context, messages []*v1.Fact) {
	if ctx.Err() != nil {
		return
	}
	interest := l.n.interests.takeChange(l.n.Followers() > 0)
	fetched := l.fetches.takeAcknowledged()
	if len(messages) == 0 && interest == nil && len(fetched) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := connect.NewRequest(&v1.TellRequest{Box: l.n.o.Self.Name, Incarnation: l.n.o.Self.Incarnation, Facts: messages, Interest: interest})
	for table, ver := range fetched {
		req.Msg.Fetched = append(req.Msg.Fetched, &v1.Table{Name: table, Version: ver.Number, Era: ver.Era})
	}
	authorize(req.Header(), l.key)
	if _, err := l.client.Tell(ctx, req); err != nil {
		l.n.count.dropped.Add(len(messages))
		if interest != nil {
			l.n.interests.markUnconfirmed()
			l.queue.signal()
		}
		if len(fetched) > 0 {
			l.fetches.restoreAcknowledged(fetched)
			l.queue.signal()
		}
	}
}
