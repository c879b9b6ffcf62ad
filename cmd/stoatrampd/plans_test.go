package main

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/platform/standin"
)

// planSite is a set of boxes in processes of their own, before engines of two builds.
type planSite struct {
	t       *testing.T
	store   *standin.Store
	address string
	engines []*planEngine
	boxes   []*boxProcess
	// started are all boxes, also those that were killed, in the order of their starts, with their numbers.
	started []startedBox
	mu      sync.Mutex // Protects boxes and started.
	// fronts are addresses of the store for single boxes, by the box's number.
	fronts map[int]string
	// pause is how long callers wait before they come back, and comeTo the box to which they come back; nil if it is the next.
	pause  time.Duration
	comeTo func(box int) int
	// keyOf returns the API key of a caller's attempt; nil if callers have none. The first attempt that takes the stream up is
	// attempt 1.
	keyOf func(try int) string
}

type startedBox struct {
	n int
	*boxProcess
}

// planEngine is an engine with the means to take it off the list while it runs on.
type planEngine struct {
	*standin.Worker
	options standin.WorkerOptions
	unlist  func()
}

const planConfig = `{"version":1,"routes":[
{"name":"resumed","hostname":"h.example","pathPrefix":"/resumed/","kind":"stream","resumable":true,"timeoutMs":20000,"targetLatencyMs":900,"targetGapMs":300,"service":"llm","maxAttempts":2}],
"services":[{"name":"llm","engine":{"slots":64,"kvTokens":200000,"tokenKvBytes":100,"linkMbps":1000000,"handleTtlS":0.5,"holdMs":2000,"stride":10}}],
"limits":{"maxBodyBytes":10000}}`

// newPlanSite starts boxes before two prefill engines and three decode engines of each of two builds.
func newPlanSite(t *testing.T, boxes int) *planSite { return newMixedSite(t, boxes, 0) }

// newMixedSite has the first boxes run the program of an earlier release.
func newMixedSite(t *testing.T, boxes, earlierBoxes int) *planSite {
	t.Helper()
	s := newPlanStore(t)
	for i := range 8 {
		s.addEngine(i, fmt.Sprintf("v%d", 1+i%2))
	}
	s.launchBoxes(boxes, earlierBoxes)
	return s
}

// planSites bounds the sites at the same time. Boxes and engines that get no processor time serve nothing.
var planSites = make(chan struct{}, 2)

// newPlanStore has a store alone, without engines and boxes.
func newPlanStore(t *testing.T) *planSite {
	planSites <- struct{}{}
	t.Cleanup(func() { <-planSites })
	s := &planSite{t: t, store: standin.NewStore(), pause: planPause, fronts: map[int]string{}}
	s.comeTo = func(box int) int { return (box + 1) % len(s.boxes) }
	s.address = serveHTTP(s.t, s.store)
	s.store.Put("op", "config", []byte(planConfig), 0)
	return s
}

// launchBoxes starts boxes, the first of them with the program of an earlier release, and waits until they are ready.
func (s *planSite) launchBoxes(boxes, earlierBoxes int) {
	s.t.Helper()
	for n := range boxes {
		b := (*boxProcess)(nil)
		if n < earlierBoxes {
			b = launch(s.t, s.settings(n), *earlierBox, "relay")
		} else {
			b = launchBox(s.t, s.settings(n))
		}
		s.boxes, s.started = append(s.boxes, b), append(s.started, startedBox{n, b})
	}
	for _, b := range s.boxes {
		b.awaitReady()
	}
}

func (s *planSite) settings(n int) string {
	return fmt.Sprintf(boxSettings, n, config.KeyDigest(operatorKey), peerSettings, cmp.Or(s.fronts[n], s.address))
}

// addEngine starts engine i. The first two are prefill engines.
func (s *planSite) addEngine(i int, version string) {
	h := &lateHandler{}
	o := standin.WorkerOptions{
		ID: fmt.Sprintf("i-%d", i), Service: "llm", Zone: "h", Stage: "decode", Slots: 64, KVTokens: 200000, Version: version,
		WorkMS: 5, StepMS: 50, HandleMS: 500, Store: s.address, HeartbeatMS: 150, Address: serveHTTP(s.t, h),
	}
	if i < 2 {
		o.Stage = "prefill"
	}
	w := standin.NewWorker(o)
	h.Handler = w
	stop := make(chan struct{})
	unlist := sync.OnceFunc(func() { close(stop) })
	s.t.Cleanup(unlist)
	go w.SendHeartbeats(stop)
	s.engines = append(s.engines, &planEngine{w, o, unlist})
}

// planStream is a stream over all attempts of its caller.
type planStream struct {
	id     string
	events int
	// attempts are the IDs of the attempts that brought events, and tries those of all.
	attempts, tries []string
	// takenUp is set once the caller has taken the stream up, and whole once it has all events.
	takenUp, whole bool
	// refusals are the answers to attempts that were not served.
	refusals []string
}

