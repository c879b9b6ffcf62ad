package box

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/cli"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/limit"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// addBox starts another box that uses the same stand-in engines and services as the rig's box.
func (g *rig) addBox(name string) *rig {
	g.t.Helper()
	cfg, err := config.ParseBox(name, []byte(g.site.SettingsFor(name)))
	if err != nil {
		g.t.Fatal(err)
	}
	b, err := New(cfg, zap.NewNop())
	if err != nil {
		g.t.Fatal(err)
	}
	other := &rig{t: g.t, site: g.site, box: b, done: make(chan error, 1)}
	go func() { other.done <- b.Run() }()
	g.t.Cleanup(func() {
		_ = b.Stop()
		<-other.done
	})
	return other
}

// listBoxes registers the boxes with the platform, and has each of them read the list of boxes.
func listBoxes(boxes ...*rig) {
	var infos []platform.BoxInfo
	for _, g := range boxes {
		infos = append(infos, platform.BoxInfo{Name: g.box.cfg.Name, Address: g.box.Operators})
	}
	boxes[0].site.Platform.SetBoxes(infos)
	for _, g := range boxes {
		g.box.peers.Refresh(context.Background())
	}
}

func (g *rig) runCLI(code int, want string, args ...string) string {
	g.t.Helper()
	var out, errOut bytes.Buffer
	args = append([]string{"--box", "http://" + g.box.Operators, "--key", demo.OperatorKey}, args...)
	got := cli.Main(args, &out, &errOut)
	if all := out.String() + errOut.String(); got != code || !strings.Contains(all, want) {
		g.t.Errorf("%v: expected exit %d with %q, got exit %d with:\n%s", args, code, want, got, all)
	}
	return out.String()
}

func (g *rig) configWithExtraClient(n int) string {
	return fmt.Sprintf("%s\n[client extra%d]\nkey_sha256 = %s\n", g.site.Shared, n, config.KeyDigest(fmt.Sprint(n)))
}

// The command line tool names the boxes that lag behind a configuration. It reports the configuration as in force only
// once all live boxes use it.
func TestConfigInForceEverywhere(t *testing.T) {
	t.Parallel()
	a := newRig(t, smallSite())
	b, c := a.addBox("box2"), a.addBox("box3")
	listBoxes(a, b, c)
	a.runCLI(0, "in force on all live boxes (3)", "config", "apply", writeFile(t, a.configWithExtraClient(1)), "--base", "1")
	for _, g := range []*rig{a, b, c} {
		if v := g.box.Gateway.Config().Version; v != 2 {
			t.Errorf("%s has version %d in force after the tool said all have 2", g.box.cfg.Name, v)
		}
	}
	_ = c.box.Stop()
	a.runCLI(1, "not in force after", "config", "apply", writeFile(t, a.configWithExtraClient(2)), "--base", "2")
	a.runCLI(1, "box3", "config", "apply", writeFile(t, a.configWithExtraClient(3)), "--base", "3")
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := t.TempDir() + "/shared.ini"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// A box may start while the platform's configuration table is down. It then fetches the accepted configuration from
// another box. Once the table is back, the new box reads the next version from the table.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	a := newRig(t, smallSite())
	listBoxes(a)
	a.site.Platform.SetDown(true)
	b := a.addBox("box2")
	b.eventually("the new box is ready", b.box.Gateway.Ready)
	b.expectWhole(b.stream("hello", 3), "hello", 3)
	a.site.Platform.SetDown(false)
	a.reconfigure(a.configWithExtraClient(1))
	b.eventually("the new box follows", func() bool { return b.box.Gateway.Config().Version == 2 })
}

// Any box can explain how a request was served. This also holds after the box that served the request is gone.
func TestWhyFromAnyBox(t *testing.T) {
	t.Parallel()
	a := newRig(t, smallSite())
	b := a.addBox("box2")
	listBoxes(a, b)
	b.eventually("it is ready", b.box.Gateway.Ready)
	id := b.stream("hello", 3).id
	a.runCLI(0, "Answered whole", "why", id)
	a.runCLI(5, "no record", "why", "box2-x-y-1")
	_ = b.box.Stop()
	listBoxes(a)
	a.runCLI(0, "Answered whole", "why", id)
}

// Requests with the same idempotency key run at most once, even if they are sent to different boxes.
func TestKeyThroughManyBoxes(t *testing.T) {
	t.Parallel()
	a := newRig(t, smallSite())
	boxes := []*rig{a, a.addBox("box2"), a.addBox("box3")}
	for _, g := range boxes {
		g.eventually("it is ready", g.box.Gateway.Ready)
	}
	for key := range 10 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		whole := 0
		for _, g := range boxes {
			wg.Go(func() {
				v := g.stream("certify", 5, repeatableHeader, "no", "Idempotency-Key", fmt.Sprint(key))
				mu.Lock()
				defer mu.Unlock()
				if v.done {
					whole++
				} else if v.reason != outcome.KeyRunning.String() && v.reason != outcome.KeyDone.String() {
					t.Errorf("unexpected refusal %+v", v)
				}
			})
		}
		wg.Wait()
		if whole != 1 {
			t.Errorf("key %d: expected one answer, got %d", key, whole)
		}
	}
	if n := a.calls().Decodes; n != 10 {
		t.Errorf("expected 10 runs, engines saw %d", n)
	}
}

// A client account's limit applies to all boxes together. Each box is granted a share of the limit. The share follows
// the number of requests that the box receives.
func TestLimitAcrossBoxes(t *testing.T) {
	t.Parallel()
	o := smallSite()
	o.Client = "requests = 40"
	a := newRig(t, o)
	boxes := []*rig{a, a.addBox("box2"), a.addBox("box3")}
	listBoxes(boxes...)
	for _, g := range boxes {
		g.eventually("it is ready", g.box.Gateway.Ready)
	}
	ask := func(g *rig, n int) (granted int) {
		for range n {
			if _, ok := g.box.limits.Take(time.Now(), "demo", limit.Set{Requests: limit.Rule{Rate: 40}}); ok {
				granted++
			}
		}
		return granted
	}
	// Three quarters of the requests arrive at the first box, and one quarter at the second.
	for range 3 {
		ask(boxes[0], 90)
		ask(boxes[1], 30)
		for _, g := range boxes {
			g.box.grants.Exchange(context.Background(), time.Second)
		}
	}
	if got := boxes[0].box.limits.ShareOf("demo"); got < 0.7 || got > 0.8 {
		t.Errorf("expected a share of three quarters for the box with the most demand, got %.2f", got)
	}
	_ = boxes[1].box.Stop()
	_ = boxes[2].box.Stop()
	ask(boxes[0], 90)
	boxes[0].box.grants.Exchange(context.Background(), time.Second)
	if got := boxes[0].box.limits.ShareOf("demo"); got > 0.8 {
		t.Errorf("expected a conservative share while the other boxes may only be unreachable, got %.2f", got)
	}
}
