package overlay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
)

// mostMessage bounds a message, in bytes: the largest configuration fits.
const mostMessage = 16 << 20

// link is the way to a box that is followed.
type link struct {
	n      *Node
	m      Member
	client stoatrampv1connect.OverlayClient
	key    string
	queue  queue
	// worked is set once the other box has sent something.
	worked bool
	// lostAt is since when it tells that the store does not answer it; zero if it does.
	lostAt time.Time
}

func newLink(n *Node, m Member) *link {
	return &link{n: n, m: m, client: n.client(m.Address), key: n.members.secret(), queue: newQueue()}
}

// client speaks to another box.
func (n *Node) client(address string) stoatrampv1connect.OverlayClient {
	return stoatrampv1connect.NewOverlayClient(n.hc, "http://"+address,
		connect.WithReadMaxBytes(mostMessage))
}

// tables asks a box for its tables, once.
func (n *Node) tables(ctx context.Context, address string) (*v1.Update, error) {
	resp, err := n.client(address).Tables(ctx, connect.NewRequest(&v1.TablesRequest{Packed: true}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

var errSilent = errors.New("it said nothing for too long")

// follow hears from the box until it falls silent, ends the stream, or better says that
// another one should be followed.
func (l *link) follow(ctx context.Context, better func() bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req := connect.NewRequest(&v1.FollowRequest{
		Box: l.n.o.Self.Name, Incarnation: l.n.o.Self.Incarnation, Protocol: protocol, Packed: true,
	})
	for name, t := range l.n.o.Tables {
		ver := t.Version()
		req.Msg.Known = append(req.Msg.Known, &v1.Table{Name: name, Version: ver.Number, Era: ver.Era})
	}
	authorize(req.Header(), l.key)
	stream, err := l.client.Follow(ctx, req)
	if err != nil {
		return fmt.Errorf("follow: %w", err)
	}
	defer func() {
		cancel(nil)
		_ = stream.Close()
	}()
	for stream.Receive() {
		watchdog.Reset(silence)
		if !l.worked {
			l.begin(ctx)
		}
		l.worked = true
		if err := l.take(stream.Msg()); err != nil {
			return err
		}
		if better() {
			return errBetter
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("followed: %w", errors.Join(stream.Err(), errEnded))
}

var errEnded = errors.New("it ended the stream")

// begin is called once the box is known to work.
func (l *link) begin(ctx context.Context) {
	l.n.count.switches.Inc()
	l.n.interests.begin()
	l.n.setUp(l)
	l.queue.poke() // It is to be told of which engines this box wants to hear.
	l.n.o.Believed("box followed", zap.String("box", l.m.Name), zap.String("hall", l.m.Hall))
	go l.tellAll(ctx)
}

var (
	errLost   = errors.New("the store does not answer it")
	errCircle = errors.New("what it tells came from this box")
)

// take applies a message. An error says that the box should not be followed now.
func (l *link) take(msg *v1.Update) error {
	for _, f := range msg.Facts {
		l.n.heard(f, l, nil)
	}
	for _, p := range msg.Placed {
		l.n.heardPlaced(p)
	}
	if slices.Contains(msg.Path, l.n.o.Self.Name) {
		return errCircle
	}
	l.n.setPath(msg.Path)
	lost := false
	for _, p := range msg.Tables {
		if t := l.n.o.Tables[p.Name]; t != nil {
			part, err := partOf(p)
			if err != nil {
				return err
			}
			t.Hear(part, silence)
			lost = lost || p.AgeMs < 0
		}
	}
	return l.judge(lost, clock.Now())
}

// judge says whether a box that the store may not answer should still be followed.
func (l *link) judge(lost bool, now time.Time) error {
	if !lost {
		l.lostAt = time.Time{}
		return nil
	}
	if l.lostAt.IsZero() {
		l.lostAt = now
	}
	limit := lostFor
	if l.n.lost() {
		limit = bothLostFor
	}
	if now.Sub(l.lostAt) > limit {
		return errLost
	}
	return nil
}

// tellAll passes on what this box and its followers learn.
func (l *link) tellAll(ctx context.Context) {
	for {
		select {
		case <-l.queue.wake:
		case <-ctx.Done():
			return
		}
		l.tell(ctx, l.queue.take(clock.Now()))
		sleep(ctx, spacing)
	}
}

func (l *link) tell(ctx context.Context, facts []*v1.Fact) {
	if ctx.Err() != nil {
		return
	}
	interest := l.n.interests.news(l.n.Followers() > 0)
	if len(facts) == 0 && interest == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	req := connect.NewRequest(&v1.TellRequest{Box: l.n.o.Self.Name, Incarnation: l.n.o.Self.Incarnation, Facts: facts, Interest: interest})
	authorize(req.Header(), l.key)
	if _, err := l.client.Tell(ctx, req); err != nil {
		l.n.count.dropped.Add(len(facts))
		if interest != nil {
			l.n.interests.unsaid()
			l.queue.poke()
		}
	}
}
