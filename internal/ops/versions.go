package ops

import (
	"context"
	"errors"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/platform"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Versions implements the calls that read and change the shared configuration. They are the same for gateway and relay
// boxes.
type Versions struct {
	Store *control.Store
	// Check returns the problems in the text of a configuration; nil if there are none.
	Check func(text string) error
	// AwaitRollout waits until an accepted version is in force. It reports the boxes on which the version is not in
	// force.
	AwaitRollout func(ctx context.Context, version int64) *v1.ApplyConfigResponse
}

// GetConfig returns a version of the configuration.
func (s *Versions) GetConfig(ctx context.Context, r *connect.Request[v1.GetConfigRequest]) (*connect.Response[v1.GetConfigResponse], error) {
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

// CheckConfig returns the problems in the text of a configuration.
func (s *Versions) CheckConfig(_ context.Context, r *connect.Request[v1.CheckConfigRequest]) (*connect.Response[v1.CheckConfigResponse], error) {
	return connect.NewResponse(&v1.CheckConfigResponse{Problems: s.problems(r.Msg.Text)}), nil
}

func (s *Versions) problems(text string) []string {
	if err := s.Check(text); err != nil {
		return strings.Split(err.Error(), "\n")
	}
	return nil
}

// ApplyConfig checks a text, stores it as the next version, and waits until that version is in force.
func (s *Versions) ApplyConfig(ctx context.Context, r *connect.Request[v1.ApplyConfigRequest]) (*connect.Response[v1.ApplyConfigResponse], error) {
	if problems := s.problems(r.Msg.Text); len(problems) > 0 {
		return connect.NewResponse(&v1.ApplyConfigResponse{Problems: problems}), nil
	}
	version, err := s.Store.Apply(ctx, r.Msg.BaseVersion, control.Version{Text: r.Msg.Text, Author: r.Msg.Author, At: time.Now()})
	var conflict *control.ConflictError
	switch {
	case errors.As(err, &conflict):
		return connect.NewResponse(&v1.ApplyConfigResponse{Conflict: true, Version: conflict.Current}), nil
	case errors.Is(err, control.ErrTooLarge):
		return connect.NewResponse(&v1.ApplyConfigResponse{Problems: []string{err.Error()}}), nil
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(s.AwaitRollout(ctx, version)), nil
}

// ConfigHistory lists the versions.
func (s *Versions) ConfigHistory(ctx context.Context, _ *connect.Request[v1.ConfigHistoryRequest]) (*connect.Response[v1.ConfigHistoryResponse], error) {
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

const (
	// rolloutTimeout is how long pollRollout waits for an accepted version to be in force.
	rolloutTimeout      = 5 * time.Second
	rolloutPollInterval = 250 * time.Millisecond
)

// pollRollout calls lagging every rolloutPollInterval. lagging returns the boxes that do not have the version in force.
// pollRollout ends when there are no such boxes, or after rolloutTimeout.
func pollRollout(ctx context.Context, version int64, lagging func() []string) *v1.ApplyConfigResponse {
	start := time.Now()
	resp := &v1.ApplyConfigResponse{Version: version}
	for {
		resp.Missing = lagging()
		resp.InForceMs = time.Since(start).Milliseconds()
		if len(resp.Missing) == 0 || time.Since(start) > rolloutTimeout {
			return resp
		}
		select {
		case <-time.After(rolloutPollInterval):
		case <-ctx.Done():
			return resp
		}
	}
}
