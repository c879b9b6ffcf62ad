package relay

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
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
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
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
