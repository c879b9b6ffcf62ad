package overlay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/origins"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// confirm is what a box of a test says of the stream that it is asked about.
type confirm = func(ctx context.Context, service, region string, s origins.Stream) (build string, ok bool)

func says(build string) confirm {
	return func(context.Context, string, string, origins.Stream) (string, bool) { return build, build != "" }
}

// askedBoxes returns the boxes that box 0 asks about a stream, in their order.
func (s *originSite) askedBoxes(k origins.Key) (out []*originBox) {
	for _, m := range s.boxes[0].originOrder(k, originAsked*originRounds) {
		out = append(out, s.byName(m.Name))
	}
	return out
}

// newConfirmSite returns boxes that can't tell where a stream began, and those that box 0 asks about the stream k.
func newConfirmSite(t testing.TB, boxes int, k origins.Key) (*originSite, []*originBox) {
	t.Helper()
	s := newOriginSite(t, boxes)
	for _, b := range s.boxes {
		b.o.ConfirmOrigin = says("")
	}
	return s, s.askedBoxes(k)
}

// expectConfirmed expects that box 0 has a build confirmed by a box, or by none if by is nil, and that one result is counted.
func (s *originSite) expectConfirmed(k origins.Key, build string, by *originBox, result string) {
	s.t.Helper()
	before := s.results()
	got, box, ok := s.boxes[0].ConfirmOrigin(context.Background(), "llm", "r", origins.Stream{Key: k})
	if by == nil && (ok || got != "" || box != "") {
		s.t.Errorf("expected no confirmation, got %q from %q", got, box)
	}
	if by != nil && (!ok || got != build || box != by.o.Self.Name) {
		s.t.Errorf("expected %q from %s, got %q from %q, %t", build, by.o.Self.Name, got, box, ok)
	}
	for name, n := range s.results() {
		want := before[name]
		if name == result {
			want++
		}
		if n != want {
			s.t.Errorf("expected the count of %s to be %d, got %d", name, want, n)
		}
	}
}

func (s *originSite) results() map[string]uint64 {
	c := &s.boxes[0].confirmations.count
	return map[string]uint64{"confirmed": c.confirmed.Get(), "unknown": c.unknown.Get(), "unanswered": c.unanswered.Get(), "conflicting": c.conflicting.Get()}
}

func TestOriginIsConfirmedByAnyBoxThatIsAsked(t *testing.T) {
	k := origins.KeyOf("x")
	s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
	s.expectConfirmed(k, "", nil, "unknown")
	for _, b := range asked {
		b.o.ConfirmOrigin = func(_ context.Context, service, region string, got origins.Stream) (string, bool) {
			return "v1.1", service == "llm" && region == "r" && got.Key == k
		}
		s.expectConfirmed(k, "v1.1", b, "confirmed")
		b.o.ConfirmOrigin = says("")
	}
}

// A box that says both that it can't tell and a build can't tell.
func TestBuildOfABoxThatCannotTellIsNotSent(t *testing.T) {
	k := origins.KeyOf("x")
	s, asked := newConfirmSite(t, 4, k)
	for _, b := range asked {
		b.o.ConfirmOrigin = func(context.Context, string, string, origins.Stream) (string, bool) { return "v1.1", false }
	}
	s.expectConfirmed(k, "", nil, "unknown")
}

