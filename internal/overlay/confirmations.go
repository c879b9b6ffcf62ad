package overlay

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// A box that does not reach the platform's store asks other boxes at which build a stream began by the plans and the log there.
// This file makes and serves these requests. Package builds answers them.

const (
	// confirmOriginTimeout bounds the wait for the boxes that are asked at the same time. Each may read the store, for which
	// package builds waits up to 300 ms.
	confirmOriginTimeout = 400 * time.Millisecond
	// maxConfirmationsServed bounds the requests that this box answers at the same time, since each may cost calls to the store.
	// maxConfirmationsAsked bounds the streams that it asks about at the same time, so that one box alone is never refused.
	maxConfirmationsServed = 64
	maxConfirmationsAsked  = 64
)

// confirmations is the state of the requests for confirmation. asking has an element for each stream that this box asks about,
// and serving one for each request that it answers.
type confirmations struct {
	asking, serving chan struct{}
	count           confirmationCounters
}

type confirmationCounters struct {
	confirmed, unknown, unanswered, conflicting   *metrics.Counter
	servedConfirmed, servedUnknown, servedRefused *metrics.Counter
}

func newConfirmations(m *metrics.Set) confirmations {
	return confirmations{
		asking: make(chan struct{}, maxConfirmationsAsked), serving: make(chan struct{}, maxConfirmationsServed),
		count: confirmationCounters{
			confirmed:       m.NewCounter(`stoatramp_origin_confirmations_total{result="confirmed"}`),
			unknown:         m.NewCounter(`stoatramp_origin_confirmations_total{result="unknown"}`),
			unanswered:      m.NewCounter(`stoatramp_origin_confirmations_total{result="unanswered"}`),
			conflicting:     m.NewCounter(`stoatramp_origin_confirmations_total{result="conflicting"}`),
			servedConfirmed: m.NewCounter(`stoatramp_origin_confirmations_served_total{result="confirmed"}`),
			servedUnknown:   m.NewCounter(`stoatramp_origin_confirmations_served_total{result="unknown"}`),
			servedRefused:   m.NewCounter(`stoatramp_origin_confirmations_served_total{result="refused"}`),
		},
	}
}

// ConfirmOrigin returns the build that a stream began at, as another box confirms it, and that box. It waits at most
// confirmOriginTimeout for its turn, and as long for the answers of each originAsked boxes. If two boxes confirm different
// builds, ok is false.
func (n *Node) ConfirmOrigin(ctx context.Context, service, region string, s origins.Stream) (build, by string, ok bool) {
	count := &n.confirmations.count
	if !n.beginAsking(ctx) {
		count.unanswered.Inc()
		return "", "", false
	}
	defer func() { <-n.confirmations.asking }()
	msg := &v1.ConfirmOriginRequest{Key: uint64(s.AccountKey()), Service: service, Region: region, IdKey: uint64(s.Key), Caller: s.Caller}
	for _, k := range s.AccountKeys[min(1, len(s.AccountKeys)):] {
		msg.FormerAccountKeys = append(msg.FormerAccountKeys, uint64(k))
	}
	order := n.confirmationOrder(s)
	answered := 0
	for len(order) > 0 && ctx.Err() == nil {
		round := order[:min(originAsked, len(order))]
		order = order[len(round):]
		a := n.askConfirmations(ctx, msg, round)
		switch answered += a.answered; {
		case a.conflicting.build != "":
			count.conflicting.Inc()
			n.o.OnStateChange("boxes name different builds for a stream", zap.String("service", service), zap.String("region", region),
				zap.String("key", strconv.FormatUint(uint64(s.Key), 36)), zap.String("box", a.first.box), zap.String("build", a.first.build),
				zap.String("other_box", a.conflicting.box), zap.String("other_build", a.conflicting.build))
			return "", "", false
		case a.first.build != "":
			count.confirmed.Inc()
			return a.first.build, a.first.box, true
		}
	}
	if answered == 0 {
		count.unanswered.Inc()
	} else {
		count.unknown.Inc()
	}
	return "", "", false
}

