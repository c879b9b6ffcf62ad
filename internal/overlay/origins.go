package overlay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file makes the origin of a stream known to the boxes that may be asked to go on with it. The box that begins a stream
// keeps its origin, and has two other boxes keep it, which every box finds by rendezvous hashing of the stream's key. A box
// that is to go on with a stream asks these holders, and then the next boxes in the order, in case the list of boxes has
// changed meanwhile. A box that stops as planned hands all origins over.
//
// A lost origin is never guessed: the stream is refused. So the numbers of holders and of boxes that are asked only decide how
// often that happens.

const (
	// originHolders is the number of other boxes that keep an origin. originTries is how many boxes are tried for each
	// holder: one that does not answer is passed over.
	originHolders = 2
	originTries   = 3
	// originAsked is the number of boxes that are asked at the same time for an origin, and originRounds how often so many
	// are asked.
	originAsked  = 3
	originRounds = 2
	// storeOriginsTimeout bounds a call that stores origins, and findOriginTimeout one that asks for one. A caller waits for
	// the second.
	storeOriginsTimeout = 250 * time.Millisecond
	findOriginTimeout   = 60 * time.Millisecond
	// maxOriginsPerCall bounds the origins in a call, and maxPendingOrigins those that wait for one box.
	maxOriginsPerCall = 256
	maxPendingOrigins = 1024
	// maxOriginTime bounds the time for which an origin is kept.
	maxOriginTime = 10 * time.Minute
	// handOverTimeout bounds the handing over of origins by a box that stops.
	handOverTimeout = time.Second
)

// originState is the overlay's part of the directory of origins.
type originState struct {
	directory                         origins.Directory
	sendQueues[string, pendingOrigin] // By the name of the box.
	count                             originCounters
}

type originCounters struct{ stored, lost, foundHere, foundElsewhere, unknown, unanswered *metrics.Counter }

// pendingOrigin is an origin on its way to a holder. rank is the position of the box that it is sent to in the order of the
// stream's key, and tries how many more boxes may be tried.
type pendingOrigin struct {
	origins.Origin
	rank, tries int
}

func newOriginCounters(m *metrics.Set) originCounters {
	return originCounters{
		stored:         m.NewCounter(`stoatramp_origins_sent_total{result="stored"}`),
		lost:           m.NewCounter(`stoatramp_origins_sent_total{result="lost"}`),
		foundHere:      m.NewCounter(`stoatramp_origin_lookups_total{result="own"}`),
		foundElsewhere: m.NewCounter(`stoatramp_origin_lookups_total{result="other_box"}`),
		unknown:        m.NewCounter(`stoatramp_origin_lookups_total{result="unknown"}`),
		unanswered:     m.NewCounter(`stoatramp_origin_lookups_total{result="unanswered"}`),
	}
}

// originOrder lists the other boxes of the region in the order in which they hold the origin of a stream, at most limit.
func (n *Node) originOrder(k origins.Key, limit int) []Member {
	list := slices.DeleteFunc(n.members.list(n.o.Self.Region), func(m Member) bool { return m.Name == n.o.Self.Name })
	order := rankMembers(list, "origin "+strconv.FormatUint(uint64(k), 36))
	return order[:min(limit, len(order))]
}

// PublishOrigin keeps the origin of a stream that this box begins, and has other boxes keep it. It does not wait for them. While
// boxes of earlier releases serve, the boxes that these would ask keep it too.
func (n *Node) PublishOrigin(o origins.Origin) {
	n.origins.directory.Put(clock.Now(), o)
	n.sendToHolders(o)
	if o.AccountKey != 0 && n.PlanRules(n.o.Self.Region) < PlanRulesByID {
		o.Key, o.AccountKey = o.AccountKey, 0
		n.sendToHolders(o)
	}
}

func (n *Node) sendToHolders(o origins.Origin) {
	for rank, m := range n.originOrder(o.Key, originHolders) {
		n.sendOrigin(m, pendingOrigin{o, rank, originTries - 1})
	}
}

