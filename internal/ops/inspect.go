package ops

import (
	"encoding/json"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/record"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// BoxState is the state that operators can read of a box (a machine that runs the router), be it a gateway or a relay.
type BoxState interface {
	Engines() (engines []decide.EngineState, waiting int, notes []string)
	Ready() bool
	Running() int64
	// Version is the version of the configuration that the box uses; 0 before the first.
	Version() int64
}

func status(name, region, hall string, box BoxState) *v1.StatusResponse {
	engines, waiting, notes := box.Engines()
	out := &v1.StatusResponse{
		Box: name, Region: region, Hall: hall, Notes: notes,
		Ready: box.Ready(), Running: box.Running(), Waiting: int64(waiting), ConfigVersion: box.Version(),
	}
	for _, e := range engines {
		out.Engines = append(out.Engines, &v1.EngineStatus{
			Name: e.Name, Pool: e.Pool, Role: e.Role.String(), Hall: e.Hall, State: e.State,
			QueueMs: e.Queue.Milliseconds(), FreeKvTokens: int64(e.FreeKV), Streams: int64(e.Streams), HeldKvTokens: int64(e.ReservedKV), Build: e.Build,
		})
	}
	return out
}

func explain(rec *record.Record) (*connect.Response[v1.WhyResponse], error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&v1.WhyResponse{Sentences: record.Explain(rec), RecordJson: string(b)}), nil
}