const (
	// planTokens is the length of a stream: 100 events, 5 s.
	planTokens = 1000
	// planPatience is how long a caller comes back.
	planPatience = 14 * time.Second
	planPause    = 300 * time.Millisecond
)

// follow begins a stream at a box, and takes it up at the next one whenever it breaks off.
func (s *planSite) follow(id string, box int) *planStream {
	p := &planStream{id: id}
	origin := ""
	for end, try := time.Now().Add(planPatience), 0; time.Now().Before(end); try++ {
		attempt := fmt.Sprintf("%s-%d", id, try)
		before := p.events
		p.tries = append(p.tries, attempt)
		p.takenUp = p.takenUp || origin != ""
		key := ""
		if s.keyOf != nil {
			key = s.keyOf(try)
		}
		p.whole = s.attempt(p, attempt, origin, key, box, time.Until(end))
		if origin == "" && p.events > before {
			origin = attempt
		}
		if p.events > before {
			p.attempts = append(p.attempts, attempt)
		}
		if p.whole {
			break
		}
		box = s.comeTo(box)
		time.Sleep(s.pause)
	}
	return p
}

// attempt makes one attempt for a stream, and reports whether the stream is whole then.
func (s *planSite) attempt(p *planStream, id, origin, key string, box int, left time.Duration) bool {
	s.mu.Lock()
	callers := s.boxes[box].Callers
	s.mu.Unlock()
	c, err := net.DialTimeout("tcp", callers, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left))
	fmt.Fprintf(c, "POST /resumed/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Token-Usage: 100,%d\r\nContent-Length: 1\r\n", id, left.Milliseconds(), planTokens)
	if key != "" {
		fmt.Fprintf(c, "X-Key: %s\r\n", key)
	}
	if origin != "" {
		fmt.Fprintf(c, "Last-Event-Id: %d\r\nResumes: %s\r\n", p.events, origin)
	}
	fmt.Fprint(c, "\r\n!")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		p.refusals = append(p.refusals, fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(b))))
		return false
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if lines.Text() == fmt.Sprintf("id: %d", p.events+1) {
			p.events++
		}
	}
	return p.events == standin.EventsOf(planTokens)
}

// followMany follows n streams, from all boxes in turn.
func (s *planSite) followMany(prefix string, n int) (wait func() []*planStream) {
	return s.followManyFrom(prefix, n, func(i int) int { return i % len(s.boxes) })
}

// followManyFrom follows n streams, each from the box that from returns for its number.
func (s *planSite) followManyFrom(prefix string, n int, from func(i int) int) (wait func() []*planStream) {
	out := make([]*planStream, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = s.follow(fmt.Sprintf("%s%d", prefix, i), from(i)) })
		time.Sleep(10 * time.Millisecond)
	}
	return func() []*planStream {
		wg.Wait()
		return out
	}
}

// killBoxes kills the first n boxes at once, and starts them again after meanwhile returns.
func (s *planSite) killBoxes(n int, meanwhile func()) {
	s.t.Helper()
	var wg sync.WaitGroup
	for _, b := range s.boxes[:n] {
		wg.Go(b.kill)
	}
	wg.Wait()
	meanwhile()
	for i := range n {
		b := launchBox(s.t, s.settings(i))
		s.mu.Lock()
		s.boxes[i], s.started = b, append(s.started, startedBox{i, b})
		s.mu.Unlock()
	}
}

// buildsOf returns the builds of the engines that ran the attempts that brought events, by the stream's ID.
func (s *planSite) buildsOf(streams []*planStream) map[string]map[string]bool {
	byAttempt := map[string][]string{}
	for _, e := range s.engines {
		for _, r := range e.State().Runs {
			byAttempt[r.ID] = append(byAttempt[r.ID], e.options.Version)
		}
	}
	out := map[string]map[string]bool{}
	for _, p := range streams {
		out[p.id] = map[string]bool{}
		for _, attempt := range p.attempts {
			for _, build := range byAttempt[attempt] {
				out[p.id][build] = true
			}
		}
	}
	return out
}

// expectPlanned expects that no stream has events of two builds, and that of those taken up at least the given part is whole.
func (s *planSite) expectPlanned(streams []*planStream, part float64) {
	s.t.Helper()
	ran := s.buildsOf(streams)
	takenUp, whole, shown := 0, 0, 0
	for _, p := range streams {
		if len(ran[p.id]) > 1 {
			s.t.Errorf("stream %s has events of %v", p.id, ran[p.id])
		}
		if !p.takenUp {
			continue
		}
		takenUp++
		if p.whole {
			whole++
		} else if shown++; shown <= 5 {
			s.t.Logf("stream %s of %v ended after %d events: %v", p.id, ran[p.id], p.events, p.refusals)
		}
	}
	s.t.Logf("%d of %d streams that were taken up are whole", whole, takenUp)
	if s.t.Failed() || takenUp == 0 || float64(whole) < part*float64(takenUp) {
		s.logPlans()
	}
	if takenUp == 0 || float64(whole) < part*float64(takenUp) {
		s.t.Errorf("expected %.2f of %d streams that were taken up to be whole, got %d", part, takenUp, whole)
	}
}

