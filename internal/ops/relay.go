package ops

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/archive"
	"github.com/stoatramp/stoatramp/internal/record"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// RelayServer answers the operators of a box on the platform. Routes and endpoints are the
// platform's; the configuration here is what is left to say: policies, rules, operators.
type RelayServer struct {
	Versions
	Name, Region, Hall string
	Relay              Rules
	Records            *record.Ring
	Archive            *archive.ByTime
	Metrics            *telemetry.Metrics
	// Operator tells whether a key lets its bearer in.
	Operator func(key string) bool
	// OpenMetrics lets everybody who reaches the address read the metrics.
	OpenMetrics bool
	// Stop starts a planned stop and does not wait for it.
	Stop func()
	// NearLimit tells which client accounts whose home the box is have little left of what they may
	// have at once, with the share that is left; nil if that is not known.
	NearLimit func() map[string]float64
}

// Rules is a box that follows the shared configuration.
type Rules interface {
	Serving
	// PolicyVersion is the version of it in force; 0 before the first.
	PolicyVersion() int64
}

var _ stoatrampv1connect.OperatorHandler = (*RelayServer)(nil)

// Handler serves everything on the operators' address.
func (s *RelayServer) Handler() http.Handler {
	mux := operatorMux(s, s.Metrics)
	guarded := guard(s.Operator, mux)
	if !s.OpenMetrics {
		return guarded
	}
	all := http.NewServeMux()
	all.Handle("GET /metrics", mux)
	all.Handle("/", guarded)
	return all
}

// Status tells what the box sees and does.
func (s *RelayServer) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	out := status(s.Name, s.Region, s.Hall, s.Relay)
	if v := s.Relay.PolicyVersion(); v > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("policies and operators of version %d are in force", v))
	}
	if s.NearLimit != nil {
		out.Notes = append(out.Notes, nearLimit(s.NearLimit())...)
	}
	return connect.NewResponse(out), nil
}

// mostNear bounds the accounts that a status names.
const mostNear = 10

// nearLimit says which client accounts have least left of what they may have at once.
func nearLimit(left map[string]float64) (out []string) {
	names := slices.SortedFunc(maps.Keys(left), func(a, b string) int {
		return cmp.Or(cmp.Compare(left[a], left[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), mostNear)] {
		out = append(out, fmt.Sprintf("client account %s, whose home this box is, has %.0f%% of what it may have at once left", name, 100*left[name]))
	}
	return out
}

// ForceHere waits until an accepted version is in force on this box. Other boxes follow
// the platform's store by themselves; this one does not know them, and so it names none.
func (s *RelayServer) ForceHere(ctx context.Context, version int64) *v1.ApplyConfigResponse {
	return awaitForce(ctx, version, func() []string {
		if s.Relay.PolicyVersion() >= version {
			return nil
		}
		return []string{s.Name}
	})
}

// Why explains a request that this box served lately, or any box wrote the record of.
func (s *RelayServer) Why(ctx context.Context, r *connect.Request[v1.WhyRequest]) (*connect.Response[v1.WhyResponse], error) {
	if rec := s.Records.Get(r.Msg.Id); rec != nil {
		return why(rec)
	}
	rec, err := s.Archive.Find(ctx, r.Msg.Id)
	if errors.Is(err, archive.ErrNotFound) {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no record of request %q on this box, nor in the object store, where records come within a minute: %w", r.Msg.Id, err))
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("the record of request %q is not on this box, and the object store does not answer: %w", r.Msg.Id, err))
	}
	return why(rec)
}

// Drain starts a planned stop.
func (s *RelayServer) Drain(context.Context, *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	n := s.Relay.Running()
	s.Stop()
	return connect.NewResponse(&v1.DrainResponse{Running: n}), nil
}
