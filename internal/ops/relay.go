package ops

import (
	"net/http"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/relay"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// RelayHandler serves the operators of a relay box.
func RelayHandler(cfg *config.Relay, _ *relay.Relay, _ *record.Ring, m *telemetry.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.Write(w)
	})
	return guard(cfg.OperatorKeySHA256, cfg.OperatorKeySHA256 != "", mux)
}
