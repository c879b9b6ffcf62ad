package box

import (
	"net/http"

	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// newTunnelServer returns the server of tunnels of this box: other boxes reach endpoints through it when their own paths
// are lost.
func (b *RelayBox) newTunnelServer() *tunnel.Server {
	s := &tunnel.Server{
		Dial: b.Relay.Paths().Direct, Key: b.node.Key, Listed: b.Relay.HasEndpointAt, Results: b.Relay.Paths(),
		OnEnd: func(cause tunnel.Cause, bytes int64) { b.Metrics.CountCarried(string(cause), bytes) },
	}
	b.Metrics.Set.NewGauge("stoatramp_tunnels_open", func() float64 { return float64(s.Open()) })
	return s
}

// peerHandler serves other boxes: their tunnels, and all other calls.
type peerHandler struct {
	tunnels *tunnel.Server
	calls   http.Handler
}

func (h peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if tunnel.Handles(r) {
		h.tunnels.ServeHTTP(w, r)
		return
	}
	h.calls.ServeHTTP(w, r)
}
