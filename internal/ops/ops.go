// Package ops serves the operators of a box (a machine that runs the router). It serves the Connect service that the
// command-line tool calls, the metrics, and profiles. Operators need an operator key. Only a relay box can serve its
// metrics without a key. The package also answers the calls of other gateway boxes; these need the boxes' own key.
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/archive"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/gateway"
	"github.com/stoatramp/stoatramp/internal/peer"
	"github.com/stoatramp/stoatramp/internal/record"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Server answers the operators of a gateway box. A gateway box has its routes and endpoints in the shared
// configuration.
type Server struct {
	Versions
	Box     *config.Box
	Gateway *gateway.Gateway
	Records *record.Ring
	Metrics *telemetry.Metrics
	// Stop begins a planned stop. It returns immediately.
	Stop func()
	// Peers (the other boxes) and Archive are searched for the records of requests that this box does not have.
	Peers       *peer.Peers
	Grants      *peer.Grants
	Archive     *archive.Archive
	Incarnation int64
}

var _ stoatrampv1connect.OperatorHandler = (*Server)(nil)

// NewServer returns a server that reads and changes the shared configuration in store. checkPolicy compiles a policy's
// program and runs its test cases.
func NewServer(store *control.Store, checkPolicy func(*config.Policy) error) *Server {
	s := &Server{}
	s.Versions = Versions{
		Store: store,
		Check: func(text string) error {
			_, err := config.ParseShared("configuration", []byte(text), checkPolicy)
			return err
		},
		AwaitRollout: s.awaitRollout,
	}
	return s
}

// Handler returns the handler for the operators' address. This address receives the requests of operators and of the
// other boxes.
func (s *Server) Handler() http.Handler {
	all := http.NewServeMux()
	path, peers := stoatrampv1connect.NewPeerHandler(&peerServer{s})
	all.Handle(path, requireKey(s.isPeer, peers))
	all.Handle("/", requireKey(s.isOperator, s.operatorHandler()))
	return all
}

func (s *Server) isPeer(key string) bool {
	return s.Box.PeerKey != "" && config.KeyMatches(key, config.KeyDigest(s.Box.PeerKey))
}

func (s *Server) isOperator(key string) bool { return config.KeyMatches(key, s.Box.OperatorKeySHA256) }

func (s *Server) operatorHandler() http.Handler { return operatorMux(s, s.Metrics) }

// operatorMux serves the operators' Connect service, the metrics and profiles.
func operatorMux(h stoatrampv1connect.OperatorHandler, m *telemetry.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(stoatrampv1connect.NewOperatorHandler(h))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.Write(w)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// requireKey returns a handler that passes a request on to next only if authorized accepts the request's key.
func requireKey(authorized func(key string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !authorized(key) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"code":"unauthenticated","message":"the key is missing or wrong"}`))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Status returns the state of the box.
func (s *Server) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(status(s.Box.Name, s.Box.Region, s.Box.Hall, s.Gateway)), nil
}

// Why explains how a request was routed and how it ended.
func (s *Server) Why(ctx context.Context, r *connect.Request[v1.WhyRequest]) (*connect.Response[v1.WhyResponse], error) {
	rec, err := s.findRecord(ctx, r.Msg.Id)
	if errors.Is(err, archive.ErrNotFound) {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no record of request %q: not on this box, not on the box its id begins with, and not in the object store, where records come within seconds", r.Msg.Id))
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("the record of request %q is not on this box or a live peer, and the object store does not answer: %w", r.Msg.Id, err))
	}
	return explain(rec)
}

// findRecord returns the record of a request. The record lists the decisions about the request. findRecord looks on
// this box, then on the box that served the request, then in the object store.
func (s *Server) findRecord(ctx context.Context, id string) (*record.Record, error) {
	if rec := s.Records.Get(id); rec != nil {
		return rec, nil
	}
	if text := s.Peers.Record(ctx, id); text != "" {
		rec := &record.Record{}
		if err := json.Unmarshal([]byte(text), rec); err == nil {
			return rec, nil
		}
	}
	return s.Archive.Find(ctx, id)
}

// RecordCapacity is how many records of requests a box keeps in memory.
const RecordCapacity = 4096

// awaitRollout waits until the version is in force on all boxes that are not leaving. The response names the boxes on
// which it was not in force in time.
func (s *Server) awaitRollout(ctx context.Context, version int64) *v1.ApplyConfigResponse {
	behind := s.Peers.Serving()
	boxes := 1 + len(behind)
	resp := pollRollout(ctx, version, func() []string {
		behind = s.Peers.Behind(ctx, version, behind) // Boxes that already have the version are not asked again.
		if c := s.Gateway.Config(); c == nil || c.Version < version {
			return append(slices.Clone(behind), s.Box.Name)
		}
		return behind
	})
	resp.Boxes = int32(boxes)
	return resp
}

// Drain starts a planned stop.
func (s *Server) Drain(context.Context, *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	n := s.Gateway.Running()
	s.Stop()
	return connect.NewResponse(&v1.DrainResponse{Running: n}), nil
}
