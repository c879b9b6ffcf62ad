package paths

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// fakePeers are other boxes.
type fakePeers struct {
	mu    sync.Mutex
	boxes []reach.Box
}

func (f *fakePeers) Others() []reach.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes
}
func (f *fakePeers) Key() string { return "k" }

// network is the direct path of a box. Each connect first passes through fail.
type network struct {
	fail     atomic.Pointer[func(ctx context.Context) error]
	attempts atomic.Int64
}

func (n *network) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.attempts.Add(1)
	if f := n.fail.Load(); f != nil {
		if err := (*f)(ctx); err != nil {
			return nil, err
		}
	}
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func (n *network) set(f func(ctx context.Context) error) { n.fail.Store(&f) }

func refuse(context.Context) error { return syscall.ECONNREFUSED }
func connects(context.Context) error {
	return nil
}
func hang(ctx context.Context) error {
	<-ctx.Done()
	return context.DeadlineExceeded
}

// site is a box with other boxes.
type site struct {
	d      *Dialer
	own    *network
	others []*network
	peers  *fakePeers
	target string
}

func newSite(t *testing.T, others int) *site {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	s := &site{own: &network{}, peers: &fakePeers{}, target: lis.Addr().String()}
	here := func(string) string { return "h" }
	for i := range others {
		n := &network{}
		other := New(Options{Hall: "h", HallOf: here})
		other.direct = n.dial
		srv := httptest.NewServer(&tunnel.Server{Dial: n.dial, Key: s.peers.Key, Listed: func(string) bool { return true }, Results: other})
		t.Cleanup(srv.Close)
		// An endpoint that answers makes what this box says credible.
		other.Table.Answered("other", time.Now().Add(time.Hour))
		s.others = append(s.others, n)
		s.peers.boxes = append(s.peers.boxes, reach.Box{Name: string(rune('a' + i)), Hall: "h", Address: srv.Listener.Addr().String()})
	}
	s.d = New(Options{Hall: "h", Peers: s.peers, HallOf: here})
	s.d.direct = s.own.dial
	return s
}

// expectVia dials the endpoint, expects a connection that works, and returns the box that carries it.
func (s *site) expectVia(t *testing.T, other bool) string {
	t.Helper()
	c, via, err := s.d.Dial(context.Background(), s.target)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if (via != "") != other {
		t.Errorf("expected another box to carry the connection: %t, got %q", other, via)
	}
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Error(err)
	}
	return via
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("expected %s", what)
		}
	}
}

func TestSoundPathAsksNobody(t *testing.T) {
	s := newSite(t, 2)
	for range 20 {
		s.expectVia(t, false)
	}
	if n := s.others[0].attempts.Load() + s.others[1].attempts.Load(); n != 0 {
		t.Errorf("expected no connect of another box, got %d", n)
	}
}

func TestRefusedPathGoesThroughAnotherBox(t *testing.T) {
	s := newSite(t, 2)
	s.own.set(refuse)
	s.expectVia(t, true)
	until(t, "the path to count as lost", func() bool { return s.d.PathLost(s.target) })
	before := s.own.attempts.Load()
	s.expectVia(t, true)
	if s.own.attempts.Load() != before {
		t.Error("expected no direct connect while the path is lost")
	}
}

func TestUnansweredPathGoesThroughAnotherBox(t *testing.T) {
	s := newSite(t, 1)
	s.own.set(hang)
	s.expectVia(t, true)
	until(t, "the path to count as lost", func() bool { return s.d.PathLost(s.target) })
}

// Guards against a slow connect that counts as a lost path.
func TestSlowPathIsNotLost(t *testing.T) {
	s := newSite(t, 1)
	s.own.set(func(context.Context) error {
		time.Sleep(250 * time.Millisecond)
		return nil
	})
	s.expectVia(t, true)
	time.Sleep(300 * time.Millisecond)
	if got := s.d.Table.State(s.target); got != reach.Direct {
		t.Errorf("expected the direct path, got %s", got)
	}
}

func TestEndpointThatIsGoneIsNoLostPath(t *testing.T) {
	s := newSite(t, 2)
	for _, n := range append(s.others, s.own) {
		n.set(refuse)
	}
	_, _, err := s.d.Dial(context.Background(), s.target)
	if !errors.Is(err, syscall.ECONNREFUSED) || !Confirmed(err) {
		t.Errorf("expected a refusal that other boxes confirm, got %v", err)
	}
	if s.d.PathLost(s.target) {
		t.Error("expected no lost path")
	}
	before := s.others[0].attempts.Load() + s.others[1].attempts.Load()
	for range 10 {
		_, _, _ = s.d.Dial(context.Background(), s.target)
	}
	if n := s.others[0].attempts.Load() + s.others[1].attempts.Load(); n != before {
		t.Errorf("expected no more connects of other boxes to an endpoint that is gone, got %d", n-before)
	}
}

