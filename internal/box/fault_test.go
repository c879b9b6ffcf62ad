package box

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/standin"
)

const repeatableHeader = "Stoatramp-Repeatable"

func (g *rig) failPrefill(f standin.Fault) {
	f.Call = standin.AtPrefill
	standin.InjectFault(f, g.site.Prefills...)
}

func (g *rig) failDecode(f standin.Fault) {
	f.Call = standin.AtDecode
	standin.InjectFault(f, g.site.Decodes...)
}

// calls returns two sums over all engines: calls by kind, and freed reservations by reason.
func (g *rig) calls() (s standin.EngineCounts) {
	s.Freed = map[string]int{}
	for _, e := range append(g.site.Prefills, g.site.Decodes...) {
		seen := e.Counts()
		s.Prefills += seen.Prefills
		s.Decodes += seen.Decodes
		s.Aborts += seen.Aborts
		s.Resumes += seen.Resumes
		for why, n := range seen.Freed {
			s.Freed[why] += n
		}
	}
	return s
}

// logReply logs what the caller and the engines saw; go test -v shows it.
func (g *rig) logReply(v reply) {
	n := g.calls()
	g.t.Logf("caller: status %d, %d words, end mark %v, broken %v, %s %s; engines: %d prefills, %d decodes, %d resumes, %d aborts; memory freed: %v",
		v.status, strings.Count(v.text, " "), v.done, v.broken, v.reason, v.run, n.Prefills, n.Decodes, n.Resumes, n.Aborts, n.Freed)
}

// expectSurvives injects a fault at the prefill or the decode step of a request. It expects the caller to receive
// the whole answer. Unless the reason is OK, it expects a retry to be counted under that reason.
func expectSurvives(t *testing.T, atDecode bool, f standin.Fault, retry outcome.Reason) {
	t.Helper()
	t.Parallel()
	g := newRig(t, smallSite())
	if atDecode {
		g.failDecode(f)
	} else {
		g.failPrefill(f)
	}
	v := g.stream("a short question", 30)
	g.expectWhole(v, "a short question", 30)
	g.logReply(v)
	if retry != outcome.OK && g.box.Metrics.RetryCount(retry) == 0 {
		t.Errorf("expected a retry counted as %s", retry)
	}
	g.expectIdle()
}

// expectOnce injects a fault into a request that is not repeatable. It expects a refusal with the given status and
// reason. No engine may run the request a second time.
func expectOnce(t *testing.T, atDecode bool, f standin.Fault, status int, reason outcome.Reason) {
	t.Helper()
	t.Parallel()
	o := smallSite()
	o.Route = "first_token = 2s\nbetween_tokens = 1s"
	g := newRig(t, o)
	if atDecode {
		g.failDecode(f)
	} else {
		g.failPrefill(f)
	}
	v := g.stream("certify unit 7", 30, repeatableHeader, "no")
	g.expectRefused(v, status, reason, "may_have_run")
	g.logReply(v)
	if n := g.calls(); n.Prefills != 1 || n.Decodes > 1 {
		t.Errorf("expected one run, engines saw %+v", n)
	}
	g.expectIdle()
}

func TestPrefillRefused(t *testing.T) {
	expectSurvives(t, false, standin.Fault{Kind: standin.Refuse}, outcome.EndpointRefused)
}
func TestPrefillDropped(t *testing.T) {
	expectSurvives(t, false, standin.Fault{Kind: standin.DropAfterRead}, outcome.EndpointLost)
}
func TestPrefillDroppedAfterRun(t *testing.T) {
	expectSurvives(t, false, standin.Fault{Kind: standin.DropAfterRun}, outcome.EndpointLost)
}
func TestPrefillCrossed(t *testing.T) {
	expectSurvives(t, false, standin.Fault{Kind: standin.AnswerOfOther}, outcome.WrongAnswer)
}
func TestPrefillStalled(t *testing.T) {
	expectSurvives(t, false, standin.Fault{Kind: standin.Stall, For: time.Minute}, outcome.PrefillStalled)
}
func TestPrefillExpired(t *testing.T) {
	expectSurvives(t, false, standin.Fault{Kind: standin.ExpireAtOnce}, outcome.PrefillExpired)
}
func TestDecodeRefused(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.Refuse}, outcome.EndpointRefused)
}
func TestDecodeDropped(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.DropAfterRead}, outcome.EndpointLost)
}
func TestTransferStalled(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.Stall, For: time.Minute}, outcome.TransferStalled)
}
func TestChunkCrossed(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.AnswerOfOther, After: 7}, outcome.OK)
}
func TestChunkRepeated(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.Repeat, After: 7}, outcome.OK)
}
func TestChunkLost(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.Skip, After: 7}, outcome.Truncated)
}
func TestStreamTruncated(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.Truncate, After: 7}, outcome.Truncated)
}
func TestStreamDropped(t *testing.T) {
	expectSurvives(t, true, standin.Fault{Kind: standin.DropMidway, After: 7}, outcome.EndpointLost)
}
func TestOncePrefillDropped(t *testing.T) {
	expectOnce(t, false, standin.Fault{Kind: standin.DropAfterRead}, 502, outcome.EndpointLost)
}
func TestOncePrefillCrossed(t *testing.T) {
	expectOnce(t, false, standin.Fault{Kind: standin.AnswerOfOther}, 502, outcome.WrongAnswer)
}
func TestOnceDecodeDropped(t *testing.T) {
	expectOnce(t, true, standin.Fault{Kind: standin.DropAfterRead}, 502, outcome.EndpointLost)
}
func TestOnceTransferStalled(t *testing.T) {
	expectOnce(t, true, standin.Fault{Kind: standin.Stall, For: time.Minute}, 504, outcome.TransferStalled)
}

