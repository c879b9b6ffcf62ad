package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a box that asks for slots without showing it: after an endpoint rejected a call as full, status names
// the owner of the cell, the limit, the connections and the account of the next calls, and why names the cell.
func TestRelayShowsSlots(t *testing.T) {
	var calls atomic.Int64
	x := startRelay(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
	})
	if status, _ := x.get("/a/x"); status != http.StatusServiceUnavailable {
		t.Fatalf("expected the rejection to be passed on, got %d", status)
	}
	if status, body := x.get("/a/x"); status != http.StatusOK {
		t.Fatalf("expected an answer, got %d %s", status, body)
	}
	out := x.runTool("status")
	lines := map[string]bool{}
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		lines[strings.Join(fields[:min(len(fields), 7)], " ")] = true
	}
	for _, want := range []string{"s r 0 i-1 ready 8 4", "s r 0 (none) 0 0 1"} {
		if !lines[want] {
			t.Errorf("expected a line that begins with %q in:\n%s", want, out)
		}
	}
	if !strings.Contains(out, "CONTENDED") || !strings.Contains(out, "CALLS OF THIS BOX TO") {
		t.Errorf("expected the owner of the cell and the connections in:\n%s", out)
	}
	if out := x.runTool("why", "id-1"); !strings.Contains(out, "A slot of i-1 was granted by box b") || !strings.Contains(out, "asked for in cell 0") {
		t.Errorf("expected the slot to be explained, got %s", out)
	}
	_ = x.b.Stop()
	<-x.exited
}
