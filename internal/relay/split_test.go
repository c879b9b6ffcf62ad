package relay

import (
	"bytes"
	"cmp"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// TestMain sets a fixed seed for the property tests (rapid), so that each run checks the same cases. A seed given on
// the command line comes first.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.seed" })
	if !set {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestSplitter checks that events are returned complete, in order and once, however the stream is cut into reads.
func TestSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end")
		events := rapid.IntRange(0, 6).Draw(t, "events")
		var all []byte
		for n := range events {
			all = append(all, "id: "+string(rune('a'+n))+end+"data: x"+end+end...)
		}
		torn := "id: z" + end + "da"
		all = append(all, torn...)
		var s splitter
		var got []byte
		last := ""
		for rest := all; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			p := s.add(rest[:n])
			rest = rest[n:]
			got = append(got, p.bytes...)
			if p.lastID != "" {
				last = p.lastID
			}
		}
		if want := all[:len(all)-len(torn)]; !bytes.Equal(got, want) {
			t.Fatalf("expected %q, got %q", want, got)
		}
		if string(s.rest) != torn || events > 0 && last != string(rune('a'+events-1)) {
			t.Fatalf("expected the incomplete event to be buffered and the last id returned, got %q and %q", s.rest, last)
		}
	})
}

// expectCut feeds the first n bytes of a stream to a splitter, step bytes at a time. It expects the events that are complete
// by then, and whether the stream ended inside an event.
func expectCut(t *testing.T, stream string, n, step int, events string, inside bool) {
	t.Helper()
	var s splitter
	var got []byte
	for b := []byte(stream[:n]); len(b) > 0; b = b[min(step, len(b)):] {
		got = append(got, s.add(b[:min(step, len(b))]).bytes...)
	}
	last, in := s.finish()
	if got = append(got, last.bytes...); string(got) != events || in != inside {
		t.Errorf("%q in steps of %d: expected %q, inside %t, got %q, %t", stream[:n], step, events, inside, got, in)
	}
}

// A stream is cut at each of its bytes, with each kind of line end, comments, and an event without an id.
func TestStreamCutAtEachByte(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		items := []string{
			"id: 1" + end + "data: a" + end + end, "data: no id" + end + end, ": ping" + end + end, "id:2" + end + "data: b" + end + "data:" + end + end,
		}
		all := strings.Join(items, "")
		for n := range len(all) + 1 {
			complete, left := "", all[:n]
			for _, item := range items {
				// The first byte of a CRLF line end may be a line end of its own.
				if rest, ok := strings.CutPrefix(left, item); ok {
					complete, left = complete+item, rest
				} else if head := strings.TrimSuffix(item, "\n"); end == "\r\n" && left == head {
					complete, left = complete+head, ""
				}
			}
			inside := strings.Trim(left, "\r\n") != "" && left[0] != ':'
			if !inside {
				complete, left = complete+left, ""
			}
			for _, step := range []int{1, 2, 3, len(all)} {
				expectCut(t, all, n, step, complete, inside)
			}
		}
	}
}

// FuzzSplitter checks that a splitter neither adds, loses nor reorders bytes, and finds the same events however the stream is
// divided into reads.
func FuzzSplitter(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\n", "data\r\n\r\n: c\r\n", "\r\r\n\n\r", "id: 1\n\r\nid: 2\r\rid", "id:0\n\nid: \r\r0"} {
		f.Add(text, 1)
	}
	f.Fuzz(func(t *testing.T, text string, step int) {
		if step < 1 || step > len(text) {
			return
		}
		split := func(step int) (events, rest string, last string, inside bool) {
			var s splitter
			for b := []byte(text); len(b) > 0; b = b[min(step, len(b)):] {
				p := s.add(b[:min(step, len(b))])
				events, last = events+string(p.bytes), cmp.Or(p.lastID, last)
			}
			p, inside := s.finish()
			events, last = events+string(p.bytes), cmp.Or(p.lastID, last)
			if inside {
				rest = string(s.rest)
			}
			return events, rest, last, inside
		}
		events, rest, last, inside := split(step)
		wantEvents, wantRest, wantLast, wantInside := split(len(text))
		if events+rest != text || events != wantEvents || rest != wantRest || last != wantLast || inside != wantInside {
			t.Errorf("%q in steps of %d: got %q, %q, %q, %t, at once %q, %q, %q, %t", text, step, events, rest, last, inside, wantEvents, wantRest, wantLast, wantInside)
		}
	})
}

// TestPick checks that each service of a route gets requests in proportion to its weight.
func TestPick(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	n := map[string]int{}
	for i := range 10_000 {
		n[r.pick(time.Duration(i).String())]++
	}
	if n["b"] < 850 || n["b"] > 1150 || n["a"]+n["b"] != 10_000 {
		t.Errorf("expected 9000 and 1000, got %v", n)
	}
}

// Guards against an event without end that a box keeps in memory.
func TestEventWithoutEndIsBounded(t *testing.T) {
	const limit = 64 << 20
	var written atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\ndata: ")
		for chunk := bytes.Repeat([]byte("x"), 64<<10); written.Load() < limit; {
			n, err := w.Write(chunk)
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	events := make(chan flightEvent, 8)
	f := &flight{ctx: t.Context(), events: events, x: &exchange{r: cellRelay(1)}}
	f.reportStream(decide.StartDecode{Attempt: 1}, resp, time.Now(), false)
	close(events)
	var last flightEvent
	for ev := range events {
		last = ev
	}
	if last.err == nil || last.err.reason != outcome.Truncated || !strings.Contains(last.err.detail, errEventTooLong.Error()) {
		t.Errorf("expected the stream to be broken off, got %+v", last.err)
	}
	if n := written.Load(); n >= limit/2 {
		t.Errorf("expected the connection to be closed, but %d bytes were read", n)
	}
}
