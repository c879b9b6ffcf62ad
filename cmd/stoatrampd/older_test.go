package main

import (
	"fmt"
	"net/http"
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