// logPlans shows the plans that the boxes had in force.
func (s *planSite) logPlans() {
	for n, b := range s.boxes {
		b.log.mu.Lock()
		for line := range strings.Lines(b.log.text.String()) {
			if strings.Contains(line, "build plan") {
				s.t.Logf("box %d: %s", n, strings.TrimSpace(line))
			}
		}
		b.log.mu.Unlock()
	}
}

// wholeShare returns the share of streams that are whole.
func wholeShare(list []*planStream) float64 {
	n := 0
	for _, p := range list {
		if p.whole {
			n++
		}
	}
	return float64(n) / float64(len(list))
}

// Guards against boxes that do not know at which build a stream began, because all boxes that knew were killed.
func TestStreamsGoOnAfterMostBoxesWereKilled(t *testing.T) {
	for _, killed := range []int{6, 7, 8} {
		for name, fault := range map[string]func(s *planSite){
			"": func(*planSite) {},
			"store silent": func(s *planSite) {
				s.store.SetFault(standin.StoreFault{Down: "silent"})
				time.AfterFunc(3*time.Second, func() { s.store.SetFault(standin.StoreFault{}) })
			},
			"older store": func(s *planSite) {
				s.store.SetFault(standin.StoreFault{Down: "reset"})
				s.store.Restore(standin.RestoreRequest{AgeMS: 1000})
				s.store.SetFault(standin.StoreFault{})
			},
		} {
			t.Run(fmt.Sprint(killed, " of 8 ", name), func(t *testing.T) {
				t.Parallel()
				s := newPlanSite(t, 8)
				time.Sleep(2 * time.Second) // The boxes find each other.
				streams := s.followMany("a", 48)
				time.Sleep(time.Second)
				s.killBoxes(killed, func() { fault(s); time.Sleep(time.Second) })
				fresh := s.followMany("b", 24)
				taken, begun := streams(), wholeShare(fresh())
				t.Logf("%.2f of the streams that began after the kill are whole", begun)
				s.expectPlanned(taken, 0.9*begun)
			})
		}
	}
}

// Guards against streams that go on at another build after a release whose last engines of the old build left the list just as
// all boxes were killed.
func TestReleaseBeforeAllBoxesAreKilledMixesNoBuilds(t *testing.T) {
	t.Parallel()
	s := newPlanSite(t, 8)
	time.Sleep(2 * time.Second)
	streams := s.followMany("a", 48)
	time.Sleep(time.Second)
	for _, e := range s.engines[2:] {
		if e.options.Version == "v1" {
			e.unlist() // It runs on.
			s.store.Drop("servers", e.options.ID)
		}
	}
	s.killBoxes(8, func() { time.Sleep(500 * time.Millisecond) })
	list := streams()
	ran := s.buildsOf(list)
	var ofNew []*planStream
	for _, p := range list {
		if ran[p.id]["v2"] {
			ofNew = append(ofNew, p)
		}
	}
	s.expectPlanned(list, 0)
	s.expectPlanned(ofNew, 0.9)
}

// Guards against streams whose origin two plans name differently, because all boxes were killed soon after a build was added.
func TestStreamsGoOnAfterABuildWasAddedAndAllBoxesWereKilled(t *testing.T) {
	t.Parallel()
	s := newPlanSite(t, 8)
	time.Sleep(2 * time.Second)
	for i := range 3 {
		s.addEngine(8+i, "v3")
	}
	time.Sleep(4 * time.Second)
	streams := s.followMany("a", 48)
	time.Sleep(time.Second)
	s.killBoxes(8, func() { time.Sleep(time.Second) })
	fresh := s.followMany("b", 24)
	list, later := streams(), fresh()
	s.expectPlanned(list, 0.9*wholeShare(later))
	ofAdded := 0
	for _, builds := range s.buildsOf(append(list, later...)) {
		if builds["v3"] {
			ofAdded++
		}
	}
	if ofAdded < 10 {
		t.Errorf("expected that a third of the streams begin at the added build, got %d", ofAdded)
	}
}

// earlierBox names a stoatrampd of an earlier release. Tests beside its boxes are run by hand.
var earlierBox = flag.String("earlier.box", "", "a stoatrampd of an earlier release, for tests that mix it with this one")

// Guards against a guess of where a stream began while boxes of an earlier release, which know no plans, begin some.
func TestBoxesOfAnEarlierReleaseMixNoBuilds(t *testing.T) {
	if *earlierBox == "" {
		t.Skip("run by hand, with -args -earlier.box=PROGRAM")
	}
	s := newMixedSite(t, 8, 4)
	time.Sleep(2 * time.Second)
	streams := s.followMany("a", 48)
	time.Sleep(time.Second)
	s.killBoxes(8, func() { time.Sleep(time.Second) }) // All come back as this release.
	fresh := s.followMany("b", 24)
	list, begun := streams(), wholeShare(fresh())
	s.expectPlanned(list, 0.9*begun)
}
