package overlay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// hallOf returns the n members of a hall, the oldest first.
func hallOf(n int) (out []Member) {
	for i := range n {
		out = append(out, Member{Name: fmt.Sprintf("box-%d", i), Hall: "h", Incarnation: int64(i + 1)})
	}
	return out
}

// upstreams returns, for each box of a hall, the name of the box that it follows. The keys are the followers' names.
func upstreams(hall []Member) map[string]string {
	out := map[string]string{}
	for i, self := range hall {
		if m, ok := parent(slices.Delete(slices.Clone(hall), i, i+1), self); ok {
			out[self.Name] = m.Name
		}
	}
	return out
}

// expectTree checks a hall of a size. It checks how many followers one box has at most. It also checks how many steps
// up the tree a box is at most away from the oldest box.
func expectTree(t *testing.T, size, maxFollowers, maxDepth int) {
	t.Helper()
	hall := hallOf(size)
	upstream, followers := upstreams(hall), map[string]int{}
	for _, self := range hall {
		followers[upstream[self.Name]]++
		depth := 0
		for name := self.Name; name != "box-0"; name = upstream[name] {
			if depth++; depth > maxDepth {
				t.Fatalf("%d boxes: %s is further than %d from the oldest", size, self.Name, maxDepth)
			}
		}
	}
	delete(followers, "")
	for name, n := range followers {
		if n > maxFollowers {
			t.Errorf("%d boxes: %d follow %s, expected %d at the most", size, n, name, maxFollowers)
		}
	}
}

func TestTreeSmall(t *testing.T) {
	expectTree(t, 1, 0, 0)
	expectTree(t, 3, 2, 1)
	expectTree(t, 16, 15, 1)
}
func TestTreeMiddle(t *testing.T)  { expectTree(t, 17, 8, 2); expectTree(t, 29, 8, 2) }
func TestTreeLarge(t *testing.T)   { expectTree(t, 59, 14, 2); expectTree(t, 80, 16, 2) }
func TestTreeLargest(t *testing.T) { expectTree(t, 400, 36, 2) }

// The oldest listed box creates the shared key. Any other box creates it if the oldest box has not done so in time.
func TestOldestCreatesKey(t *testing.T) {
	now := time.Now()
	hall := hallOf(3)
	for i, self := range hall {
		n := &Node{o: Options{Self: self}}
		n.members.all = map[string]Member{}
		if n.shouldCreateKey(false, now) {
			t.Errorf("box %d: expected a box that is not listed to create no key yet", i)
		}
		for _, m := range hall {
			n.members.all[m.Name] = m
		}
		if got := n.shouldCreateKey(true, now.Add(time.Second)); got != (i == 0) {
			t.Errorf("box %d: expected only the oldest to create the key, got %t", i, got)
		}
		if !n.shouldCreateKey(true, now.Add(keyCreationTimeout+time.Millisecond)) {
			t.Errorf("box %d: expected any box to create the key eventually", i)
		}
	}
}

// countingTransport counts the bytes of all responses.
type countingTransport struct{ bytes atomic.Int64 }

func (w *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		resp.Body = &countedBody{resp.Body, w}
	}
	return resp, err
}

type countedBody struct {
	io.ReadCloser
	w *countingTransport
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.w.bytes.Add(int64(n))
	return n, err
}

// These tests guard against slow distribution of a large configuration. Users saw a route refused with 404 on one
// box of 58, 3.2 s after a configuration with 1,928 more routes was accepted; 3 s are allowed. The oldest box reads
// the configuration and sends it whole to each of its followers, over a link of 10 Mbit/s. These send it to their
// own followers. In a rerun of the same day without compression, the configuration was in force on half of the boxes
// after 1.6 s, and on the last box after 2.3 s. With large messages compressed it was so after 0.4 s and 0.6 s.
// Small messages are not compressed.
func TestSmallNotCompressed(t *testing.T) { expectCompressed(t, minPackBytes/2, false) }
func TestLargeCompressed(t *testing.T)    { expectCompressed(t, 2*minPackBytes, true) }
func TestLargestCompressed(t *testing.T)  { expectCompressed(t, 1<<20, true) }

// expectCompressed has a box send a follower a configuration of a size in bytes, which compresses well, and checks
// whether it is compressed.
func expectCompressed(t *testing.T, size int, want bool) {
	t.Helper()
	s := newStore()
	s.set("config", follow.Row{Key: "k", Value: bytes.Repeat([]byte("x"), size)})
	a := s.start(t, "a", "h1", 1)
	eventually(t, "there is a key and a configuration", func() bool { return a.members.sharedKey() != "" && a.value() != "" })
	w := &countingTransport{}
	b := New(Options{Metrics: metrics.NewSet()})
	b.httpClient.Transport = w
	req := connect.NewRequest(&v1.FollowRequest{Box: "b", Protocol: protocolVersion, Packed: true})
	authorize(req.Header(), a.members.sharedKey())
	stream, err := b.client(a.srv.Listener.Addr().String()).Follow(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if !stream.Receive() {
		t.Fatalf("expected a message, got %v", stream.Err())
	}
	if compressed := w.bytes.Load() < int64(size); compressed != want {
		t.Errorf("%d bytes: expected them to be compressed: %t, got %d bytes on the wire", size, want, w.bytes.Load())
	}
}

// When a box of the middle level is gone, its followers select another box. Few other boxes change the box that they
// follow. One that does is the box that moves up to the middle level. The test allows 15 of the 58 boxes that are left.
func TestTreeReassignsFew(t *testing.T) {
	hall := hallOf(59)
	before := upstreams(hall)
	after := upstreams(slices.Delete(slices.Clone(hall), 4, 5))
	moved := 0
	for name, up := range after {
		if before[name] != up && before[name] != "box-4" {
			moved++
		}
	}
	if moved > 15 {
		t.Errorf("expected few of 58 to move, beside the followers of the one that is gone; %d did", moved)
	}
}

// No cycle can form among boxes whose lists of members differ, because each box follows an older box.
func TestTreeOlderOnly(t *testing.T) {
	hall := hallOf(59)
	for i, self := range hall {
		for drop := range hall {
			list := slices.DeleteFunc(slices.Clone(hall), func(m Member) bool { return m.Name == self.Name || m.Name == hall[drop].Name })
			if m, ok := parent(list, self); ok && compareUpstreams(m, self) >= 0 {
				t.Fatalf("box %d follows %s, which is younger", i, m.Name)
			}
		}
	}
}

// A box considers itself the oldest of its region in one case: the list of members is not empty, and no older box of
// that region is in the list.
func TestOldest(t *testing.T) {
	n := &Node{o: Options{Self: Member{Name: "b", Region: "r", Incarnation: 5}}}
	expect := func(what string, want bool, list ...Member) {
		t.Helper()
		rows := map[string][]byte{}
		for _, m := range list {
			rows[m.Name] = m.encode()
		}
		n.members.set(rows)
		if n.IsFirst() != want {
			t.Errorf("%s: expected %t", what, want)
		}
	}
	at := func(name, region string, incarnation int64) Member {
		return Member{Name: name, Region: region, Address: "10.0.0.1:80", Incarnation: incarnation}
	}
	expect("nobody is listed", false)
	expect("only younger ones are", true, at("c", "r", 7))
	expect("an older one is", false, at("c", "r", 7), at("a", "r", 3))
	expect("an older one of another region is", true, at("c", "r", 7), at("a", "s", 3))
	expect("its own earlier start is", true, at("b", "r", 1), at("c", "r", 7))
}
