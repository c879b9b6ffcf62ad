package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// hookProtocol calls f each time that the header of a call is set.
type hookProtocol struct {
	fakeProtocol
	f func()
}

func (p hookProtocol) SetHeaders(http.Header, Run) { p.f() }

// Guards against counting the time before a request was sent as time that the endpoint ran it. A connection that is lost
// at once is then reported as a failure of the endpoint if connecting and the watch of the connection took 10 ms.
func TestResetAfterLongConnect(t *testing.T) {
	for name, c := range map[string]struct {
		connecting, running time.Duration
		want                slots.Outcome
		doubtful            bool
	}{
		"long connect": {2 * immediateLossLimit, 0, slots.Reset, true},
		"long run":     {0, 2 * immediateLossLimit, slots.Failed, false},
		"both":         {2 * immediateLossLimit, 2 * immediateLossLimit, slots.Failed, false},
		"neither":      {0, 0, slots.Reset, true},
	} {
		began := time.Now()
		var passed atomic.Int64
		restore := clock.SetNowForTest(func() time.Time { return began.Add(time.Duration(passed.Load())) })
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			passed.Add(int64(c.running))
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}))
		r := cellRelay(1)
		headers := 0
		r.protocol = hookProtocol{f: func() {
			if headers++; headers == 2 { // The first time is before the connection is opened.
				passed.Add(int64(c.connecting))
			}
		}}
		r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Address: srv.Listener.Addr().String()}})
		x := &exchange{r: r, req: httptest.NewRequest(http.MethodGet, "/", nil), service: &Service{Name: "s-0"}, region: "r", route: &Route{}, deadline: clock.Now().Add(20 * time.Second)}
		e, _ := r.plain.choose("s-0", "r", clock.Now(), nil)
		a := x.callPlain(context.Background(), e, nil, nil)
		if o := x.slotOutcome(context.Background(), &a); !a.reset || !a.sent || headers != 2 || o != c.want {
			t.Errorf("%s: expected a sent call that was reset, with outcome %d, got %d, %+v", name, c.want, o, a)
		}
		if doubtful := a.connLoss.unanswered && clock.Since(a.connLoss.sent) < immediateLossLimit; doubtful != c.doubtful {
			t.Errorf("%s: expected doubt about a crash %t, got %t", name, c.doubtful, doubtful)
		}
		srv.Close()
		restore()
	}
}