// A request that is not repeatable is still retried on another engine if the first engine refuses it. The refusal says
// that the first engine did not run the request.
func TestOnceRefusedGoesOn(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	g.failPrefill(standin.Fault{Kind: standin.Refuse})
	g.expectWhole(g.stream("certify unit 8", 10, repeatableHeader, "no"), "certify unit 8", 10)
}

func TestDeadPrefillsMeanNotRun(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	g.site.Crash("prefill-1")
	g.site.Crash("prefill-2")
	v := g.stream("anyone there?", 10)
	g.expectRefused(v, 502, outcome.ConnectFailed, "not_run")
}

// All decode engines die while a stream runs, so no engine is left to resume it. The caller must be able to see
// that its answer is incomplete.
func TestDecodeDies(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	go func() {
		// Wait for the first token too. An engine reserves memory before its first token. A caller that has
		// received no token yet would be refused instead of cut off.
		g.eventually("tokens flow", func() bool { return holdMemory(g.site.Decodes) && g.firstTokenSeen() })
		for _, e := range g.site.Decodes {
			g.site.Crash(e.Name)
		}
	}()
	v := g.stream("tell me a story", 400)
	g.logReply(v)
	if v.done || !v.broken || v.reason != outcome.EndpointLost.String() || v.run != "may_have_run" {
		t.Errorf("expected a stream that is visibly incomplete, got %+v", v)
	}
}

func TestDecodeGoesSilent(t *testing.T) {
	t.Parallel()
	o := smallSite()
	o.Route = "first_token = 20s\nbetween_tokens = 10ms"
	g := newRig(t, o)
	g.failDecode(standin.Fault{Kind: standin.StopGenerating, After: 5})
	v := g.stream("tell me a story", 400)
	g.logReply(v)
	if v.done || !v.broken || v.reason != outcome.DecodeSilent.String() {
		t.Errorf("expected a stream cut off as silent, got %+v", v)
	}
	g.expectIdle()
}

// Each of many concurrent callers gets the whole answer to its own request.
func TestManyStreams(t *testing.T) {
	t.Parallel()
	o := smallSite()
	// The limits are long, because this test also counts late answers. A slow machine must not cause refusals.
	o.Model.Expiry, o.Route = time.Hour, "first_token = 600s\nbetween_tokens = 1s"
	g := newRig(t, o)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			prompt := fmt.Sprintf("question %d", i)
			g.expectWhole(g.stream(prompt, 20), prompt, 20)
		})
	}
	wg.Wait()
	g.expectIdle()
}

