package ops

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/quarantine"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Quarantine is what a box knows of requests, and of parts of prompts, that crash endpoints.
type Quarantine interface {
	Parts() []quarantine.PartVerdict
	Requests() []quarantine.RequestVerdict
	LiftPart(p quarantine.Part) bool
	LiftRequest(f quarantine.Fingerprint) bool
}

// Quarantine lists the parts of prompts and the whole requests that are suspected or quarantined.
func (s *RelayServer) Quarantine(context.Context, *connect.Request[v1.QuarantineRequest]) (*connect.Response[v1.QuarantineResponse], error) {
	return connect.NewResponse(&v1.QuarantineResponse{Entries: quarantineEntries(s.Quarantined)}), nil
}

// quarantineEntries lists the parts first, because one of them may concern many requests.
func quarantineEntries(q Quarantine) (out []*v1.QuarantineEntry) {
	for _, v := range q.Parts() {
		out = append(out, &v1.QuarantineEntry{
			Kind: "part", Id: v.Part.String(), State: v.State.String(), Account: v.Account, Bits: v.Bits, Requests: int32(v.Requests),
			Endpoints: v.Crashes, SinceMs: clock.Since(v.Since).Milliseconds(),
		})
	}
	for _, v := range q.Requests() {
		e := &v1.QuarantineEntry{Kind: "request", Id: v.Request.String(), State: quarantine.Quarantined.String(), Bits: v.Bits, Requests: 1}
		for _, c := range v.Crashes {
			e.Endpoints = append(e.Endpoints, c.Endpoint)
		}
		out = append(out, e)
	}
	return out
}

var errNotQuarantined = errors.New("no crash of an endpoint counts against it on this box")

// LiftQuarantine lifts the quarantine of a part of prompts or of a whole request.
func (s *RelayServer) LiftQuarantine(_ context.Context, r *connect.Request[v1.LiftQuarantineRequest]) (*connect.Response[v1.LiftQuarantineResponse], error) {
	var lifted bool
	if p, ok := quarantine.ParsePart(r.Msg.Id); ok {
		lifted = s.Quarantined.LiftPart(p)
	} else if f, ok := quarantine.ParseFingerprint(r.Msg.Id); ok {
		lifted = s.Quarantined.LiftRequest(f)
	} else {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("%q is not the id of a part (16 hexadecimal digits) or of a request (32)", r.Msg.Id))
	}
	if !lifted {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("%s: %w", r.Msg.Id, errNotQuarantined))
	}
	return connect.NewResponse(&v1.LiftQuarantineResponse{}), nil
}

// errNoQuarantine is the answer of a gateway box, which keeps no account of crashes.
var errNoQuarantine = connect.NewError(connect.CodeUnimplemented, errors.New("this box has its endpoints in the shared configuration, and quarantines nothing"))

// Quarantine is not available on a gateway box.
func (s *Server) Quarantine(context.Context, *connect.Request[v1.QuarantineRequest]) (*connect.Response[v1.QuarantineResponse], error) {
	return nil, errNoQuarantine
}

// LiftQuarantine is not available on a gateway box.
func (s *Server) LiftQuarantine(context.Context, *connect.Request[v1.LiftQuarantineRequest]) (*connect.Response[v1.LiftQuarantineResponse], error) {
	return nil, errNoQuarantine
}

// quarantineNotes names in the status what the box sends to no endpoint.
func quarantineNotes(q Quarantine) (notes []string) {
	for _, e := range quarantineEntries(q) {
		notes = append(notes, fmt.Sprintf("%s %s is %s: %d endpoints crashed under it ('stoatramp quarantine list')", e.Kind, e.Id, e.State, len(e.Endpoints)))
	}
	return notes
}
