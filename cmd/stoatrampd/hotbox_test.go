package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/box"
	"github.com/stoatramp/stoatramp/internal/cli"
	"github.com/stoatramp/stoatramp/platform/standin"
)

var (
	hotTimed   = flag.Bool("hot.timed", false, "run the tests with bounds in time, which need a machine without other load")
	hotBoxes   = flag.Int("hot.boxes", 0, "play the balancer that turns with so many boxes only")
	hotPlain   = flag.Float64("hot.plain", 0, "plain calls a second")
	hotStreams = flag.Float64("hot.streams", 0, "streams a second")
	hotLogs    = flag.String("hot.logs", "", "write the logs of the boxes to this folder")
)

// hotShare is the share of new connections that the balancer hands to the hot box.
const hotShare = 7.0 / 8

const (
	// hotSettleTime is how long after the balancer has turned a hot box may serve less than before.
	hotSettleTime = 3 * time.Second
	// hotPhase is how long the balancer keeps to one box.
	hotPhase = 7 * time.Second
	// hotServed is the least part of the seconds before that first attempts on the hot box must be served.
	hotServed = 0.95
)

const hotConfig = `{"version":1,"routes":[
{"name":"once","hostname":"h.example","pathPrefix":"/once/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"service":"desk","maxAttempts":2},
{"name":"stream","hostname":"h.example","pathPrefix":"/stream/","kind":"stream","timeoutMs":6000,"targetLatencyMs":900,"targetGapMs":300,"service":"llm","maxAttempts":2}],
"services":[{"name":"desk","maxConnections":60},{"name":"llm","engine":{"slots":64,"kvTokens":90000,"tokenKvBytes":100,"linkMbps":1000000,"handleTtlS":0.5,"holdMs":2000,"stride":10}}],
"limits":{"maxBodyBytes":10000}}`

// deskConns is the number of connections that a worker of the service "desk" accepts.
const deskConns = 60

// countedWorker is a worker of a plain service that records how many of its connections were open at once, and how many
// requests it ran at once since mostRunning was set to 0.
type countedWorker struct {
	*standin.Worker
	conns, most          atomic.Int64
	running, mostRunning atomic.Int64
}

func (w *countedWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		raise(&w.mostRunning, w.running.Add(1))
		defer w.running.Add(-1)
	}
	w.Worker.ServeHTTP(rw, r)
}

// raise sets a maximum to n if n is larger.
func raise(most *atomic.Int64, n int64) {
	for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
	}
}

func (w *countedWorker) Accept(lis *net.TCPListener) net.Listener { return countingListener{lis, w} }

type countingListener struct {
	*net.TCPListener
	w *countedWorker
}

func (l countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		n := l.w.conns.Add(1)
		raise(&l.w.most, n)
		if n <= deskConns {
			return &countingConn{TCPConn: c, w: l.w}, nil
		}
		l.w.conns.Add(-1)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

type countingConn struct {
	*net.TCPConn
	w    *countedWorker
	once sync.Once
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.w.conns.Add(-1) })
	return c.TCPConn.Close()
}

// hotSite is a set of boxes behind a balancer, before three workers of a plain service and five engines.
type hotSite struct {
	t        *testing.T
	boxes    []*box.RelayBox
	logs     []*logBuffer
	desk     []*countedWorker
	requests atomic.Int64
	// storeSilent makes the store leave all calls unanswered.
	storeSilent atomic.Bool
	// hot is the box that gets most new connections; -1 while the balancer spreads them evenly.
	hot atomic.Int64
	// stopped are the boxes that the test has stopped.
	stopped sync.Map
	// out are the boxes that say that they take no connections.
	out sync.Map

	mu    sync.Mutex
	calls []hotCall
}

// hotCall is what the first attempt of a request that a box has read got.
type hotCall struct {
	at     time.Time
	kind   string
	box    int
	served bool
	result string
}

