package overlay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// originSite is a set of boxes that know each other, without a store.
type originSite struct {
	t     testing.TB
	boxes []*originBox
}

type originBox struct {
	*Node
	srv *httptest.Server
}

func newOriginSite(t testing.TB, boxes int) *originSite {
	t.Helper()
	s := &originSite{t: t}
	for i := range boxes {
		b := &originBox{Node: New(Options{Self: Member{Name: fmt.Sprintf("box-%d", i), Region: "r", Hall: "h"}, Metrics: metrics.NewSet()})}
		b.srv = httptest.NewServer(b.Handler())
		b.SetAddress(b.srv.Listener.Addr().String())
		t.Cleanup(b.kill)
		s.boxes = append(s.boxes, b)
	}
	s.list(s.boxes)
	return s
}

func (b *originBox) kill() {
	b.srv.CloseClientConnections()
	b.srv.Close()
}

// list gives all boxes a list of boxes.
func (s *originSite) list(listed []*originBox) {
	rows := map[string][]byte{keyRow: []byte("shared")}
	for _, b := range listed {
		rows[b.o.Self.Name] = b.o.Self.encode()
	}
	for _, b := range s.boxes {
		b.SetMembers(rows)
	}
}

func (s *originSite) byName(name string) *originBox {
	i := slices.IndexFunc(s.boxes, func(b *originBox) bool { return b.o.Self.Name == name })
	return s.boxes[i]
}

// publish has box 0 begin a stream, and waits until its holders have the origin. It returns the stream's key and the boxes that
// hold it, box 0 first.
func (s *originSite) publish(id string, holders int) (origins.Key, []*originBox) {
	s.t.Helper()
	k := origins.KeyOf(id)
	s.boxes[0].PublishOrigin(origins.Origin{Key: k, Service: "llm", Build: "v1.1", Revision: 1, Expires: clock.Now().Add(time.Minute)})
	var out []*originBox
	for end := time.Now().Add(10 * time.Second); len(out) != holders+1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("expected %d holders beside the box that began the stream, got %d", holders, len(out)-1)
		}
		out = out[:0]
		for _, b := range s.boxes {
			if _, ok := b.origins.directory.Get(clock.Now(), k); ok {
				out = append(out, b)
			}
		}
	}
	return k, out
}

// expectFound expects that a box finds the origin of a stream.
func (s *originSite) expectFound(b *originBox, k origins.Key, want bool) {
	s.t.Helper()
	o, by, ok := b.FindOrigin(context.Background(), origins.Stream{Key: k})
	if ok != want || ok && (o.Build != "v1.1" || o.Service != "llm" || by == b.o.Self.Name) {
		s.t.Errorf("%s: expected to find the origin: %t, got %+v from %q, %t", b.o.Self.Name, want, o, by, ok)
	}
}

func (s *originSite) without(gone ...*originBox) []*originBox {
	return slices.DeleteFunc(slices.Clone(s.boxes), func(b *originBox) bool { return slices.Contains(gone, b) })
}

func TestOriginIsKnownToAllBoxes(t *testing.T) {
	s := newOriginSite(t, 8)
	k, _ := s.publish("x", originHolders)
	for _, b := range s.boxes {
		s.expectFound(b, k, true)
		s.expectFound(b, origins.KeyOf("y"), false)
	}
}

// The box that began a stream and one of the two holders die. The list of boxes has them, and later has them no more.
func TestOriginOutlivesTwoOfItsThreeBoxes(t *testing.T) {
	s := newOriginSite(t, 8)
	k, holders := s.publish("x", originHolders)
	for _, b := range holders[:2] {
		b.kill()
	}
	left := s.without(holders[:2]...)
	for _, b := range left {
		s.expectFound(b, k, true)
	}
	s.list(left)
	for _, b := range left {
		s.expectFound(b, k, true)
	}
}

// All three boxes that know an origin die. It is not known, which is found out soon, and not guessed.
func TestOriginEndsWithItsThreeBoxes(t *testing.T) {
	s := newOriginSite(t, 8)
	k, holders := s.publish("x", originHolders)
	for _, b := range holders {
		b.kill()
	}
	began := time.Now()
	for _, b := range s.without(holders...) {
		s.expectFound(b, k, false)
	}
	if d := time.Since(began); d > 5*originRounds*findOriginTimeout+time.Second {
		t.Errorf("expected five answers within a bound, got %s", d)
	}
}

// answerNothing reads a request and never answers it.
func answerNothing(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The server notices a closed connection only after the body.
	<-r.Context().Done()
}

// Guards against an origin that is lost because a box that should hold it is dead, cut off, or of an earlier build.
func TestOriginPassesOverBoxesThatDontTakeIt(t *testing.T) {
	for name, fail := range map[string]func(b *originBox){
		"dead":             func(b *originBox) { b.kill() },
		"an earlier build": func(b *originBox) { b.srv.Config.Handler = http.NotFoundHandler() },
		"silent": func(b *originBox) {
			b.srv.Config.Handler = http.HandlerFunc(answerNothing)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newOriginSite(t, 8)
			order := s.boxes[0].originOrder(origins.KeyOf("x"), originHolders)
			var failed []*originBox
			for _, m := range order {
				failed = append(failed, s.byName(m.Name))
				fail(failed[len(failed)-1])
			}
			k, holders := s.publish("x", originHolders)
			for _, b := range failed {
				if slices.Contains(holders, b) {
					t.Errorf("expected %s not to hold the origin", b.o.Self.Name)
				}
			}
			for _, b := range s.without(failed...) {
				s.expectFound(b, k, true)
			}
		})
	}
}

