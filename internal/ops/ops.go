// Package ops serves operators: the connect service that the command-line tool
// calls, the metrics, and health. All of it needs the operators' key.
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
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/archive"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/gateway"
	"github.com/stoatramp/stoatramp/internal/peer"
	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/record"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Server answers operators.
type Server struct {
	Box     *config.Box
	Gateway *gateway.Gateway
	Records *record.Ring
	Store   *control.Store
	Metrics *telemetry.Metrics
	// CheckPolicy checks a policy program with its cases.
	CheckPolicy func(*config.Policy) error
	// Stop starts a planned stop and does not wait for it.
	Stop func()
	// Peers and Archive find what this box does not know.
	Peers       *peer.Peers
	Grants      *peer.Grants
	Archive     *archive.Archive
	Incarnation int64
}

var _ stoatrampv1connect.OperatorHandler = (*Server)(nil)

// Handler serves everything on the operators' address.
func (s *Server) Handler() http.Handler {
	all := http.NewServeMux()
	path, peers := stoatrampv1connect.NewPeerHandler(&peerServer{s})
	all.Handle(path, guard(config.Digest(s.Box.PeerKey), s.Box.PeerKey != "", peers))
	all.Handle("/", guard(s.Box.OperatorKeySHA256, true, s.operators()))
	return all
}

func (s *Server) operators() http.Handler { return operatorMux(s, s.Metrics) }

// operatorMux serves the connect service, the metrics and profiles.
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

// guard lets in only who has the key of that digest, and nobody where there is none.
func guard(digest string, open bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !open || !config.KeyMatches(key, digest) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"code":"unauthenticated","message":"the key is missing or wrong"}`))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Status tells what the box sees and does.
func (s *Server) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(status(s.Box.Name, s.Box.Region, s.Box.Hall, s.Gateway)), nil
}

// Why explains a request.
func (s *Server) Why(ctx context.Context, r *connect.Request[v1.WhyRequest]) (*connect.Response[v1.WhyResponse], error) {
	rec, err := s.findRecord(ctx, r.Msg.Id)
	if errors.Is(err, archive.ErrNotFound) {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no record of request %q: not on this box, not on the box its id begins with, and not in the object store, where records come within seconds", r.Msg.Id))
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("the record of request %q is not on this box or a live peer, and the object store does not answer: %w", r.Msg.Id, err))
	}
	return why(rec)
}

// findRecord looks on this box, then on the box that served the request, then in
// the object store.
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

// RecordsKept is how many records a box keeps in memory.
const RecordsKept = 4096

// GetConfig returns a version of the configuration.
func (s *Server) GetConfig(ctx context.Context, r *connect.Request[v1.GetConfigRequest]) (*connect.Response[v1.GetConfigResponse], error) {
	var v *control.Version
	var err error
	if r.Msg.Version == 0 {
		v, err = s.Store.Load(ctx, 0)
	} else {
		v, err = s.Store.Get(ctx, r.Msg.Version)
	}
	if err != nil {
		return nil, storeError(err)
	}
	return connect.NewResponse(&v1.GetConfigResponse{Version: v.Number, Text: v.Text}), nil
}

func storeError(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return connect.NewError(connect.CodeNotFound, errors.New("no such version"))
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// CheckConfig checks a text.
func (s *Server) CheckConfig(_ context.Context, r *connect.Request[v1.CheckConfigRequest]) (*connect.Response[v1.CheckConfigResponse], error) {
	return connect.NewResponse(&v1.CheckConfigResponse{Problems: s.problems(r.Msg.Text)}), nil
}

func (s *Server) problems(text string) []string {
	_, err := config.ParseShared("configuration", []byte(text), s.CheckPolicy)
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}

// ApplyConfig accepts a text.
func (s *Server) ApplyConfig(ctx context.Context, r *connect.Request[v1.ApplyConfigRequest]) (*connect.Response[v1.ApplyConfigResponse], error) {
	if problems := s.problems(r.Msg.Text); len(problems) > 0 {
		return connect.NewResponse(&v1.ApplyConfigResponse{Problems: problems}), nil
	}
	version, err := s.Store.Apply(ctx, r.Msg.BaseVersion, control.Version{Text: r.Msg.Text, Author: r.Msg.Author, At: time.Now()})
	var conflict *control.ConflictError
	if errors.As(err, &conflict) {
		return connect.NewResponse(&v1.ApplyConfigResponse{Conflict: true, Version: conflict.Current}), nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(s.awaitForce(ctx, version)), nil
}

const (
	// forceLimit is how long an accepted version may take to be in force everywhere.
	forceLimit = 5 * time.Second
	forcePause = 250 * time.Millisecond
)

// awaitForce waits until all live boxes have the version in force, and names those
// that do not have it in time.
func (s *Server) awaitForce(ctx context.Context, version int64) *v1.ApplyConfigResponse {
	start := time.Now()
	behind := s.Peers.Serving()
	resp := &v1.ApplyConfigResponse{Version: version, Boxes: int32(1 + len(behind))}
	for {
		behind = s.Peers.Behind(ctx, version, behind) // Only those that were behind are asked again.
		resp.Missing = behind
		if c := s.Gateway.Config(); c == nil || c.Version < version {
			resp.Missing = append(slices.Clone(behind), s.Box.Name)
		}
		resp.InForceMs = time.Since(start).Milliseconds()
		if len(resp.Missing) == 0 || time.Since(start) > forceLimit {
			return resp
		}
		select {
		case <-time.After(forcePause):
		case <-ctx.Done():
			return resp
		}
	}
}

// Drain starts a planned stop.
func (s *Server) Drain(context.Context, *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	n := s.Gateway.Running()
	s.Stop()
	return connect.NewResponse(&v1.DrainResponse{Running: n}), nil
}

// ConfigHistory lists the versions.
func (s *Server) ConfigHistory(ctx context.Context, _ *connect.Request[v1.ConfigHistoryRequest]) (*connect.Response[v1.ConfigHistoryResponse], error) {
	list, err := s.Store.History(ctx)
	if err != nil {
		return nil, storeError(err)
	}
	out := &v1.ConfigHistoryResponse{}
	for _, v := range list {
		out.Versions = append(out.Versions, &v1.ConfigVersion{Version: v.Number, Author: v.Author, AcceptedUnixMs: v.At.UnixMilli()})
	}
	return connect.NewResponse(out), nil
}