// sendOrigin queues an origin for a box.
func (n *Node) sendOrigin(m Member, p pendingOrigin) {
	dropped, start := n.origins.add(m.Name, p, maxPendingOrigins)
	n.origins.count.lost.Add(dropped)
	if start {
		go n.sendOrigins(m)
	}
}

// sendOrigins sends the origins that wait for a box until none are left. Those that the box does not take go to the box that
// is originHolders further in the order, so that no box gets an origin twice.
func (n *Node) sendOrigins(m Member) {
	take := func() []pendingOrigin { return n.origins.take(m.Name, maxOriginsPerCall) }
	for list := take(); list != nil; list = take() {
		if n.storeOrigins(context.Background(), m, list) == nil {
			n.origins.count.stored.Add(len(list))
			continue
		}
		for _, p := range list {
			p.rank += originHolders
			order := n.originOrder(p.Key, p.rank+1)
			if p.tries--; p.tries < 0 || p.rank >= len(order) || !p.Expires.After(clock.Now()) {
				n.origins.count.lost.Inc()
				continue
			}
			n.sendOrigin(order[p.rank], p)
		}
	}
}

func (n *Node) storeOrigins(ctx context.Context, m Member, list []pendingOrigin) error {
	ctx, cancel := context.WithTimeout(ctx, storeOriginsTimeout)
	defer cancel()
	now := clock.Now()
	msg := &v1.StoreOriginsRequest{}
	for _, p := range list {
		msg.Origins = append(msg.Origins, encodeOrigin(p.Origin, now))
	}
	req := connect.NewRequest(msg)
	authorize(req.Header(), n.members.sharedKey())
	_, err := n.slotPeer(m, now).StoreOrigins(ctx, req)
	return err
}

// FindOrigin returns the origin of a stream, and the box that knew it; by is empty if this box did. It asks the boxes that
// hold it, and waits for them at most originRounds times findOriginTimeout for each of the stream's keys. A box of an earlier
// release has published the streams that it began by the account's name.
func (n *Node) FindOrigin(ctx context.Context, s origins.Stream) (o origins.Origin, by string, ok bool) {
	answered := 0
	for _, k := range append([]origins.Key{s.Key}, s.AccountKeys...) {
		var a int
		o, by, a, ok = n.findByKey(ctx, k, s.Caller)
		if answered += a; ok {
			break
		}
	}
	switch {
	case !ok && answered == 0:
		n.origins.count.unanswered.Inc()
	case !ok:
		n.origins.count.unknown.Inc()
	case by == "":
		n.origins.count.foundHere.Inc()
	default:
		n.origins.count.foundElsewhere.Inc()
	}
	return o, by, ok
}

// findByKey returns the origin that this box or those that hold it have under a key. If this box has one of another caller, the
// others may have that of the caller's own stream. answered is how many other boxes answered.
func (n *Node) findByKey(ctx context.Context, k origins.Key, caller uint64) (o origins.Origin, by string, answered int, ok bool) {
	own, known := n.origins.directory.Get(clock.Now(), k)
	if known && own.Exact(caller) {
		return own, "", 0, true
	}
	order := n.originOrder(k, originAsked*originRounds)
	for len(order) > 0 && ctx.Err() == nil {
		round := order[:min(originAsked, len(order))]
		order = order[len(round):]
		o, by, a := n.askOrigin(ctx, k, round)
		if answered += a; by == "" {
			continue
		}
		if known {
			o = origins.Combine(own, o)
		}
		return o, by, answered, true
	}
	return own, "", answered, known
}

// askOrigin asks several boxes at the same time, and returns the first origin that one of them has. by is empty if none has
// it. answered is how many boxes answered until then.
func (n *Node) askOrigin(ctx context.Context, k origins.Key, boxes []Member) (o origins.Origin, by string, answered int) {
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	type answer struct {
		box string
		msg *v1.FindOriginResponse
	}
	answers := make(chan answer, len(boxes))
	for _, m := range boxes {
		go func() {
			req := connect.NewRequest(&v1.FindOriginRequest{Key: uint64(k)})
			authorize(req.Header(), n.members.sharedKey())
			resp, err := n.slotPeer(m, clock.Now()).FindOrigin(ctx, req)
			if err != nil {
				answers <- answer{}
				return
			}
			answers <- answer{m.Name, resp.Msg}
		}()
	}
	for range boxes {
		a := <-answers
		if a.box == "" {
			continue
		}
		answered++
		if found, valid := decodeOrigin(a.msg.Origin, clock.Now()); valid && found.Key == k {
			return found, a.box, answered
		}
	}
	return o, "", answered
}

