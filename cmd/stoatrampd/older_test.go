package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

// olderBy is how many versions the store gives out between its copy and its return.
const olderBy = 300

// write gives out so many versions of the store, of rows that no box follows.
func (x *relayBox) write(versions int) {
	for n := range versions {
		x.store.Put("other", fmt.Sprint(n), nil, 0)
	}
}

// comesBackOlder has the store come back from a copy that is olderBy versions behind, with written already
// there when it answers first.
func (x *relayBox) comesBackOlder(lost, written func()) {
	x.t.Helper()
	const age = time.Second
	time.Sleep(age) // The copy is from before what follows.
	x.write(olderBy)
	lost()
	x.store.SetFault(standin.StoreFault{Down: "reset"})
	x.store.Restore(standin.Restoration{AgeMS: int(age.Milliseconds()) / 2})
	written()
	x.store.SetFault(standin.StoreFault{})
}

// expectNews has the store come back from an older copy and expects the box to take what is written then:
// with its versions behind those that the box has read, and past them.
func expectNews(t *testing.T, write func(x *relayBox), what string, taken func(x *relayBox) bool) {
	t.Helper()
	for name, more := range map[string]int{"behind": 0, "past": 2 * olderBy} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startRelay(t, echo)
			x.comesBackOlder(func() {
				x.configure(2, "/b/")
				x.list("i-2", "draining")
				x.until("version 2 in force", func() bool { return x.serves("/b/x") })
				x.until("a new endpoint to be known", func() bool { return x.log.has("belief", "i-2") })
			}, func() {
				write(x)
				x.write(more)
			})
			x.until(what, func() bool { return taken(x) })
		})
	}
}

func (x *relayBox) serves(path string) bool {
	status, _ := x.get(path)
	return status == http.StatusOK
}

func TestConfigurationIsInForceAfterTheStoreCameBackOlder(t *testing.T) {
	expectNews(t, func(x *relayBox) { x.configure(3, "/c/") }, "version 3 in force",
		func(x *relayBox) bool { return x.serves("/c/x") && !x.serves("/b/x") })
}

func TestLeavingIsKnownAfterTheStoreCameBackOlder(t *testing.T) {
	expectNews(t, func(x *relayBox) {
		x.configure(2, "/b/")
		x.list("i-1", "draining")
	}, "nothing new at the endpoint that leaves", func(x *relayBox) bool { return !x.serves("/b/x") })
}

// startsWithPolicies starts a box whose policies have version 2, of which the store's next copy knows version 1.
func startsWithPolicies(t *testing.T) (x *relayBox, apply func(want string)) {
	x = startRelay(t, echo)
	file := t.TempDir() + "/calm.star"
	if err := os.WriteFile(file, []byte(refusing), 0o600); err != nil {
		t.Fatal(err)
	}
	tries := 0
	apply = func(want string) {
		t.Helper()
		tries++
		if out := x.tool("policy", "apply", file, "--name", fmt.Sprint("p", tries), "--kind", "once", "--author", "ana"); !strings.Contains(out, want) {
			t.Errorf("expected %q, got %s", want, out)
		}
	}
	apply("Accepted as version 1")
	x.comesBackOlder(func() { apply("Accepted as version 2") }, func() {})
	return x, apply
}

func TestAcceptedPoliciesAreWrittenAgainWhenTheStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	x, _ := startsWithPolicies(t)
	x.until("version 2 in the store, with its history", func() bool {
		return bytes.Contains(x.store.Row("shared", "config/current"), []byte(`"version":2`)) && x.store.Row("shared", "config/version/2") != nil
	})
	if out := x.tool("policy", "history"); !strings.Contains(out, "2") {
		t.Errorf("expected both versions, got %s", out)
	}
	x.until("the log to say so", func() bool { return x.log.has("shared configuration written again", `"version":2`) })
}

func TestPoliciesAcceptedWhenTheStoreCameBackOlderGetTheNextNumber(t *testing.T) {
	t.Parallel()
	x, apply := startsWithPolicies(t)
	x.until("the box to hear of the store", func() bool { return x.log.has("store era", `"era":2`) })
	apply("Accepted as version 3")
	for _, name := range []string{"p1", "p2", "p3"} {
		x.tool("policy", "get", name)
	}
}