// expectCancelFrees cancels a request once reached reports that the request is at the wanted stage. The engines must
// then free all memory, although their reservations would last an hour.
func expectCancelFrees(t *testing.T, o demo.Options, prompt string, fault func(*rig), reached func(*rig) bool) {
	t.Helper()
	t.Parallel()
	o.Model.Expiry = time.Hour
	g := newRig(t, o)
	if fault != nil {
		fault(g)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := g.post(ctx, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":2000,"stream":true}`, demo.Model, prompt))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
	g.eventually("the request reaches the stage", func() bool { return reached(g) })
	cancel()
	<-ended
	g.eventually("the box is done with it", func() bool { return g.box.Gateway.Running() == 0 })
	g.expectIdle()
	g.logReply(reply{})
}

// firstTokenSeen reports whether the box has received the first token of exactly one caller's answer.
func (g *rig) firstTokenSeen() bool {
	var text bytes.Buffer
	g.box.Metrics.Set.WritePrometheus(&text)
	return countsOneFirstToken(text.String())
}

func countsOneFirstToken(metrics string) bool {
	return slices.Contains(strings.Split(metrics, "\n"), "stoatramp_first_token_seconds_count 1")
}

// Guards against a check that takes any count that begins with 1 for one answer.
func TestCountsOneFirstToken(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "stoatramp_first_token_seconds_count 0\n": false, "stoatramp_first_token_seconds_count 1\n": true,
		"a 1\nstoatramp_first_token_seconds_count 1\nb 2\n": true, "stoatramp_first_token_seconds_count 10\n": false,
		"stoatramp_first_token_seconds_count 19\n": false, "other_stoatramp_first_token_seconds_count 1\n": false,
	} {
		if got := countsOneFirstToken(text); got != want {
			t.Errorf("%q: expected %t, got %t", text, want, got)
		}
	}
}

func holdMemory(engines []*standin.Engine) bool {
	for _, e := range engines {
		if r, n := e.Reserved(); r > 0 || n > 0 {
			return true
		}
	}
	return false
}

func TestCancelWhilePrefilling(t *testing.T) {
	expectCancelFrees(t, smallSite(), strings.Repeat("long log ", 10000), nil, func(g *rig) bool { return g.calls().Prefills >= 1 })
}

func TestCancelWhileTransferring(t *testing.T) {
	stall := func(g *rig) { g.failDecode(standin.Fault{Kind: standin.Stall, For: time.Minute, Times: 100}) }
	expectCancelFrees(t, smallSite(), "short", stall, func(g *rig) bool { return g.calls().Decodes >= 1 })
}

func TestCancelWhileStreaming(t *testing.T) {
	expectCancelFrees(t, smallSite(), "short", nil, func(g *rig) bool { return holdMemory(g.site.Decodes) })
}

func TestCancelWhileWaiting(t *testing.T) {
	o := smallSite()
	o.Model.KVTokens = 2600 // Enough memory for one request of 2,000 tokens on each engine.
	busy := func(g *rig) {
		for range 3 {
			ctx, cancel := context.WithCancel(context.Background())
			g.t.Cleanup(cancel)
			go func() {
				resp, err := g.post(ctx, "/v1/completions", `{"model":"verdict-lm","prompt":"busy","max_tokens":2000}`)
				if err == nil {
					resp.Body.Close()
				}
			}()
			time.AfterFunc(1500*time.Millisecond, cancel)
		}
		g.eventually("all engines are full", func() bool { return g.box.Gateway.Running() == 3 })
	}
	expectCancelFrees(t, o, "waits", busy, func(g *rig) bool {
		_, waiting, _ := g.box.Gateway.Engines()
		return waiting == 1
	})
}

func TestDrainCutsOffNothing(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			prompt := fmt.Sprintf("slow %d", i)
			g.expectWhole(g.stream(prompt, 100), prompt, 100)
		})
	}
	g.eventually("all requests run", func() bool { return g.calls().Decodes >= 20 })
	go func() { _ = g.box.Stop() }()
	g.eventually("it is not ready", func() bool { return !g.box.Gateway.Ready() })
	g.expectRefused(g.stream("too late", 5), 503, outcome.Draining, "not_run")
	wg.Wait()
	if err := <-g.done; err != nil {
		t.Errorf("expected a clean end, got %v", err)
	}
	g.done <- nil
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	leaver := g.site.Decodes[0]
	leaver.SetLeaving(true)
	g.eventually("the box knows", func() bool {
		engines, _, _ := g.box.Gateway.Engines()
		for _, e := range engines {
			if e.Name == leaver.Name {
				return e.State == "leaving"
			}
		}
		return false
	})
	before := leaver.Counts().Decodes
	for i := range 20 {
		prompt := fmt.Sprintf("q %d", i)
		g.expectWhole(g.stream(prompt, 2), prompt, 2)
	}
	if n := leaver.Counts().Decodes - before; n != 0 {
		t.Errorf("expected no new work on a leaving engine, it got %d requests", n)
	}
}

