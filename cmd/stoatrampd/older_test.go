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

// lostVersions is how many versions the store issues between its backup and its failure.
const lostVersions = 300

// putUnrelatedRows writes rows whose changes no box reads. Each row increases the store's version by one.
func (x *relayBox) putUnrelatedRows(versions int) {
	for n := range versions {
		x.store.Put("other", fmt.Sprint(n), nil, 0)
	}
}

// restoreOlderCopy restores the store from a backup that is more than lostVersions versions old. beforeOutage makes the
// writes that the backup lacks. afterRestore runs before the restored store answers its first request.
func (x *relayBox) restoreOlderCopy(beforeOutage, afterRestore func()) {
	x.t.Helper()
	const age = time.Second
	time.Sleep(age) // The backup is from before the writes that follow.
	x.putUnrelatedRows(lostVersions)
	beforeOutage()
	x.store.SetFault(standin.StoreFault{Down: "reset"})
	x.store.Restore(standin.RestoreRequest{AgeMS: int(age.Milliseconds()) / 2})
	afterRestore()
	x.store.SetFault(standin.StoreFault{})
}

// expectChangesSeen restores the store from an older backup, and then calls write, which makes a change. It expects the
// box to apply that change. The store's version may then be below or above the version that the box has already read.
func expectChangesSeen(t *testing.T, write func(x *relayBox), what string, applied func(x *relayBox) bool) {
	t.Helper()
	for name, rows := range map[string]int{"behind": 0, "past": 2 * lostVersions} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startRelay(t, echo)
			x.restoreOlderCopy(func() {
				x.configure(2, "/b/")
				x.putEndpoint("i-2", "draining")
				x.until("version 2 in force", func() bool { return x.serves("/b/x") })
				x.until("a new endpoint to be known", func() bool { return x.log.has("belief", "i-2") })
			}, func() {
				write(x)
				x.putUnrelatedRows(rows)
			})
			x.until(what, func() bool { return applied(x) })
		})
	}
}

func (x *relayBox) serves(path string) bool {
	status, _ := x.get(path)
	return status == http.StatusOK
}

func TestConfigurationIsInForceAfterTheStoreCameBackOlder(t *testing.T) {
	expectChangesSeen(t, func(x *relayBox) { x.configure(3, "/c/") }, "version 3 in force",
		func(x *relayBox) bool { return x.serves("/c/x") && !x.serves("/b/x") })
}

func TestLeavingIsKnownAfterTheStoreCameBackOlder(t *testing.T) {
	expectChangesSeen(t, func(x *relayBox) {
		x.configure(2, "/b/")
		x.putEndpoint("i-1", "draining")
	}, "no new requests at the leaving endpoint", func(x *relayBox) bool { return !x.serves("/b/x") })
}

// startWithLostPolicyVersion starts a box that accepted two versions of its policies. The store is then restored from a
// backup that has only version 1. apply changes the policies through the box, and expects its answer.
func startWithLostPolicyVersion(t *testing.T) (x *relayBox, apply func(want string)) {
	x = startRelay(t, echo)
	file := t.TempDir() + "/calm.star"
	if err := os.WriteFile(file, []byte(refusingPolicy), 0o600); err != nil {
		t.Fatal(err)
	}
	applied := 0
	apply = func(want string) {
		t.Helper()
		applied++
		if out := x.runTool("policy", "apply", file, "--name", fmt.Sprint("p", applied), "--kind", "once", "--author", "ana"); !strings.Contains(out, want) {
			t.Errorf("expected %q, got %s", want, out)
		}
	}
	apply("Accepted as version 1")
	x.restoreOlderCopy(func() { apply("Accepted as version 2") }, func() {})
	return x, apply
}

func TestAcceptedPoliciesAreWrittenAgainWhenTheStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	x, _ := startWithLostPolicyVersion(t)
	x.until("version 2 in the store, with its history", func() bool {
		return bytes.Contains(x.store.Row("shared", "config/current"), []byte(`"version":2`)) && x.store.Row("shared", "config/version/2") != nil
	})
	if out := x.runTool("policy", "history"); !strings.Contains(out, "2") {
		t.Errorf("expected both versions, got %s", out)
	}
	x.until("the log to say so", func() bool { return x.log.has("shared configuration rewritten", `"version":2`) })
}

func TestPoliciesAcceptedWhenTheStoreCameBackOlderGetTheNextNumber(t *testing.T) {
	t.Parallel()
	x, apply := startWithLostPolicyVersion(t)
	x.until("the box to see the new store era", func() bool { return x.log.has("store era", `"era":2`) })
	apply("Accepted as version 3")
	for _, name := range []string{"p1", "p2", "p3"} {
		x.runTool("policy", "get", name)
	}
}