func newHotSite(t *testing.T, boxes int) *hotSite {
	t.Helper()
	store := standin.NewStore()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &hotSite{t: t}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.storeSilent.Load() {
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	})}
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(func() { _ = srv.Close() })
	store.Put("op", "config", []byte(hotConfig), 0)
	s.hot.Store(-1)
	for i, stage := range []string{"", "", "", "prefill", "prefill", "decode", "decode", "decode"} {
		s.startWorker(i, stage, lis.Addr().String())
	}
	for n := range boxes {
		b, log := startTestBox(t, n, peerSettings, lis.Addr().String())
		s.boxes, s.logs = append(s.boxes, b), append(s.logs, log)
	}
	for n := range boxes {
		for _, path := range []string{"/once/a", "/stream/a"} {
			for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				if s.send(n, path) == "200" {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("box %d does not serve", n)
				}
			}
		}
	}
	return s
}

func (s *hotSite) startWorker(i int, stage, store string) {
	s.t.Helper()
	lis, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.t.Fatal(err)
	}
	o := standin.WorkerOptions{
		ID: fmt.Sprintf("i-%d", i), Service: "desk", Zone: "h", Stage: stage, Slots: 6, Queue: 24, WorkMS: 60,
		Address: lis.Addr().String(), Store: store, HeartbeatMS: 400,
	}
	if stage != "" {
		o.Service, o.Slots, o.Queue, o.KVTokens, o.StepMS, o.HandleMS = "llm", 64, 0, 90000, 2, 500
	}
	w := &countedWorker{Worker: standin.NewWorker(o)}
	srv := &http.Server{Handler: w}
	if stage == "" {
		s.desk = append(s.desk, w)
		go func() { _ = srv.Serve(w.Accept(lis)) }()
	} else {
		go func() { _ = srv.Serve(lis) }()
	}
	stop := make(chan struct{})
	go w.SendHeartbeats(stop)
	s.t.Cleanup(func() {
		close(stop)
		_ = srv.Close()
	})
}

// unread is the result of an attempt whose connection was refused, or closed with the request unread.
const unread = "unread"