// Guards against a finding of this box's path alone that passes for the state of the endpoint.
func TestBoxesThatCannotJudgeConfirmNothing(t *testing.T) {
	s := newSite(t, 2)
	s.own.set(refuse)
	s.peers.boxes[0].Address, s.peers.boxes[1].Address = "127.0.0.1:1", "127.0.0.1:1"
	_, _, err := s.d.Dial(context.Background(), s.target)
	if err == nil || Confirmed(err) || errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("expected an error that says nothing about the endpoint, got %v", err)
	}
}

func TestThirdBoxIsTried(t *testing.T) {
	s := newSite(t, 3)
	s.own.set(refuse)
	s.others[0].set(refuse)
	s.others[1].set(hang)
	for range 5 {
		if via := s.expectVia(t, true); via != "c" {
			t.Errorf("expected the only box with a path, got %s", via)
		}
	}
}

// A caller must not wait for connects when no path is left.
func TestAllPathsLostFailsAtOnce(t *testing.T) {
	s := newSite(t, 2)
	for _, n := range append(s.others, s.own) {
		n.set(hang)
	}
	_, _, err := s.d.Dial(context.Background(), s.target)
	if err == nil {
		t.Fatal("expected no connection")
	}
	before := s.own.attempts.Load()
	for range 20 {
		_, _, err = s.d.Dial(context.Background(), s.target)
		var known *Error
		if !errors.As(err, &known) || !known.Known {
			t.Errorf("expected a refusal at once, got %v", err)
		}
	}
	if n := s.own.attempts.Load(); n != before {
		t.Errorf("expected no connect for callers, got %d", n-before)
	}
}

func TestPathThatHealsIsUsedAgain(t *testing.T) {
	s := newSite(t, 1)
	s.own.set(refuse)
	s.expectVia(t, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.d.Run(ctx, func(string) bool { return true })
	c, via, err := s.d.Dial(ctx, s.target)
	if err != nil || via == "" {
		t.Fatal(via, err)
	}
	defer c.Close()
	if !s.d.Usable(s.target, via) {
		t.Error("expected the tunnel to be usable while the path is lost")
	}
	s.own.set(connects)
	until(t, "the direct path again", func() bool { return s.d.Table.State(s.target) == reach.Direct })
	if s.d.Usable(s.target, via) {
		t.Error("expected an idle tunnel not to be used once the direct path is back")
	}
	s.expectVia(t, false)
}

func TestUnreachableEndpointIsFoundThroughAnotherBox(t *testing.T) {
	s := newSite(t, 1)
	s.own.set(hang)
	s.others[0].set(hang)
	if _, _, err := s.d.Dial(context.Background(), s.target); err == nil {
		t.Fatal("expected no connection")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.d.Run(ctx, func(string) bool { return true })
	s.others[0].set(connects)
	until(t, "another box to reach it", func() bool { return s.d.PathLost(s.target) })
	s.expectVia(t, true)
}

// Guards against idle tunnels through a box that leaves, which would hold up its planned stop.
func TestTunnelThroughBoxThatLeavesIsNotUsable(t *testing.T) {
	s := newSite(t, 1)
	s.own.set(refuse)
	via := s.expectVia(t, true)
	until(t, "the path to count as lost", func() bool { return s.d.PathLost(s.target) })
	s.peers.mu.Lock()
	s.peers.boxes = nil
	s.peers.mu.Unlock()
	if s.d.Usable(s.target, via) {
		t.Error("expected the tunnel not to be usable")
	}
}

func TestBoxAloneConnectsDirectly(t *testing.T) {
	s := newSite(t, 0)
	s.d.o.Peers = nil
	s.own.set(refuse)
	for range 3 {
		if _, _, err := s.d.Dial(context.Background(), s.target); !errors.Is(err, syscall.ECONNREFUSED) || !Confirmed(err) {
			t.Errorf("expected the refusal, got %v", err)
		}
	}
	s.own.set(connects)
	s.expectVia(t, false)
}

func TestCallerThatLeavesEndsTheAttempts(t *testing.T) {
	s := newSite(t, 1)
	s.own.set(hang)
	s.others[0].set(hang)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := s.d.Dial(ctx, s.target); !errors.Is(err, context.Canceled) {
		t.Errorf("expected the caller's cancellation, got %v", err)
	}
}

// Guards against a box that can't judge while nothing else is asked of it.
func TestIdleBoxFindsOutWhetherItsOwnPathWorks(t *testing.T) {
	s := newSite(t, 0)
	s.d.Table.Answered(s.target, time.Now().Add(-time.Minute))
	if !s.d.ConnectFailed("127.0.0.1:1", time.Now(), syscall.ECONNREFUSED) {
		t.Error("expected a finding that counts, since another endpoint can be reached")
	}
	s.own.set(refuse)
	time.Sleep(400 * time.Millisecond) // The answer of a moment ago counts for 300 ms.
	if s.d.ConnectFailed("127.0.0.1:2", time.Now(), syscall.ECONNREFUSED) {
		t.Error("expected no finding of a box without a path")
	}
}
