package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
)

// boxFileEnv is an environment variable that names a settings file. If it is set, the test program runs no tests, but a
// relay box with these settings. So tests can kill a real process.
const boxFileEnv = "STOATRAMP_TEST_BOX"

func TestMain(m *testing.M) {
	if file := os.Getenv(boxFileEnv); file != "" {
		cmd := relayCmd{File: file}
		err := cmd.Run()
		_ = logOutput.Sync() // As main does.
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// boxProcess is a box in a process of its own.
type boxProcess struct {
	t    *testing.T
	cmd  *exec.Cmd
	log  logBuffer
	done chan struct{}
	// Callers, Readiness and Operators are the addresses that the box listens on.
	Callers, Readiness, Operators string
}

// startBoxProcess starts box n with boxSettings, and waits until it is ready.
func startBoxProcess(t *testing.T, n int, more, store string) *boxProcess {
	t.Helper()
	p := launchBox(t, fmt.Sprintf(boxSettings, n, config.KeyDigest(operatorKey), more, store))
	p.awaitReady()
	return p
}

// launchBox starts a box and waits until it listens.
func launchBox(t *testing.T, settings string) *boxProcess {
	t.Helper()
	return launch(t, settings, os.Args[0])
}

// launch starts a box with a program and its arguments, and waits until it listens.
func launch(t *testing.T, settings, program string, args ...string) *boxProcess {
	t.Helper()
	file := t.TempDir() + "/box.ini"
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &boxProcess{t: t, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), boxFileEnv+"="+file, "STOATRAMP_BOOT="+file)
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	listening := make(chan struct{})
	go func() {
		defer close(p.done)
		p.readLog(out, listening)
		_ = p.cmd.Wait()
	}()
	select {
	case <-listening:
	case <-p.done:
		t.Fatal("the box ended at its start")
	case <-time.After(20 * time.Second):
		t.Fatal("the box does not start")
	}
	return p
}

// readLog collects the box's log. It closes listening once the log names the box's addresses.
func (p *boxProcess) readLog(out interface{ Read([]byte) (int, error) }, listening chan struct{}) {
	var once sync.Once
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = p.log.Write(append(lines.Bytes(), '\n'))
		var doc struct{ Msg, Callers, Readiness, Operators string }
		if json.Unmarshal(lines.Bytes(), &doc) == nil && doc.Callers != "" {
			once.Do(func() {
				p.Callers, p.Readiness, p.Operators = doc.Callers, doc.Readiness, doc.Operators
				close(listening)
			})
		}
	}
}

func (p *boxProcess) awaitReady() {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + p.Readiness + "/stoatramp/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			p.t.Fatal("expected the box to be ready")
		}
	}
}

// serveHTTP serves a handler on a free port, and returns its address. At the end of the test it does not wait for handlers: one
// that answers nothing may not notice that its caller has gone.
func serveHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String()
}

func (p *boxProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the box by SIGKILL and waits for its end.
func (p *boxProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
