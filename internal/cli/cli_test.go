package cli

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/box"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
)

func TestMain(m *testing.M) {
	box.UseLog(zap.NewNop())
	os.Exit(m.Run())
}

func startBox(t *testing.T) *box.Box {
	t.Helper()
	site, err := demo.Start(context.Background(), demo.Options{Prefills: 1, Decodes: 1, Model: demo.DefaultModel()})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ParseBox("test", []byte(site.Settings))
	if err != nil {
		t.Fatal(err)
	}
	b, err := box.New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- b.Run() }()
	t.Cleanup(func() {
		_ = b.Stop()
		<-done
		site.Close()
	})
	for !b.Gateway.Ready() {
		time.Sleep(5 * time.Millisecond)
	}
	return b
}

// expectRun runs the tool with args and expects the exit code and an output that contains want. The tool calls box b,
// unless b is nil.
func expectRun(t *testing.T, b *box.Box, code int, want string, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	if b != nil {
		args = append([]string{"--box", "http://" + b.Operators, "--key", demo.OperatorKey}, args...)
	}
	got := Main(args, &out, &errOut)
	all := out.String() + errOut.String()
	if got != code || !strings.Contains(all, want) {
		t.Errorf("%v: expected exit %d with %q, got exit %d with:\n%s", args, code, want, got, all)
	}
	return out.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := t.TempDir() + "/" + name
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func sendRequest(t *testing.T, b *box.Box) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+b.Callers+"/v1/completions", strings.NewReader(`{"model":"verdict-lm","prompt":"x","max_tokens":2}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.ClientKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.Header.Get("X-Request-Id")
}

func TestAsking(t *testing.T) {
	b := startBox(t)
	id := sendRequest(t, b)
	expectRun(t, b, exitOK, "Answered whole", "why", id)
	expectRun(t, b, exitOK, "prefill-1 was chosen", "why", id)
	expectRun(t, b, exitOK, `"outcome": "answered"`, "--json", "why", id)
	expectRun(t, b, exitNotFound, "no record", "why", "box1-x-y-1")
	expectRun(t, b, exitOK, "prefill-1", "status")
	expectRun(t, b, exitOK, `"config_version": "1"`, "--json", "status")
	expectRun(t, b, exitUsage, "unexpected argument", "stats")
	expectRun(t, b, exitFailed, "key is missing or wrong", "--key", "wrong", "status")
}

func TestConfigRound(t *testing.T) {
	b := startBox(t)
	text := expectRun(t, b, exitOK, "# version 1\n[pool", "config", "get")
	file := writeFile(t, "shared.ini", text+"\n[client second]\nkey_sha256 = "+config.KeyDigest("second")+"\n")
	expectRun(t, b, exitOK, "ok", "config", "check", file)
	expectRun(t, b, exitOK, "+[client second]", "config", "diff", file)
	expectRun(t, b, exitOK, "Accepted as version 2 and in force on all live boxes (1)", "config", "apply", file, "--author", "ana")
	expectRun(t, b, exitConflict, "+[client second]", "config", "apply", file)
	expectRun(t, b, exitOK, "ana", "config", "history")
	bad := writeFile(t, "bad.ini", text+"\n[route r2]\nmodel = nope\npolcy = x\n")
	expectRun(t, b, exitProblems, "polcy: is not a known key of [route]", "config", "check", bad)
	expectRun(t, b, exitProblems, `no pool serves "nope"`, "config", "apply", bad)
	expectRun(t, b, exitUsage, "which version was it made from", "config", "apply", writeFile(t, "x.ini", "[pool x]\n"))
}

func TestPolicyCommands(t *testing.T) {
	dir := t.TempDir()
	program, cases := dir+"/p.star", dir+"/p_test.star"
	save := func(file, text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	save(program, "def admit(request, pool): return run()")
	save(cases, `expect("runs", admit(request(), pool()), run())`)
	expectRun(t, nil, exitOK, "ok", "policy", "check", program)
	expectRun(t, nil, exitOK, "runs: ok", "policy", "test", program)
	expectRun(t, nil, exitOK, "admit:", "policy", "bench", program, "--n", "10")
	save(cases, `expect("runs", admit(request(), pool()), wait())`)
	expectRun(t, nil, exitProblems, "1 of 1 cases failed", "policy", "test", program)
	save(program, "def admit(request): return run()")
	expectRun(t, nil, exitProblems, "expected 2", "policy", "check", program)
}
