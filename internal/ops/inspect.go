package ops

import (
	"encoding/json"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/record"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Serving is what operators may ask about either kind of box.
type Serving interface {
	Engines() (engines []decide.EngineState, waiting int, notes []string)
	Ready() bool
	Running() int64
	// Version is the configuration in force; 0 before the first.
	Version() int64
}

func status(name, region, hall string, g Serving) *v1.StatusResponse {
	engines, waiting, notes := g.Engines()
	out := &v1.StatusResponse{
		Box: name, Region: region, Hall: hall, Notes: notes,
		Ready: g.Ready(), Running: g.Running(), Waiting: int64(waiting), ConfigVersion: g.Version(),
	}
	for _, e := range engines {
		out.Engines = append(out.Engines, &v1.EngineStatus{
			Name: e.Name, Pool: e.Pool, Role: e.Role.String(), Hall: e.Hall, State: e.State,
			QueueMs: e.Queue.Milliseconds(), FreeKvTokens: int64(e.FreeKV), Streams: int64(e.Streams), HeldKvTokens: int64(e.HeldKV),
		})
	}
	return out
}

func why(rec *record.Record) (*connect.Response[v1.WhyResponse], error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&v1.WhyResponse{Sentences: record.Explain(rec), RecordJson: string(b)}), nil
}
