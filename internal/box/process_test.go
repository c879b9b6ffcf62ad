package box

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// boxFileEnv is an environment variable that names a settings file. If it is set, the test program runs no tests, but
// a box with these settings. So tests can kill a real process.
const boxFileEnv = "STOATRAMP_TEST_BOX"

func TestMain(m *testing.M) {
	file := os.Getenv(boxFileEnv)
	if file == "" {
		UseLog(zap.NewNop())
		os.Exit(m.Run())
	}
	os.Exit(runBox(file))
}

func runBox(file string) int {
	cfg, err := config.LoadBox(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 3
	}
	b, err := New(cfg, telemetry.NewLogger(os.Stderr))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 3
	}
	fmt.Printf("%s %s\n", b.Callers, b.Operators)
	if err := b.Run(); errors.Is(err, ErrRequestsCutOff) {
		return 2
	} else if err != nil {
		return 3
	}
	return 0
}

// process is a box that runs in its own process, with the methods of rig to send requests to it.
type process struct {
	*rig
	cmd    *exec.Cmd
	stderr bytes.Buffer
}

func startProcess(t *testing.T, o demo.Options) *process {
	t.Helper()
	t.Parallel()
	site, err := demo.Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	file := t.TempDir() + "/box.ini"
	if err := os.WriteFile(file, []byte(site.Settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{rig: &rig{t: t, site: site, box: &Box{}}}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), boxFileEnv+"="+file)
	p.cmd.Stderr = &p.stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	if _, err := fmt.Fscan(out, &p.box.Callers, &p.box.Operators); err != nil {
		t.Fatalf("the box did not start: %v", err)
	}
	p.eventually("the box is ready", func() bool {
		resp, err := http.Get("http://" + p.box.Callers + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// startStream begins a long answer. It returns once a decode engine has reserved memory for the answer. The channel
// delivers the reply.
func (p *process) startStream(prompt string, max int) chan reply {
	got := make(chan reply, 1)
	go func() { got <- p.stream(prompt, max) }()
	p.eventually("tokens are being made", func() bool { return holdMemory(p.site.Decodes) })
	return got
}

func (p *process) signal(sig syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// When a box is killed, its callers can see that their streams are incomplete. The engines free their memory by
// themselves.
func TestKilledBox(t *testing.T) {
	p := startProcess(t, smallSite())
	got := p.startStream("a long story", 5000)
	p.signal(syscall.SIGKILL)
	v := <-got
	if v.done || !v.broken {
		t.Errorf("expected a broken stream, got done=%v broken=%v", v.done, v.broken)
	}
	p.expectIdle()
	p.logReply(v)
}

// After SIGTERM the box finishes its running requests and exits with code 0. SIGURG does not stop the box. The Go
// runtime regularly sends that signal to its own process.
func TestTermDrains(t *testing.T) {
	p := startProcess(t, smallSite())
	p.signal(syscall.SIGURG)
	got := p.startStream("a story", 200)
	p.signal(syscall.SIGTERM)
	p.expectWhole(<-got, "a story", 200)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("expected exit 0, got %v", err)
	}
}

// After a second SIGTERM the box logs the requests that it cuts off, and exits with a code other than 0.
func TestSecondTermCuts(t *testing.T) {
	p := startProcess(t, smallSite())
	got := p.startStream("a long story", 5000)
	p.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond) // The system merges pending signals of one kind.
	p.signal(syscall.SIGTERM)
	v := <-got
	err := p.cmd.Wait()
	if v.done || !v.broken || p.cmd.ProcessState.ExitCode() != 2 {
		t.Errorf("expected a cut stream and exit 2, got done=%v broken=%v, %v", v.done, v.broken, err)
	}
	if !strings.Contains(p.stderr.String(), v.id) {
		t.Errorf("expected the log to name request %s", v.id)
	}
	p.expectIdle()
}
