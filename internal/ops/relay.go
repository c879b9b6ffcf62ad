package ops

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

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

// Why explains a request that this box served lately.
func (s *RelayServer) Why(_ context.Context, r *connect.Request[v1.WhyRequest]) (*connect.Response[v1.WhyResponse], error) {
	rec := s.Records.Get(r.Msg.Id)
	if rec == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("this box has no record of request %q among its newest %d; another box may have served it", r.Msg.Id, RecordsKept))
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
