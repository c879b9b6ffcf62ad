package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// gatedWriter is a writer that blocks until its gate channel is closed, as if its reader hung until then.
type gatedWriter struct {
	gate chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (g *gatedWriter) Write(b []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(b)
}

func (g *gatedWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

// stopWriter ends the goroutine of an Async, because synctest requires that all goroutines of a test end.
func stopWriter(a *Async) {
	close(a.wake)
	time.Sleep(time.Minute)
}

func gaugeValue(t *testing.T, a *Async, name string) string {
	t.Helper()
	s := metrics.NewSet()
	a.Register(s)
	var b bytes.Buffer
	s.WritePrometheus(&b)
	for line := range strings.Lines(b.String()) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	t.Fatalf("no figure %s in %s", name, b.String())
	return ""
}

// Logging does not block while the reader of the log hangs. If a Write waited for the reader, synctest would report a
// deadlock. Lines that do not fit into the buffer are counted, and a line reports their number in their place.
func TestAsyncHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gatedWriter{gate: make(chan struct{})}
		a := NewAsync(g)
		line := strings.Repeat("x", 1023) + "\n"
		const lines = 3 * maxPendingBytes / 1024
		for range lines {
			if n, err := a.Write([]byte(line)); n != len(line) || err != nil {
				t.Fatalf("expected every line to be taken or dropped, got %d, %v", n, err)
			}
		}
		if !a.Busy() {
			t.Error("expected a full buffer to be reported as busy")
		}
		if err := a.Sync(); err != nil { // Returns after a bounded time, although nothing can be written.
			t.Error(err)
		}
		close(g.gate)
		_ = a.Sync()
		_, _ = a.Write([]byte("after\n"))
		_ = a.Sync()
		text := g.text()
		kept := strings.Count(text, line)
		if kept == 0 || kept == lines {
			t.Fatalf("expected some lines to be dropped, kept %d of %d", kept, lines)
		}
		if want := fmt.Sprintf(`"lines":%d}`+"\nafter\n", lines-kept); !strings.HasSuffix(text, want) {
			t.Errorf("expected the log to end with %q, got %q", want, text[len(text)-100:])
		}
		if got := gaugeValue(t, a, "stoatramp_log_lines_dropped_total"); got != fmt.Sprint(lines-kept) {
			t.Errorf("expected %d dropped lines to be counted, got %s", lines-kept, got)
		}
		stopWriter(a)
	})
}

// Each line is written whole, and all lines are written in order.
func TestAsyncOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gatedWriter{gate: make(chan struct{})}
		close(g.gate)
		a := NewAsync(g)
		var want strings.Builder
		for i := range 200 {
			line := fmt.Sprintf("line %d\n", i)
			want.WriteString(line)
			_, _ = a.Write([]byte(line))
		}
		_ = a.Sync()
		if g.text() != want.String() {
			t.Errorf("expected all lines in order, got %q", g.text())
		}
		stopWriter(a)
	})
}

// Warnings are written without the usual delay, since the process may be killed right after it cut off an answer.
func TestWarningsAreWrittenWithoutTheUsualPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gatedWriter{gate: make(chan struct{})}
		close(g.gate)
		a := NewAsync(g)
		log := NewLogger(a)
		log.Info("before")
		time.Sleep(2 * hurriedFlushDelay)
		if g.text() != "" {
			t.Errorf("expected lines to be batched, got %q", g.text())
		}
		log.Warn("cut off")
		time.Sleep(2 * hurriedFlushDelay)
		if text := g.text(); !strings.Contains(text, "before") || !strings.Contains(text, "cut off") {
			t.Errorf("expected both lines, got %q", text)
		}
		stopWriter(a)
	})
}
