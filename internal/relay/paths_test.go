package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/lease"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// loadProtocol can ask engines for their load and order roles.
type loadProtocol struct{ fakeProtocol }

func (loadProtocol) LoadCall() Call                 { return Call{Method: http.MethodGet, Target: "/load"} }
func (loadProtocol) ParseLoad([]byte) (Load, error) { return Load{Role: decide.Prefill}, nil }
func (loadProtocol) SetRole(string, decide.EngineRole, string, int64, int64) (Call, http.Header) {
	return Call{Method: http.MethodPost, Target: "/order"}, http.Header{}
}

// publishingPeers records the loads that a box publishes.
type publishingPeers struct {
	fakePeers
	mu    sync.Mutex
	loads []overlay.Load
}

func (p *publishingPeers) Publish(m overlay.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Load != nil {
		p.loads = append(p.loads, *m.Load)
	}
}

func (p *publishingPeers) silences() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.loads {
		if l.Unresponsive {
			n++
		}
	}
	return n
}

// pathFixture is a relay with one engine, "e". Another box may reach the engine while this one does not.
type pathFixture struct {
	*Relay
	peers *publishingPeers
	// lost makes the network of this box refuse connections, and denies has the other box find the engine gone.
	lost, denies atomic.Bool
	engine       Endpoint
	// hangs makes the engine leave calls unanswered. asked counts the calls that reach the engine.
	hangs   atomic.Bool
	asked   atomic.Int64
	release chan struct{}
}

// pathResults are the results of the other box's connects.
type pathResults struct{}

func (pathResults) NoPath(string) bool                          { return false }
func (pathResults) Connected(string)                            {}
func (pathResults) ConnectFailed(string, time.Time, error) bool { return true }

func newPathFixture(t *testing.T) *pathFixture {
	t.Helper()
	f := &pathFixture{peers: &publishingPeers{}, release: make(chan struct{})}
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		f.asked.Add(1)
		if f.hangs.Load() {
			<-f.release
		}
	}))
	t.Cleanup(engine.Close)
	t.Cleanup(func() { close(f.release) })
	var d net.Dialer
	all := func(string) bool { return true }
	own := &tunnel.Server{Key: func() string { return "own" }, Listed: all, Results: pathResults{}, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if f.lost.Load() {
			addr = closedAddr
		}
		return d.DialContext(ctx, network, addr)
	}}
	other := &tunnel.Server{Key: func() string { return "k" }, Listed: all, Results: pathResults{}, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if f.denies.Load() {
			addr = closedAddr
		}
		return d.DialContext(ctx, network, addr)
	}}
	// The box's own network needs no key.
	ownServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Proxy-Authorization", "Bearer own")
		own.ServeHTTP(w, r)
	}))
	otherServer := httptest.NewServer(other)
	t.Cleanup(ownServer.Close)
	t.Cleanup(otherServer.Close)
	r, _ := loggedRelay(t, Options{Peers: f.peers, EndpointProxy: ownServer.Listener.Addr().String(), TunnelPeers: oneBox(otherServer.Listener.Addr().String())})
	r.protocol = loadProtocol{}
	f.Relay = r
	f.engine = Endpoint{ID: "e", Service: "s", Hall: "h", Role: decide.Decode, Address: engine.Listener.Addr().String()}
	r.SetEndpoints([]Endpoint{f.engine})
	return f
}

// closedAddr is an address at which nothing listens.
const closedAddr = "127.0.0.1:1"

// oneBox is another box at an address.
type oneBox string

func (b oneBox) Others() []reach.Box {
	return []reach.Box{{Name: "far", Hall: "h", Address: string(b)}}
}
func (b oneBox) Key() string { return "k" }

// Guards against other boxes that avoid a sound engine because this box has lost its path to it.
func TestSilenceBehindLostPathIsNotPublished(t *testing.T) {
	f := newPathFixture(t)
	f.lost.Store(true)
	f.pollLoad(context.Background(), f.engine)
	if len(f.peers.loads) != 1 || f.peers.silences() != 0 {
		t.Fatalf("expected the load, read through the other box, got %+v", f.peers.loads)
	}
	f.hangs.Store(true)
	f.pollLoad(context.Background(), f.engine)
	if f.peers.silences() != 0 {
		t.Error("expected no silence to be published while the path is lost")
	}
}

func TestSilentEngineIsPublished(t *testing.T) {
	f := newPathFixture(t)
	f.hangs.Store(true)
	f.pollLoad(context.Background(), f.engine)
	if f.peers.silences() != 1 {
		t.Error("expected the silence of an engine that takes connections and leaves a call unanswered")
	}
}

func TestEngineThatIsGoneIsPublishedOnceAnotherBoxAgrees(t *testing.T) {
	f := newPathFixture(t)
	f.lost.Store(true)
	f.denies.Store(true)
	f.pollLoad(context.Background(), f.engine)
	if f.peers.silences() != 1 {
		t.Error("expected the silence that another box confirms")
	}
}

// Guards against a request that counts as deadly because this box has lost its path to the endpoint.
func TestLostPathIsNoCrash(t *testing.T) {
	f := newPathFixture(t)
	f.lost.Store(true)
	if found, evidence := f.probe(f.engine, true); found != alive {
		t.Errorf("expected an engine that another box reaches to be alive, got %d %q", found, evidence)
	}
	f.hangs.Store(true)
	f.SetEndpoints(nil)
	if found, evidence := f.probe(f.engine, true); found == crashed {
		t.Errorf("expected no crash on the evidence of a lost path, got %q", evidence)
	}
}

func TestRefusedPortIsACrashOnceAnotherBoxAgrees(t *testing.T) {
	f := newPathFixture(t)
	f.lost.Store(true)
	f.denies.Store(true)
	if found, evidence := f.probe(f.engine, true); found != crashed || !strings.Contains(evidence, "refuses") {
		t.Errorf("expected a crash that another box confirms, got %d %q", found, evidence)
	}
}

// Guards against orders that an engine takes for those of another box.
func TestOrdersTakeNoOtherBox(t *testing.T) {
	f := newPathFixture(t)
	f.lost.Store(true)
	f.pollLoad(context.Background(), f.engine) // Leaves an idle tunnel.
	before := f.asked.Load()
	now := clock.Now()
	err := f.SetRole(context.Background(), "e", decide.Decode, lease.Lease{Fence: 1, Until: now.Add(time.Minute)})
	if err == nil || errors.Is(err, errRestarted) || f.asked.Load() != before {
		t.Errorf("expected no order without a direct path, got %v, %d calls", err, f.asked.Load()-before)
	}
}