// Boxes are stopped and started again in turn. Each hands over what it knows, and knows nothing after its start.
func TestOriginOutlivesRestartsInTurn(t *testing.T) {
	s := newOriginSite(t, 6)
	k, _ := s.publish("x", originHolders)
	for i, b := range s.boxes {
		s.list(s.without(b))
		b.HandOverOrigins(context.Background())
		b.kill()
		again := &originBox{Node: New(Options{Self: Member{Name: b.o.Self.Name, Region: "r", Hall: "h", Incarnation: int64(i + 1)}, Metrics: metrics.NewSet()})}
		again.srv = httptest.NewServer(again.Handler())
		again.SetAddress(again.srv.Listener.Addr().String())
		t.Cleanup(again.kill)
		s.boxes[i] = again
		s.list(s.boxes)
	}
	for _, b := range s.boxes {
		s.expectFound(b, k, true)
	}
}

// Boxes are added after a stream began, so that others come first in the order of its key.
func TestOriginIsFoundWithMoreBoxes(t *testing.T) {
	s := newOriginSite(t, 24)
	all := s.boxes
	s.list(all[:8])
	k, _ := s.publish("x", originHolders)
	s.list(all[:12])
	for _, b := range all[:12] {
		s.expectFound(b, k, true)
	}
}

// A box that is cut off when it begins a stream keeps the origin itself.
func TestOriginOfBoxThatIsCutOff(t *testing.T) {
	s := newOriginSite(t, 4)
	s.list(s.boxes[1:])
	s.boxes[0].SetMembers(map[string][]byte{keyRow: []byte("shared"), "box-0": s.boxes[0].o.Self.encode()})
	k, _ := s.publish("x", 0)
	s.expectFound(s.boxes[0], k, true)
	s.expectFound(s.boxes[1], k, false)
}

// Strangers, and boxes that send nonsense, change nothing.
func TestOriginCallsAreChecked(t *testing.T) {
	s := newOriginSite(t, 2)
	client := s.boxes[0].slotClient(s.boxes[1].o.Self.Address)
	good := &v1.Origin{Key: 1, Service: "llm", Build: "v1", LeftMs: 1000}
	store := func(key string, list ...*v1.Origin) connect.Code {
		req := connect.NewRequest(&v1.StoreOriginsRequest{Origins: list})
		authorize(req.Header(), key)
		_, err := client.StoreOrigins(context.Background(), req)
		var failed *connect.Error
		if errors.As(err, &failed) {
			return failed.Code()
		}
		return 0
	}
	long := strings.Repeat("x", maxServiceName+1)
	for name, code := range map[string]connect.Code{
		"another key":   store("other", good),
		"no service":    store("shared", &v1.Origin{Key: 1, Build: "v1"}),
		"no build":      store("shared", &v1.Origin{Key: 1, Service: "llm"}),
		"a long build":  store("shared", &v1.Origin{Key: 1, Service: "llm", Build: long}),
		"kept too long": store("shared", &v1.Origin{Key: 1, Service: "llm", Build: "v1", LeftMs: 1 << 31}),
		"too many":      store("shared", slices.Repeat([]*v1.Origin{good}, maxOriginsPerCall+1)...),
	} {
		if code == 0 {
			t.Errorf("%s: expected an error", name)
		}
	}
	if n := s.boxes[1].OriginCount(); n != 0 {
		t.Errorf("expected nothing to be kept, got %d", n)
	}
	find := connect.NewRequest(&v1.FindOriginRequest{Key: 1})
	authorize(find.Header(), "other")
	if _, err := client.FindOrigin(context.Background(), find); err == nil {
		t.Error("expected a stranger to be told nothing")
	}
	if code := store("shared", good); code != 0 || s.boxes[1].OriginCount() != 1 {
		t.Errorf("expected the origin to be kept, got %v", code)
	}
}

// Guards against a box that answers with the origin of another stream.
func TestOriginOfAnotherStreamIsNotBelieved(t *testing.T) {
	if o, ok := decodeOrigin(nil, time.Now()); ok {
		t.Errorf("expected no origin, got %+v", o)
	}
	s := newOriginSite(t, 2)
	k := origins.KeyOf("x")
	s.boxes[1].origins.directory.Put(clock.Now(), origins.Origin{Key: k + 1, Service: "llm", Build: "v1.1", Expires: clock.Now().Add(time.Minute)})
	s.expectFound(s.boxes[0], k, false)
}

// Origins that wait for a box that does not answer are bounded.
func TestPendingOriginsAreBounded(t *testing.T) {
	s := newOriginSite(t, 2)
	s.boxes[1].srv.Config.Handler = http.HandlerFunc(answerNothing)
	for i := range 3 * maxPendingOrigins {
		s.boxes[0].PublishOrigin(origins.Origin{Key: origins.Key(i), Service: "llm", Build: "v1", Expires: clock.Now().Add(time.Minute)})
	}
	st := &s.boxes[0].origins
	st.mu.Lock()
	n := len(st.pending["box-1"])
	st.mu.Unlock()
	if n > maxPendingOrigins || st.count.lost.Get() == 0 {
		t.Errorf("expected at most %d origins to wait and others to be counted as lost, got %d and %d", maxPendingOrigins, n, st.count.lost.Get())
	}
}