// send sends a request to a box on a new connection, and returns the status or what went wrong.
func (s *hotSite) send(n int, path string) (result string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.boxes[n].Callers+path, strings.NewReader("question"))
	if err != nil {
		return err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", s.requests.Add(1)))
	r.Header.Set("X-Token-Usage", "100,50")
	began := time.Now()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Do(r)
	if err != nil {
		return unread
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	took := time.Since(began)
	switch {
	case err != nil:
		return "cut off"
	case resp.StatusCode != http.StatusOK:
		return fmt.Sprintf("%d %s", resp.StatusCode, reasonIn(string(b)))
	case path == "/once/a" && took > 300*time.Millisecond, took > 1500*time.Millisecond:
		return "late"
	}
	return "200"
}

// reasonIn returns the reason of a refusal.
func reasonIn(body string) string {
	_, rest, _ := strings.Cut(body, `"reason":"`)
	reason, _, _ := strings.Cut(rest, `"`)
	return reason
}

// pick selects the box for a new connection. tried are the boxes that left the request unread.
func (s *hotSite) pick(tried []int) int {
	var in []int
	for n := range s.boxes {
		if _, out := s.out.Load(n); !out && !slices.Contains(tried, n) {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return rand.IntN(len(s.boxes))
	}
	if hot := int(s.hot.Load()); len(tried) == 0 && slices.Contains(in, hot) && rand.Float64() < hotShare {
		return hot
	}
	return in[rand.IntN(len(in))]
}

// call sends one request through the balancer. An attempt that is not read is repeated at another box.
func (s *hotSite) call(kind, path string) {
	c := hotCall{at: time.Now(), kind: kind}
	var tried []int
	for range 4 {
		c.box = s.pick(tried)
		c.result = s.send(c.box, path)
		if c.result != unread {
			c.served = c.result == "200"
			break
		}
		tried = append(tried, c.box)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// load sends requests at a rate until stop is closed.
func (s *hotSite) load(kind, path string, perSecond float64, stop <-chan struct{}, wg *sync.WaitGroup) {
	began := time.Now()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(began.Add(time.Duration(float64(i) / perSecond * float64(time.Second))))):
			wg.Go(func() { s.call(kind, path) })
		}
	}
}

// watchReadiness keeps out up to date, as a balancer does.
func (s *hotSite) watchReadiness(stop <-chan struct{}) {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	failed := make([]int, len(s.boxes))
	for {
		for n, b := range s.boxes {
			resp, err := client.Get("http://" + b.Readiness + "/stoatramp/ready")
			if err == nil {
				_ = resp.Body.Close()
			}
			switch {
			case err == nil && resp.StatusCode == http.StatusOK:
				failed[n] = 0
				s.out.Delete(n)
			default:
				if failed[n]++; failed[n] >= 2 {
					s.out.Store(n, true)
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// served returns the share of first attempts that were read and served between two times, and how many were read.
// results counts the answers of those that were not served.
func (s *hotSite) served(kind string, from, to time.Time) (share float64, read int, results map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	results = map[string]int{}
	good := 0
	for _, c := range s.calls {
		if c.kind != kind || c.at.Before(from) || !c.at.Before(to) {
			continue
		}
		if c.result == unread {
			results[unread]++
			continue
		}
		read++
		if c.served {
			good++
		} else {
			results[c.result]++
		}
	}
	return float64(good) / float64(max(1, read)), read, results
}

// hotPhaseOf is a time in which the balancer handed most connections to one box, or to none.
type hotPhaseOf struct {
	name     string
	from, to time.Time
}

// play sends requests while the balancer spreads them evenly, and then hands most of them to box 0 and to box 1. turned is
// called with each hot box, when it has been hot for a second.
func (s *hotSite) play(plain, streams float64, turned func(hot int)) (phases []hotPhaseOf) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	go s.watchReadiness(stop)
	wg.Go(func() { s.load("plain", "/once/a", plain, stop, &wg) })
	wg.Go(func() { s.load("stream", "/stream/a", streams, stop, &wg) })
	time.Sleep(2 * time.Second) // The boxes have just started.
	began := time.Now()
	time.Sleep(4 * time.Second)
	phases = append(phases, hotPhaseOf{"even", began, time.Now()})
	for hot := range 2 {
		s.hot.Store(int64(hot))
		began := time.Now()
		time.Sleep(time.Second)
		turned(hot)
		time.Sleep(time.Until(began.Add(hotPhase)))
		phases = append(phases, hotPhaseOf{fmt.Sprint("box ", hot), began.Add(hotSettleTime), time.Now()})
	}
	close(stop)
	wg.Wait()
	s.writeLogs()
	return phases
}

// expectServed checks that in each phase the requests that were read are served as often as before, and that no worker had
// more connections than it accepts.
func (s *hotSite) expectServed(phases []hotPhaseOf) {
	s.t.Helper()
	for _, kind := range []string{"plain", "stream"} {
		before, _, _ := s.served(kind, phases[0].from, phases[0].to)
		for _, p := range phases {
			share, read, results := s.served(kind, p.from, p.to)
			s.t.Logf("%s, %s: %.3f of %d, others %v", p.name, kind, share, read, results)
			if share < hotServed*before {
				s.t.Errorf("%s: expected %s at %.2f of %.3f at least, got %.3f of %d; others %v", p.name, kind, hotServed, before, share, read, results)
			}
		}
	}
	s.expectBoundedConns()
}

func (s *hotSite) expectBoundedConns() {
	s.t.Helper()
	for i, w := range s.desk {
		if n := w.most.Load(); n > deskConns {
			s.t.Errorf("worker %d: expected at most %d connections, got %d", i, deskConns, n)
		}
	}
}

const (
	// idleCallers call the hot box one call after the other, and have the workers run idleRunning calls at once. The box's
	// part of the connections allows six.
	idleCallers = 18
	idleRunning = 12
)

// expectIdleWorkersUsed has callers call one box without pause, and expects that it uses the idle workers.
func (s *hotSite) expectIdleWorkersUsed(hot int) {
	s.t.Helper()
	for _, w := range s.desk {
		w.mostRunning.Store(0)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range idleCallers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.send(hot, "/once/a")
				}
			}
		})
	}
	running := func() (n int64) {
		for _, w := range s.desk {
			n += w.mostRunning.Load()
		}
		return n
	}
	for end := time.Now().Add(40 * time.Second); running() < idleRunning && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if n := running(); n < idleRunning {
		s.t.Errorf("box %d: expected the workers to run %d calls at once at least, got %d", hot, idleRunning, n)
	}
}

// Guards against a box with all the calls that uses its part of the endpoints' connections only, while they are idle; also when
// the owner of their slots stops, or the store is silent.
func TestHotBoxUsesIdleEndpoints(t *testing.T) {
	s := newHotSite(t, 24)
	s.expectIdleWorkersUsed(0)
	s.expectIdleWorkersUsed(1)
	owner := s.slotOwner()
	if owner < 0 {
		t.Fatal("expected a box that grants slots")
	}
	s.stopped.Store(owner, true)
	stopped := make(chan error, 1)
	go func() { stopped <- s.boxes[owner].Stop() }()
	hot := (owner + 1) % len(s.boxes)
	s.expectIdleWorkersUsed(hot)
	s.storeSilent.Store(true)
	s.expectIdleWorkersUsed((hot + 1) % len(s.boxes))
	s.storeSilent.Store(false)
	if err := <-stopped; err != nil {
		t.Errorf("expected the owner to stop as planned, got %v", err)
	}
	s.expectBoundedConns()
}

// Guards against a box that refuses or delays what it has read while the balancer hands it most new connections, although
// the endpoints are half idle.
func TestHotBoxServesWhatItReads(t *testing.T) {
	skipUnlessTimed(t)
	sizes := []struct {
		boxes          int
		plain, streams float64
	}{{8, 160, 8}, {24, 160, 8}}
	if *hotBoxes > 0 {
		sizes = sizes[:1]
		sizes[0].boxes = *hotBoxes
	}
	for _, c := range sizes {
		if *hotPlain > 0 {
			c.plain = *hotPlain
		}
		if *hotStreams > 0 {
			c.streams = *hotStreams
		}
		t.Run(fmt.Sprintf("%d boxes", c.boxes), func(t *testing.T) {
			s := newHotSite(t, c.boxes)
			s.expectServed(s.play(c.plain, c.streams, s.expectShownAsHot))
		})
	}
}

// expectShownAsHot checks that operators see which box is hot, and that one that never was isn't.
func (s *hotSite) expectShownAsHot(hot int) {
	for _, n := range []int{hot, 2} {
		var out bytes.Buffer
		if code := cli.Main([]string{"--box", "http://" + s.boxes[n].Operators, "--key", operatorKey, "status"}, &out, &out); code != 0 {
			s.t.Errorf("status: exit code %d: %s", code, out.String())
		}
		if n == hot {
			s.t.Logf("status of box %d:\n%.400s", n, out.String())
		}
		if shown := strings.Contains(out.String(), "HOT: "); shown != (n == hot) {
			s.t.Errorf("box %d of hot box %d: expected it to be shown as hot: %t, got\n%s", n, hot, n == hot, out.String())
		}
	}
}

// skipUnlessTimed leaves out a test with bounds in time, unless it is run by hand with the flag hot.timed.
func skipUnlessTimed(t *testing.T) {
	if !*hotTimed {
		t.Skip("needs -hot.timed and a machine without other load")
	}
}

// slotOwner returns a running box that grants slots of the service "desk"; -1 if there is none.
func (s *hotSite) slotOwner() int {
	for n, b := range s.boxes {
		if _, stopped := s.stopped.Load(n); !stopped && len(b.Relay.OwnedCells()) > 0 {
			return n
		}
	}
	return -1
}

// Guards against a hot box that depends on the owner of its endpoints' slots, or on the store, to serve what it reads.
func TestHotBoxServesWhileOwnerOrStoreFails(t *testing.T) {
	skipUnlessTimed(t)
	t.Run("owner stops", func(t *testing.T) {
		s := newHotSite(t, 24)
		s.expectServed(s.play(160, 8, func(hot int) {
			owner := s.slotOwner()
			t.Logf("box %d is hot, and box %d owns the slots", hot, owner)
			if owner < 0 || owner == hot {
				return
			}
			s.stopped.Store(owner, true)
			go func() { _ = s.boxes[owner].Stop() }()
		}))
	})
	t.Run("store is silent", func(t *testing.T) {
		s := newHotSite(t, 24)
		s.expectServed(s.play(160, 8, func(int) { s.storeSilent.Store(true) }))
	})
}

// writeLogs writes the log of each box to the folder of the flag hot.logs.
func (s *hotSite) writeLogs() {
	if *hotLogs == "" {
		return
	}
	for n, l := range s.logs {
		l.mu.Lock()
		if err := os.WriteFile(filepath.Join(*hotLogs, fmt.Sprintf("box-%d.log", n)), l.text.Bytes(), 0o600); err != nil {
			s.t.Error(err)
		}
		l.mu.Unlock()
	}
}