// confirmFailures are the ways in which a box that is asked does not confirm an origin. Each returns a function that ends the
// failure's goroutines.
var confirmFailures = map[string]struct {
	fail func(b *originBox) (end func())
	// answers is set if the box answers that it can't tell.
	answers bool
}{
	"dead":               {func(b *originBox) func() { b.kill(); return func() {} }, false},
	"can't tell":         {func(b *originBox) func() { b.o.ConfirmOrigin = says(""); return func() {} }, true},
	"has nobody to ask":  {func(b *originBox) func() { b.o.ConfirmOrigin = nil; return func() {} }, true},
	"an earlier release": {func(b *originBox) func() { b.srv.Config.Handler = http.NotFoundHandler(); return func() {} }, true},
	"a build too long": {func(b *originBox) func() {
		b.o.ConfirmOrigin = says(strings.Repeat("x", maxServiceName+1))
		return func() {}
	}, false},
	"no valid answer": {func(b *originBox) func() {
		b.srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write([]byte{0x0a, 0xff})
		})
		return func() {}
	}, false},
	"stands still": {func(b *originBox) func() { b.srv.Config.Handler = http.HandlerFunc(answerNothing); return func() {} }, false},
	// Answers only once its answer has no effect any more, with another build than the others.
	"late": {func(b *originBox) func() {
		over := make(chan struct{})
		b.o.ConfirmOrigin = func(context.Context, string, string, origins.Stream) (string, bool) { <-over; return "late", true }
		return func() { close(over) }
	}, false},
	"killed midway": {func(b *originBox) func() {
		begun, over := make(chan struct{}, 1), make(chan struct{})
		b.o.ConfirmOrigin = func(context.Context, string, string, origins.Stream) (string, bool) {
			begun <- struct{}{}
			<-over
			return "late", true
		}
		go func() {
			select {
			case <-begun:
				b.srv.Listener.Close()
				b.srv.CloseClientConnections()
			case <-over:
			}
		}()
		return func() { close(over) }
	}, false},
	"full": {func(b *originBox) func() {
		for range maxConfirmationsServed {
			b.confirmations.serving <- struct{}{}
		}
		b.o.ConfirmOrigin = says("late")
		return func() {}
	}, false},
}

// Guards against a stream that is refused because the boxes that are asked first do not confirm its origin, though a later one does.
func TestOriginIsConfirmedAlthoughOthersFail(t *testing.T) {
	k := origins.KeyOf("x")
	for name, f := range confirmFailures {
		for _, failed := range []int{1, originAsked, originAsked*originRounds - 1} {
			t.Run(fmt.Sprintf("%s, %d", name, failed), func(t *testing.T) {
				t.Parallel()
				s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
				for _, b := range asked[:failed] {
					t.Cleanup(f.fail(b))
				}
				asked[failed].o.ConfirmOrigin = says("v1.1")
				s.expectConfirmed(k, "v1.1", asked[failed], "confirmed")
			})
		}
	}
}

// Boxes that all fail give no build, and how they failed is counted.
func TestOriginIsNotConfirmedIfAllFail(t *testing.T) {
	k := origins.KeyOf("x")
	for name, f := range confirmFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
			for _, b := range asked {
				t.Cleanup(f.fail(b))
			}
			result := "unanswered"
			if f.answers {
				result = "unknown"
			}
			s.expectConfirmed(k, "", nil, result)
		})
	}
}

// Guards against a stream that goes on at the build whose confirmation comes first, while another box names another build.
func TestBoxesThatNameDifferentBuildsConfirmNone(t *testing.T) {
	k := origins.KeyOf("x")
	for name, names := range map[string][]string{
		"in the first round":         {"v1", "v2", "", "v1", "v1", "v1"},
		"two of three agree":         {"v1", "v2", "v1", "v1", "v1", "v1"},
		"in the second round":        {"", "", "", "", "v1", "v2"},
		"the last of the first ones": {"", "v2", "v1", "v2", "v2", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
			for i, b := range asked {
				b.o.ConfirmOrigin = says(names[i])
			}
			var mu sync.Mutex
			var logged []string
			s.boxes[0].o.OnStateChange = func(change string, fields ...zap.Field) {
				mu.Lock()
				defer mu.Unlock()
				for _, f := range fields {
					change += " " + f.Key + "=" + f.String
				}
				logged = append(logged, change)
			}
			s.expectConfirmed(k, "", nil, "conflicting")
			mu.Lock()
			defer mu.Unlock()
			if len(logged) != 1 || !strings.Contains(logged[0], "=v1") || !strings.Contains(logged[0], "=v2") || !strings.Contains(logged[0], "service=llm") {
				t.Errorf("expected one line that names both builds, got %q", logged)
			}
		})
	}
}

