package ops

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/archive"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/record"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// RelayServer answers the operators of a relay box. The configuration is the
// platform's, so the calls about it say so.
type RelayServer struct {
	stoatrampv1connect.UnimplementedOperatorHandler
	Box     *config.Relay
	Relay   Serving
	Records *record.Ring
	Archive *archive.ByTime
	Metrics *telemetry.Metrics
	// Stop starts a planned stop and does not wait for it.
	Stop func()
}

// Handler serves everything on the operators' address.
func (s *RelayServer) Handler() http.Handler {
	key := s.Box.OperatorKeySHA256
	return guard(key, key != "", operatorMux(s, s.Metrics))
}

// Status tells what the box sees and does.
func (s *RelayServer) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(status(s.Box.Name, s.Box.Region, s.Box.Hall, s.Relay)), nil
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

var errPlatformKeeps = connect.NewError(connect.CodeUnimplemented, errors.New("the platform keeps this box's configuration; change it there"))

// GetConfig says where the configuration is.
func (s *RelayServer) GetConfig(context.Context, *connect.Request[v1.GetConfigRequest]) (*connect.Response[v1.GetConfigResponse], error) {
	return nil, errPlatformKeeps
}

// CheckConfig says where the configuration is.
func (s *RelayServer) CheckConfig(context.Context, *connect.Request[v1.CheckConfigRequest]) (*connect.Response[v1.CheckConfigResponse], error) {
	return nil, errPlatformKeeps
}

// ApplyConfig says where the configuration is.
func (s *RelayServer) ApplyConfig(context.Context, *connect.Request[v1.ApplyConfigRequest]) (*connect.Response[v1.ApplyConfigResponse], error) {
	return nil, errPlatformKeeps
}

// ConfigHistory says where the configuration is.
func (s *RelayServer) ConfigHistory(context.Context, *connect.Request[v1.ConfigHistoryRequest]) (*connect.Response[v1.ConfigHistoryResponse], error) {
	return nil, errPlatformKeeps
}
