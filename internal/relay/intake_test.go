package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// listedBoxes stands for a number of other boxes, and records what is published to them.
type listedBoxes struct {
	fakePeers
	names []string
	loads atomic.Int64
}

func newListedBoxes(n int) *listedBoxes {
	p := &listedBoxes{names: []string{"a"}}
	for i := 1; i < n; i++ {
		p.names = append(p.names, fmt.Sprint("box-", i))
	}
	return p
}

func (p *listedBoxes) Boxes(string) ([]string, int64) { return p.names, 1 }

func (p *listedBoxes) Publish(m overlay.Message) {
	if m.CallerLoad != nil {
		p.loads.Add(1)
	}
}

// intakeSite is a relay that listens, with a handler of its own behind the listener.
type intakeSite struct {
	r       *Relay
	address string
	// slow makes connects to endpoints look as slow as on a full link.
	slow         atomic.Bool
	read, unread atomic.Int64
}

func newIntakeSite(t *testing.T, peers Peers) *intakeSite {
	r := cellRelay(1)
	r.o.Peers = peers
	lis, err := r.ListenCallers("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &intakeSite{r: r, address: lis.Addr().String()}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	_ = srv.Listener.Close()
	srv.Listener = lis
	srv.Start()
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			took := 2 * time.Millisecond
			if s.slow.Load() {
				took = 150 * time.Millisecond
			}
			for i := range 3 {
				r.Delays().Connected(clock.Now(), fmt.Sprint("10.0.0.", i), took)
			}
			r.Tick(0)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return s
}

// call sends requests on new connections for a duration, and counts those that were read and those that were not.
func (s *intakeSite) call(t *testing.T, d time.Duration) {
	s.read.Store(0)
	s.unread.Store(0)
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(4 * time.Millisecond) {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}}
			resp, err := c.Get("http://" + s.address)
			if err != nil {
				s.unread.Add(1)
				return
			}
			defer resp.Body.Close()
			if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "ok" {
				t.Errorf("expected the answer of a request that was read, got %q, %v", b, err)
			}
			s.read.Add(1)
		})
	}
	wg.Wait()
}

// Guards against a box that reads what its link can't carry while it gets most connections, and against one that stays so
// when its link is free again.
func TestHotBoxBeyondItsLinkLeavesConnectionsUnread(t *testing.T) {
	peers := newListedBoxes(8)
	s := newIntakeSite(t, peers)
	s.call(t, time.Second)
	if n := s.unread.Load(); n > 0 {
		t.Errorf("expected all connections to be read, got %d unread", n)
	}
	s.slow.Store(true)
	s.call(t, 3*time.Second)
	if read, unread := s.read.Load(), s.unread.Load(); unread == 0 || read == 0 {
		t.Errorf("expected some connections to be read and some not, got %d and %d", read, unread)
	}
	if i := s.r.Intake(); !i.Hot || i.Limit == 0 || i.Unread == 0 || i.Link < overDelayForTest {
		t.Errorf("expected a hot box with a bound, got %+v", i)
	}
	if peers.loads.Load() == 0 {
		t.Error("expected the box to publish what it gets")
	}
	s.slow.Store(false)
	for end := time.Now().Add(20 * time.Second); s.r.Intake().Limit > 0; {
		if time.Now().After(end) {
			t.Fatalf("expected the bound to be lifted, got %+v", s.r.Intake())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// overDelayForTest is less than the delay of the link in these tests.
const overDelayForTest = 100 * time.Millisecond

// Guards against a box that leaves connections unread although the others get as many, so that nobody reads them.
func TestBoxThatIsNotHotReadsAll(t *testing.T) {
	peers := newListedBoxes(8)
	s := newIntakeSite(t, peers)
	for _, name := range peers.names[1:] {
		s.r.Receive(overlay.Message{Box: name, CallerLoad: &overlay.CallerLoad{PerSecond: 300}})
	}
	time.Sleep(200 * time.Millisecond) // The usual connect time is learned.
	s.slow.Store(true)
	s.call(t, 3*time.Second)
	if n := s.unread.Load(); n > 0 {
		t.Errorf("expected all connections to be read, got %d unread", n)
	}
}

// Guards against a box that takes its own full link for contention of a service.
func TestOwnDelayIsNoContention(t *testing.T) {
	s := newIntakeSite(t, newListedBoxes(8))
	time.Sleep(200 * time.Millisecond) // The usual connect time is learned.
	s.slow.Store(true)
	for !s.r.delaysOthers() {
		time.Sleep(10 * time.Millisecond)
	}
	x := &exchange{r: s.r, service: &Service{Name: "s-0"}, region: "r", route: &Route{}}
	k := x.place()
	for i := range 200 {
		took := 10 * time.Millisecond
		if i >= 100 {
			took = 200 * time.Millisecond
		}
		x.observeContention(&plainAnswer{good: true, took: took})
	}
	if yes, _ := s.r.contentions.contended(k, clock.Now()); yes {
		t.Error("expected no contention")
	}
}