// The second confirmation comes only once the first has been sent.
func TestLaterConfirmationOfAnotherBuildCounts(t *testing.T) {
	k := origins.KeyOf("x")
	s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
	s.boxes[0].o.OnStateChange = func(string, ...zap.Field) {}
	sent := make(chan struct{})
	h := asked[0].srv.Config.Handler
	asked[0].o.ConfirmOrigin = says("v1")
	asked[0].srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		_ = http.NewResponseController(w).Flush()
		close(sent)
	})
	asked[2].o.ConfirmOrigin = func(context.Context, string, string, origins.Stream) (string, bool) { <-sent; return "v2", true }
	s.expectConfirmed(k, "", nil, "conflicting")
}

// Boxes that reach the store know the builds of all streams. Each of 60 callers at once gets that of its own stream.
func TestOriginsOfManyCallersAreConfirmedAtOnce(t *testing.T) {
	for _, boxes := range []int{3, 8} {
		s := newOriginSite(t, boxes)
		for i, b := range s.boxes {
			b.o.ConfirmOrigin = says("")
			if i%2 == 1 { // Of three boxes one, and of eight boxes four.
				b.o.ConfirmOrigin = func(_ context.Context, _, _ string, s origins.Stream) (string, bool) {
					return fmt.Sprint("v", s.Key), true
				}
			}
		}
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				k := origins.KeyOf(fmt.Sprint(i))
				if build, by, ok := s.boxes[0].ConfirmOrigin(context.Background(), "llm", "r", origins.Stream{Key: k}); !ok || build != fmt.Sprint("v", k) || by == "" {
					t.Errorf("%d boxes, caller %d: expected the build of its stream, got %q from %q, %t", boxes, i, build, by, ok)
				}
			})
		}
		wg.Wait()
	}
}

// raise raises a maximum to n.
func raise(most *atomic.Int64, n int64) {
	for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
	}
}

// Guards against a box that overloads the store for other boxes: beyond a bound their calls are refused, and later ones are served.
func TestConfirmationsServedAtOnceAreBounded(t *testing.T) {
	s := newOriginSite(t, 2)
	b := s.boxes[1]
	begun, over := make(chan struct{}, 1000), make(chan struct{})
	var now, most atomic.Int64
	b.o.ConfirmOrigin = func(ctx context.Context, _, _ string, _ origins.Stream) (string, bool) {
		raise(&most, now.Add(1))
		defer now.Add(-1)
		begun <- struct{}{}
		select {
		case <-over:
		case <-ctx.Done():
		}
		return "v1", true
	}
	client := s.boxes[0].slotClient(b.o.Self.Address)
	call := func(ctx context.Context, k int) error {
		req := connect.NewRequest(&v1.ConfirmOriginRequest{Key: uint64(k), Service: "llm", Region: "r"})
		authorize(req.Header(), "shared")
		_, err := client.ConfirmOrigin(ctx, req)
		return err
	}
	// The requests of callers that have left end, so that they don't fill the bound.
	ctx, leave := context.WithCancel(context.Background())
	var left sync.WaitGroup
	for i := range maxConfirmationsServed {
		left.Go(func() { _ = call(ctx, i) })
		<-begun
	}
	leave()
	left.Wait()
	eventually(t, "requests of callers that have left end", func() bool { return len(b.confirmations.serving) == 0 })
	// The time limit ends requests, so the test itself occupies all places but one.
	for range maxConfirmationsServed - 1 {
		b.confirmations.serving <- struct{}{}
	}
	most.Store(0)
	var wg sync.WaitGroup
	var refused, served atomic.Int64
	for i := range 300 {
		wg.Go(func() {
			switch err := call(context.Background(), i); connect.CodeOf(err) {
			case connect.CodeResourceExhausted:
				refused.Add(1)
			default:
				served.Add(1)
			}
		})
	}
	eventually(t, "requests beyond the bound are refused", func() bool { return refused.Load() > 0 })
	close(over)
	wg.Wait()
	if got := most.Load(); got != 1 {
		t.Errorf("expected one request at a time in the place that is left, got %d", got)
	}
	if got := b.confirmations.count.servedRefused.Get(); got != uint64(refused.Load()) {
		t.Errorf("expected %d refused requests to be counted, got %d", refused.Load(), got)
	}
	for range maxConfirmationsServed - 1 {
		<-b.confirmations.serving
	}
	if err := call(context.Background(), 1); err != nil {
		t.Errorf("expected a later request to be served, got %v", err)
	}
}