// HandOverOrigins gives the origins that this box knows to other boxes. A box that stops as planned calls it once the others
// have learned that it leaves.
func (n *Node) HandOverOrigins(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	byBox := map[Member][]pendingOrigin{}
	for _, o := range n.origins.directory.Live(clock.Now()) {
		for _, m := range n.originOrder(o.Key, originHolders) {
			byBox[m] = append(byBox[m], pendingOrigin{Origin: o})
		}
	}
	var wg sync.WaitGroup
	for m, list := range byBox {
		wg.Go(func() {
			for part := range slices.Chunk(list, maxOriginsPerCall) {
				if n.storeOrigins(ctx, m, part) == nil {
					n.origins.count.stored.Add(len(part))
				} else {
					n.origins.count.lost.Add(len(part))
				}
			}
		})
	}
	wg.Wait()
}

// OriginCount returns the number of origins that this box keeps.
func (n *Node) OriginCount() int {
	k, _ := n.origins.directory.Sizes()
	return k
}

func encodeOrigin(o origins.Origin, now time.Time) *v1.Origin {
	left := min(max(0, o.Expires.Sub(now)), maxOriginTime)
	return &v1.Origin{
		Key: uint64(o.Key), AccountKey: uint64(o.AccountKey), Caller: o.Caller, Service: o.Service, Build: o.Build, Revision: o.Revision,
		Ambiguous: o.Ambiguous, LeftMs: uint32(left.Milliseconds()),
	}
}

func decodeOrigin(m *v1.Origin, now time.Time) (o origins.Origin, ok bool) {
	left := time.Duration(m.GetLeftMs()) * time.Millisecond
	if m == nil || m.Service == "" || m.Build == "" || len(m.Service) > maxServiceName || len(m.Build) > maxServiceName || left > maxOriginTime {
		return o, false
	}
	return origins.Origin{
		Key: origins.Key(m.Key), AccountKey: origins.Key(m.AccountKey), Caller: m.Caller, Service: m.Service, Build: m.Build, Revision: m.Revision,
		Ambiguous: m.Ambiguous, Expires: now.Add(left),
	}, true
}

var errOriginsInvalid = connect.NewError(connect.CodeInvalidArgument, errors.New("the origins are too many or invalid"))

// StoreOrigins keeps origins for another box.
func (s *server) StoreOrigins(_ context.Context, r *connect.Request[v1.StoreOriginsRequest]) (*connect.Response[v1.StoreOriginsResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	now := clock.Now()
	if len(r.Msg.Origins) > maxOriginsPerCall {
		s.n.count.refused.Inc()
		return nil, errOriginsInvalid
	}
	for _, m := range r.Msg.Origins {
		o, ok := decodeOrigin(m, now)
		if !ok {
			s.n.count.refused.Inc()
			return nil, errOriginsInvalid
		}
		s.n.origins.directory.Put(now, o)
		if s.n.o.OnOrigin != nil {
			if kept, ok := s.n.origins.directory.Get(now, o.Key); ok { // A later one of the stream may have come before.
				s.n.o.OnOrigin(kept)
			}
		}
	}
	return connect.NewResponse(&v1.StoreOriginsResponse{}), nil
}

// FindOrigin answers another box with what this box knows of the beginning of a stream.
func (s *server) FindOrigin(_ context.Context, r *connect.Request[v1.FindOriginRequest]) (*connect.Response[v1.FindOriginResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	now := clock.Now()
	out := &v1.FindOriginResponse{}
	if o, ok := s.n.origins.directory.Get(now, origins.Key(r.Msg.Key)); ok {
		out.Origin = encodeOrigin(o, now)
	}
	return connect.NewResponse(out), nil
}