// Go's HTTP client retries some requests by itself when an idle connection breaks. Some calls of a service are not
// repeatable. Such a call must still reach the service only once.
func TestServiceCalledOnce(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	for _, c := range []struct {
		method, body, key string
	}{{"POST", "book bench 4", "k1"}, {"POST", "", "k2"}, {"PUT", "book bench 4", ""}, {"DELETE", "", "k3"}} {
		// The first call leaves an idle connection behind, if the box keeps idle connections at all.
		g.callService(c.method, "/bookings/warm", c.body, "")
		g.site.Service.DropNext(1)
		path := "/bookings/" + c.method + c.key
		v := g.callService(c.method, path, c.body, c.key)
		g.expectRefused(v, 502, outcome.EndpointLost, "may_have_run")
		n := 0
		for _, call := range g.site.Service.Calls() {
			if call == c.method+" "+path {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%s with key %q: expected one call, the service saw %d", c.method, c.key, n)
		}
	}
}

// Guards against a response that ends with its connection and gets a length or chunks on its way.
func TestServiceResponseWithoutLengthGetsNone(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	for unframed, want := range map[bool]h1.Framing{true: h1.CloseDelimited, false: h1.FramedByLength} {
		g.site.Service.SetUnframed(unframed)
		req, err := http.NewRequest(http.MethodGet, "http://"+g.box.Callers+"/bookings/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+demo.ClientKey)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if got := h1.FramingOf(resp); got != want {
			t.Errorf("without a length %t: expected framing %q, got %q", unframed, want, got)
		}
	}
}

func (g *rig) callService(method, path, body, key string) reply {
	g.t.Helper()
	req, err := http.NewRequest(method, "http://"+g.box.Callers+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.ClientKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	return readReply(resp)
}

func TestServiceReadIsRepeated(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	second, err := standin.Listen(g.site.Service)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	g.reconfigure(g.site.Shared + fmt.Sprintf("\n[endpoint bookings-2]\nservice = bookings\naddress = %s\nregion = perth\nhall = bentley-hall\n", second.Addr))
	g.site.Service.DropNext(1)
	if v := g.callService("GET", "/bookings/4", "", ""); v.status != 200 {
		t.Errorf("expected a read to be tried on the other endpoint, got %+v", v)
	}
}

// Two requests with the same idempotency key run only once. The second request is refused with the correct reason.
func TestKeyRunsOnce(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	g.expectWhole(g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", "k"), "certify", 5)
	g.expectRefused(g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", "k"), 409, outcome.KeyDone, "not_run")

	g.failPrefill(standin.Fault{Kind: standin.DropAfterRead})
	g.expectRefused(g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", "k2"), 502, outcome.EndpointLost, "may_have_run")
	g.expectRefused(g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", "k2"), 409, outcome.KeyRunning, "may_have_run")
	if n := g.calls().Prefills; n != 2 {
		t.Errorf("expected 2 prefills in all, engines saw %d", n)
	}
}

func TestKeyDuringOutage(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	g.site.Platform.SetDown(true)
	g.expectRefused(g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", "k"), 503, outcome.StoreDown, "not_run")
	g.expectWhole(g.stream("no key, no claim", 5), "no key, no claim", 5)
	g.site.Platform.SetDown(false)
	g.site.Platform.DropWriteAnswers(1)
	g.expectWhole(g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", "k"), "certify", 5)
}

func TestSlowAndHugeCallers(t *testing.T) {
	t.Parallel()
	g := newRig(t, smallSite())
	big := `{"model":"verdict-lm","prompt":"` + strings.Repeat("x", 9<<20) + `"}`
	if resp, err := g.post(context.Background(), "/v1/completions", big); err == nil {
		g.expectRefused(readReply(resp), 413, outcome.TooLarge, "not_run")
		resp.Body.Close()
	}
	conn, err := net.Dial("tcp", g.box.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", demo.ClientKey)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	b, _ := io.ReadAll(conn)
	if !strings.Contains(string(b), `"bad_request"`) {
		t.Errorf("expected a body that ends early to be refused, got %q", b)
	}
}

// reconfigure stores a configuration as a new version and waits until the box uses it.
func (g *rig) reconfigure(text string) {
	g.t.Helper()
	base := g.box.Gateway.Config().Version
	v, err := g.site.Store.Apply(context.Background(), base, versionOf(text))
	if err != nil {
		g.t.Fatal(err)
	}
	g.eventually("the configuration is in force", func() bool { return g.box.Gateway.Config().Version == v })
}

func versionOf(text string) control.Version { return control.Version{Text: text, Author: "test"} }

// Engines report which prompt prefixes they evict from their caches. Once the box reads the event of an eviction, it
// no longer counts that prefix as cached. After a gap in the events it counts no prefix as cached.
func TestCacheEvents(t *testing.T) {
	t.Parallel()
	o := smallSite()
	o.Prefills = 1
	g := newRig(t, o)
	e := g.site.Prefills[0]
	e.SetCache(8, 0)
	prefix := strings.Repeat("the same agreement, word for word, ", 60)
	g.expectWhole(g.stream(prefix, 1), prefix, 1)
	g.expectWhole(g.stream(prefix, 1), prefix, 1)
	if n := e.Counts().CachedTokens; n == 0 {
		t.Error("expected the second prompt to be cached")
	}
	before := g.cachedTokens(prefix)
	if before == 0 {
		t.Fatal("expected the box to assume that the prefix is cached")
	}
	for i := range 8 {
		other := fmt.Sprintf("%d %s", i, prefix)
		g.expectWhole(g.stream(other, 1), other, 1)
	}
	g.eventually("the box knows what was evicted", func() bool { return g.cachedTokens(prefix) < before })
}

// cachedTokens sends a request. It returns how many tokens of the prompt the box assumed to be cached on the first
// prefill engine. The figure comes from the decision record of the request.
func (g *rig) cachedTokens(prompt string) int {
	g.t.Helper()
	id := g.stream(prompt, 1).id
	rec := g.box.records.Get(id)
	for _, s := range rec.Steps {
		if s.Choice != nil {
			return s.Choice.Candidates[0].Cached
		}
	}
	return 0
}

// Orders to load or unload a model carry an epoch, which serves as a fencing token. An engine that checks the epoch
// refuses an order if its epoch is older than that of the last order. An engine that does not check the epoch carries
// the order out. That risk remains.
func TestOrderFence(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		e := standin.NewEngine("e", demo.DefaultModel())
		defer e.Close()
		e.SetFenced(fenced)
		srv, err := standin.Listen(e.Handler())
		if err != nil {
			t.Fatal(err)
		}
		defer srv.Close()
		c := engine.NewClient()
		defer c.Close()
		ctx := context.Background()
		if err := c.Order(ctx, srv.Addr, engine.Order{Epoch: 5, Kind: engine.OrderLoad, Model: "m"}); err != nil {
			t.Fatal(err)
		}
		err = c.Order(ctx, srv.Addr, engine.Order{Epoch: 4, Kind: engine.OrderUnload, Model: "m"})
		if fenced != errors.Is(err, engine.ErrOldEpoch) || (len(e.Orders()) == 1) != fenced {
			t.Errorf("fenced %v: got %v and %d orders", fenced, err, len(e.Orders()))
		}
	}
}

// The box disconnects a caller that sends or reads too slowly. The engines then free their memory.
func TestSlowCallers(t *testing.T) {
	t.Parallel()
	o := smallSite()
	o.Callers = "127.0.0.1:0\nbody_timeout = 200ms\nwrite_timeout = 300ms"
	g := newRig(t, o)
	conn := g.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + demo.ClientKey + "\r\nContent-Length: 100\r\n\r\n{")
	if b, _ := io.ReadAll(conn); !strings.Contains(string(b), `"slow_body"`) {
		t.Errorf("expected a slow body to be refused, got %q", b)
	}
	// The service echoes the body, which is larger than all buffers between service and caller together.
	body := strings.Repeat("x", 32<<20)
	g.send(fmt.Sprintf("POST /bookings/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", demo.ClientKey, len(body), body))
	g.eventually("the caller is disconnected", func() bool { return g.box.Metrics.RefusalCount(outcome.CallerSlow) == 1 })
	g.expectIdle()
}

func (g *rig) send(text string) net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.box.Callers)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		g.t.Fatal(err)
	}
	return conn
}

// Neither the log nor the decision record of a request contains the prompt's text or the client's key.
func TestNothingSecretIsWritten(t *testing.T) {
	p := startProcess(t, smallSite())
	v := p.stream("a very secret payslip", 3)
	p.expectWhole(v, "a very secret payslip", 3)
	why := p.runCLI(0, `"outcome": "answered"`, "--json", "why", v.id)
	p.signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	for _, secret := range []string{"payslip", demo.ClientKey, demo.OperatorKey, demo.PeerKey} {
		if strings.Contains(p.stderr.String(), secret) || strings.Contains(why, secret) {
			t.Errorf("%q is written in a log or a record", secret)
		}
	}
	if !strings.Contains(p.stderr.String(), v.id) {
		t.Error("expected a log line for the request")
	}
}