// Guards against a crowd of callers at one box that opens connections without bound.
func TestConfirmationsAskedAtOnceAreBounded(t *testing.T) {
	s := newOriginSite(t, 4)
	var now, most atomic.Int64
	for _, b := range s.boxes[1:] {
		b.srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			raise(&most, now.Add(1))
			defer now.Add(-1)
			answerNothing(w, r)
		})
	}
	var wg sync.WaitGroup
	for i := range 5 * maxConfirmationsAsked {
		wg.Go(func() {
			if build, _, ok := s.boxes[0].ConfirmOrigin(context.Background(), "llm", "r", origins.Stream{Key: origins.Key(i)}); ok {
				t.Errorf("expected no confirmation, got %q", build)
			}
		})
	}
	wg.Wait()
	// A box may notice the end of a request only after the next one has come.
	if got := most.Load(); got == 0 || got > 2*originAsked*maxConfirmationsAsked {
		t.Errorf("expected requests, at most about %d at once, got %d", originAsked*maxConfirmationsAsked, got)
	}
	if got := s.results()["unanswered"]; got != 5*maxConfirmationsAsked {
		t.Errorf("expected %d unanswered confirmations, got %d", 5*maxConfirmationsAsked, got)
	}
}

func TestCallerThatLeavesEndsItsConfirmation(t *testing.T) {
	k := origins.KeyOf("x")
	s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
	begun, ended := make(chan struct{}, originAsked), make(chan struct{}, originAsked)
	for _, b := range asked {
		b.o.ConfirmOrigin = func(ctx context.Context, _, _ string, _ origins.Stream) (string, bool) {
			begun <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
			return "v1", true
		}
	}
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		for range originAsked {
			<-begun
		}
		leave()
	}()
	if build, _, ok := s.boxes[0].ConfirmOrigin(ctx, "llm", "r", origins.Stream{Key: k}); ok {
		t.Errorf("expected no confirmation, got %q", build)
	}
	for range originAsked {
		<-ended
	}
	if len(begun) != 0 {
		t.Error("expected no further boxes to be asked")
	}
	if _, _, ok := s.boxes[0].ConfirmOrigin(ctx, "llm", "r", origins.Stream{Key: k}); ok || len(begun) != 0 {
		t.Error("expected a caller that has left to ask nobody")
	}
}

// Boxes ask each other for confirmations only for a stream that a caller takes up.
func TestNobodyAsksForConfirmationsUnasked(t *testing.T) {
	s := newOriginSite(t, 8)
	var asked atomic.Int64
	for _, b := range s.boxes {
		b.o.ConfirmOrigin = says("")
		h := b.srv.Config.Handler
		b.srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/ConfirmOrigin") {
				asked.Add(1)
			}
			h.ServeHTTP(w, r)
		})
	}
	k, _ := s.publish("x", originHolders)
	for _, b := range s.boxes {
		s.expectFound(b, k, true)
		s.expectFound(b, k+1, false)
		b.HandOverOrigins(context.Background())
	}
	s.list(s.boxes)
	if n := asked.Load(); n != 0 {
		t.Errorf("expected no request for a confirmation, got %d", n)
	}
	first := s.askedBoxes(k)[0]
	first.o.ConfirmOrigin = says("v1")
	s.expectConfirmed(k, "v1", first, "confirmed")
	if n := asked.Load(); n != originAsked {
		t.Errorf("expected one round of requests, got %d", n)
	}
}