// confirmationOrder lists the boxes that are asked about a stream: those that are asked for its origin, and then as many others, by
// chance. A caller that comes back gets other ones then, in case few boxes reach the store. Boxes of earlier releases know only the
// present name of an account, so they are not asked about a stream whose account had another one.
func (n *Node) confirmationOrder(s origins.Stream) []Member {
	const first = originAsked * originRounds
	order := n.originOrder(s.Key, math.MaxInt)
	if len(s.AccountKeys) > 1 {
		order = slices.DeleteFunc(order, func(m Member) bool { return m.PlanRules < PlanRulesByID })
	}
	if len(order) <= first {
		return order
	}
	others := order[first:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return order[:min(2*first, len(order))]
}

// beginAsking waits until fewer than maxConfirmationsAsked streams are asked about, and returns false if that takes too long.
func (n *Node) beginAsking(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmOriginTimeout)
	defer cancel()
	if ctx.Err() != nil {
		return false
	}
	select {
	case n.confirmations.asking <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// confirmation is what a box says of a stream. build is empty if it can't tell.
type confirmation struct {
	box, build string
	answered   bool
}

// confirmationRound is what boxes that were asked at the same time say of a stream. first is the first confirmation, and
// conflicting one that names another build. answered is how many boxes answered.
type confirmationRound struct {
	first, conflicting confirmation
	answered           int
}

// askConfirmations asks several boxes at the same time. It waits for all of them, at most for confirmOriginTimeout: which of two
// builds is the right one does not follow from which answer comes first.
func (n *Node) askConfirmations(ctx context.Context, msg *v1.ConfirmOriginRequest, boxes []Member) (out confirmationRound) {
	ctx, cancel := context.WithTimeout(ctx, confirmOriginTimeout)
	defer cancel()
	answers := make(chan confirmation, len(boxes))
	for _, m := range boxes {
		go func() { answers <- n.askConfirmation(ctx, msg, m) }()
	}
	for range boxes {
		a := <-answers
		if a.answered {
			out.answered++
		}
		switch {
		case a.build == "" || a.build == out.first.build:
		case out.first.build == "":
			out.first = a
		default:
			out.conflicting = a
			return out
		}
	}
	return out
}

// askConfirmation asks one box. A box of an earlier release does not know the request, so it can't tell.
func (n *Node) askConfirmation(ctx context.Context, msg *v1.ConfirmOriginRequest, m Member) confirmation {
	req := connect.NewRequest(msg)
	authorize(req.Header(), n.members.sharedKey())
	resp, err := n.slotPeer(m, clock.Now()).ConfirmOrigin(ctx, req)
	if err != nil || len(resp.Msg.Build) > maxServiceName {
		return confirmation{box: m.Name, answered: connect.CodeOf(err) == connect.CodeUnimplemented}
	}
	return confirmation{box: m.Name, build: resp.Msg.Build, answered: true}
}

var (
	errConfirmationInvalid = connect.NewError(connect.CodeInvalidArgument, errors.New("the service or the region of the stream is missing or too long, or it has too many keys"))
	errConfirmationsBusy   = connect.NewError(connect.CodeResourceExhausted, errors.New("too many origins are being confirmed"))
)

// ConfirmOrigin tells another box at which build a stream began by the plans and the log, if this box can tell.
func (s *server) ConfirmOrigin(ctx context.Context, r *connect.Request[v1.ConfirmOriginRequest]) (*connect.Response[v1.ConfirmOriginResponse], error) {
	n := s.n
	if err := n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	m, count := r.Msg, &n.confirmations.count
	if len(m.FormerAccountKeys) > maxFormerKeys || m.Service == "" || m.Region == "" || len(m.Service) > maxServiceName || len(m.Region) > maxServiceName {
		n.count.refused.Inc()
		return nil, errConfirmationInvalid
	}
	out := &v1.ConfirmOriginResponse{}
	if n.o.ConfirmOrigin == nil {
		count.servedUnknown.Inc()
		return connect.NewResponse(out), nil
	}
	select {
	case n.confirmations.serving <- struct{}{}:
		defer func() { <-n.confirmations.serving }()
	default:
		count.servedRefused.Inc()
		return nil, errConfirmationsBusy
	}
	ctx, cancel := context.WithTimeout(ctx, confirmOriginTimeout)
	defer cancel()
	if build, ok := n.o.ConfirmOrigin(ctx, m.Service, m.Region, decodeStream(m)); ok {
		out.Build = build
	}
	if out.Build == "" {
		count.servedUnknown.Inc()
	} else {
		count.servedConfirmed.Inc()
	}
	return connect.NewResponse(out), nil
}

// maxFormerKeys bounds the former account keys in a request.
const maxFormerKeys = 64

// decodeStream returns the stream that a request is about.
func decodeStream(m *v1.ConfirmOriginRequest) origins.Stream {
	s := origins.Stream{Key: origins.Key(m.IdKey), Caller: m.Caller}
	if m.Key != 0 {
		s.AccountKeys = append(s.AccountKeys, origins.Key(m.Key))
	}
	for _, k := range m.FormerAccountKeys {
		s.AccountKeys = append(s.AccountKeys, origins.Key(k))
	}
	return s
}
