package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// signedProtocol takes each answer for the endpoint's own.
type signedProtocol struct{ fakeProtocol }

func (signedProtocol) ParseReply(*http.Response) Reply { return Reply{Signed: true} }

// Guards against an answer that is cut off on its way to the caller, because its request could have been repeated before.
func TestAnswerOnItsWayIsNotEnded(t *testing.T) {
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*bufferedAnswerBytes))
		_, _ = w.Write(make([]byte, bufferedAnswerBytes))
		w.(http.Flusher).Flush()
		<-done
	}))
	defer srv.Close()
	defer close(done)
	r := cellRelay(1)
	r.protocol = signedProtocol{}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Address: srv.Listener.Addr().String()}})
	x := &exchange{r: r, req: httptest.NewRequest(http.MethodGet, "/", nil), service: &Service{Name: "s-0"}, region: "r", route: &Route{}, deadline: clock.Now().Add(20 * time.Second)}
	e, _ := r.plain.choose("s-0", "r", clock.Now(), nil)
	a := x.callPlain(context.Background(), e, nil, func() bool { return true })
	defer a.drop()
	if n := r.callerPool.EndSilent(0, 1, func(string) bool { return true }); a.resp == nil || n != 0 {
		t.Errorf("expected an answer of which a part was read, and no end of its call, got %+v, %d calls ended", a, n)
	}
}