// A box without others asks nobody.
func TestConfirmationOfABoxAlone(t *testing.T) {
	s := newOriginSite(t, 1)
	s.expectConfirmed(1, "", nil, "unanswered")
}

// Strangers are told nothing, and nonsense reaches no store.
func TestConfirmationCallsAreChecked(t *testing.T) {
	s := newOriginSite(t, 2)
	var calls atomic.Int64
	s.boxes[1].o.ConfirmOrigin = func(context.Context, string, string, origins.Stream) (string, bool) { calls.Add(1); return "v1", true }
	client := s.boxes[0].slotClient(s.boxes[1].o.Self.Address)
	call := func(key, service, region string) error {
		req := connect.NewRequest(&v1.ConfirmOriginRequest{Key: 1, Service: service, Region: region})
		authorize(req.Header(), key)
		_, err := client.ConfirmOrigin(context.Background(), req)
		return err
	}
	long := strings.Repeat("x", maxServiceName+1)
	for name, c := range map[string]struct {
		err  error
		code connect.Code
	}{
		"another key":   {call("other", "llm", "r"), connect.CodeUnauthenticated},
		"no key":        {call("", "llm", "r"), connect.CodeUnauthenticated},
		"no service":    {call("shared", "", "r"), connect.CodeInvalidArgument},
		"no region":     {call("shared", "llm", ""), connect.CodeInvalidArgument},
		"long service":  {call("shared", long, "r"), connect.CodeInvalidArgument},
		"long region":   {call("shared", "llm", long), connect.CodeInvalidArgument},
		"nothing wrong": {call("shared", long[1:], "r"), 0},
	} {
		var failed *connect.Error
		if c.code == 0 && c.err != nil || c.code != 0 && (!errors.As(c.err, &failed) || failed.Code() != c.code) {
			t.Errorf("%s: expected code %v, got %v", name, c.code, c.err)
		}
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("expected one call to come through, got %d", n)
	}
}

// Boxes of other regions have plans of their own.
func TestOnlyBoxesOfTheRegionAreAsked(t *testing.T) {
	s := newOriginSite(t, 8)
	for i, b := range s.boxes {
		b.o.ConfirmOrigin = says("")
		if i >= 4 {
			b.o.Self.Region = "other"
			b.o.ConfirmOrigin = says("v1")
		}
	}
	s.list(s.boxes)
	for k := range origins.Key(10) {
		if asked := s.askedBoxes(k); len(asked) != 3 || slices.ContainsFunc(asked, func(b *originBox) bool { return b.o.Self.Region != "r" }) {
			t.Errorf("expected the three other boxes of the region to be asked, got %d", len(asked))
		}
		s.expectConfirmed(k, "", nil, "unknown")
	}
}

// Boxes that stand still delay an answer by a bounded time.
func TestConfirmationIsBoundedInTime(t *testing.T) {
	k := origins.KeyOf("x")
	s, asked := newConfirmSite(t, 1+originAsked*originRounds, k)
	for _, b := range asked {
		b.srv.Config.Handler = http.HandlerFunc(answerNothing)
	}
	began := time.Now()
	s.expectConfirmed(k, "", nil, "unanswered")
	if d := time.Since(began); d > originRounds*confirmOriginTimeout+10*time.Second {
		t.Errorf("expected an answer within a bound, got %s", d)
	}
}

// Guards against a stream that stays refused because the boxes that are asked first do not reach the store.
func TestOtherBoxesAreAskedForConfirmationsToo(t *testing.T) {
	k := origins.KeyOf("x")
	s, asked := newConfirmSite(t, 2+originAsked*originRounds, k)
	for _, b := range s.boxes {
		if !slices.Contains(asked, b) {
			b.o.ConfirmOrigin = says("v1")
		}
	}
	for _, b := range asked {
		b.o.ConfirmOrigin = says("")
	}
	if build, _, ok := s.boxes[0].ConfirmOrigin(context.Background(), "llm", "r", origins.Stream{Key: k}); !ok || build != "v1" {
		t.Errorf("expected the last box to confirm v1, got %q", build)
	}
}
