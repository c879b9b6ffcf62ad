package ops

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/limit"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// peerServer answers calls from the other boxes.
type peerServer struct{ s *Server }

// State returns this box's readiness and configuration version.
func (p *peerServer) State(context.Context, *connect.Request[v1.StateRequest]) (*connect.Response[v1.StateResponse], error) {
	out := &v1.StateResponse{Box: p.s.Box.Name, Incarnation: p.s.Incarnation, Ready: p.s.Gateway.Ready()}
	if c := p.s.Gateway.Config(); c != nil {
		out.ConfigVersion = c.Version
	}
	return connect.NewResponse(out), nil
}

// PassConfig returns the configuration in force on this box. Another box calls PassConfig while the table is
// unavailable. The table has accepted every version that a box has in force.
func (p *peerServer) PassConfig(_ context.Context, r *connect.Request[v1.PassConfigRequest]) (*connect.Response[v1.PassConfigResponse], error) {
	out := &v1.PassConfigResponse{}
	if c := p.s.Gateway.Config(); c != nil {
		out.Version = c.Version
		if c.Version > r.Msg.Known {
			out.Text = c.Text
		}
	}
	return connect.NewResponse(out), nil
}

// GetRecord returns the record of a request, if this box still has it in memory.
func (p *peerServer) GetRecord(_ context.Context, r *connect.Request[v1.GetRecordRequest]) (*connect.Response[v1.GetRecordResponse], error) {
	rec := p.s.Records.Get(r.Msg.Id)
	if rec == nil {
		return connect.NewResponse(&v1.GetRecordResponse{}), nil
	}
	b, err := json.Marshal(rec)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&v1.GetRecordResponse{RecordJson: string(b)}), nil
}

// Grant receives the demand of another box: how many requests of each client that box sees. It covers only clients
// that this box owns. The owner of a client is the one box that divides the client's limits among all boxes. Grant
// returns the other box's shares of these limits.
func (p *peerServer) Grant(_ context.Context, r *connect.Request[v1.GrantRequest]) (*connect.Response[v1.GrantResponse], error) {
	demands := make([]limit.Demand, len(r.Msg.Demands))
	for i, d := range r.Msg.Demands {
		demands[i] = limit.Demand{Client: d.Client, Requests: float64(d.Requests)}
	}
	out := &v1.GrantResponse{}
	for _, s := range p.s.Grants.HandleDemands(r.Msg.Box, demands) {
		out.Parts = append(out.Parts, float32(s.Fraction))
	}
	return connect.NewResponse(out), nil
}
