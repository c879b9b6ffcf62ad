package box

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/standin"
)

// rig is a test set-up: one box in front of stand-in engines and services.
type rig struct {
	t    *testing.T
	site *demo.Site
	box  *Box
	done chan error
}

func newRig(t *testing.T, o demo.Options) *rig {
	t.Helper()
	site, err := demo.Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ParseBox("test", []byte(site.Settings))
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, site: site, box: b, done: make(chan error, 1)}
	go func() { g.done <- b.Run() }()
	t.Cleanup(func() {
		_ = b.Stop()
		<-g.done
		site.Close()
	})
	g.eventually("the box is ready", func() bool { return b.Gateway.Ready() })
	return g
}

func smallSite() demo.Options {
	return demo.Options{Prefills: 2, Decodes: 3, Model: demo.DefaultModel(), Route: "first_token = 20s\nbetween_tokens = 1s"}
}

// eventually waits until a condition is true, and fails the test after 20 s.
func (g *rig) eventually(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	g.t.Fatalf("%s: did not come true", what)
}

func (g *rig) post(ctx context.Context, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.box.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+demo.ClientKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// reply is what a caller saw.
type reply struct {
	status int
	id     string
	text   string // The answer's text.
	done   bool   // The end mark arrived.
	broken bool   // The connection closed without a proper end.
	reason string // The reason of a refusal or an error event.
	run    string
	header http.Header
}

type replyError struct {
	Error struct{ Reason, Run string }
}

// stream requests a streamed completion and reads it to its end.
func (g *rig) stream(prompt string, max int, header ...string) reply {
	g.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, demo.Model, prompt, max)
	resp, err := g.post(context.Background(), "/v1/completions", body, header...)
	if err != nil {
		return reply{broken: true, text: err.Error()}
	}
	defer resp.Body.Close()
	return readReply(resp)
}

func readReply(resp *http.Response) reply {
	v := reply{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		var e replyError
		_ = json.NewDecoder(resp.Body).Decode(&e)
		v.reason, v.run = e.Error.Reason, e.Error.Run
		return v
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		v.line(sc.Text())
	}
	v.broken = sc.Err() != nil
	return v
}

func (v *reply) line(s string) {
	data, ok := strings.CutPrefix(s, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		v.done = true
		return
	}
	var c struct {
		replyError
		ID      string
		Choices []struct{ Text string }
	}
	_ = json.Unmarshal([]byte(data), &c)
	if c.Error.Reason != "" {
		v.reason, v.run = c.Error.Reason, c.Error.Run
	}
	for _, ch := range c.Choices {
		v.text += ch.Text
	}
}

// wantText is the text that the stand-in engines generate for a prompt, max words long.
func wantText(prompt string, max int) string { return standin.Answer(prompt, max) }

func (g *rig) expectWhole(v reply, prompt string, max int) {
	g.t.Helper()
	if v.text != wantText(prompt, max) || !v.done || v.broken {
		g.t.Errorf("expected the whole answer to %.40q, got %+v", prompt, v)
	}
}

func (g *rig) expectRefused(v reply, status int, reason outcome.Reason, run string) {
	g.t.Helper()
	if v.status != status || v.reason != reason.String() || v.run != run {
		g.t.Errorf("expected %d %s %s, got %d %s %s", status, reason, run, v.status, v.reason, v.run)
	}
}

// expectIdle waits until no engine reserves memory.
func (g *rig) expectIdle() {
	g.t.Helper()
	g.eventually("all engine memory is free", func() bool {
		for _, e := range append(g.site.Prefills, g.site.Decodes...) {
			if results, tokens := e.Reserved(); results != 0 || tokens != 0 {
				return false
			}
		}
		return true
	})
}

func TestStreamIsWhole(t *testing.T) {
	g := newRig(t, smallSite())
	v := g.stream("did unit 7 pass?", 20)
	g.expectWhole(v, "did unit 7 pass?", 20)
	g.expectIdle()
}

func TestPlainAnswerAndService(t *testing.T) {
	g := newRig(t, smallSite())
	resp, err := g.post(context.Background(), "/v1/completions", `{"model":"verdict-lm","prompt":"x","max_tokens":3}`)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var c struct {
		Choices []struct{ Text, Finish_reason string }
		Usage   struct{ Completion_tokens int }
	}
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	if len(c.Choices) != 1 || c.Choices[0].Text != wantText("x", 3) || c.Choices[0].Finish_reason != "length" || c.Usage.Completion_tokens != 3 {
		t.Errorf("unexpected answer %+v", c)
	}
	resp, err = g.post(context.Background(), "/bookings/a//b?x=1", "bench 4")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, _ := io.ReadAll(resp.Body); string(b) != "POST /bookings/a//b?x=1 7 bytes\nbench 4" {
		t.Errorf("unexpected answer %q", b)
	}
}

func TestRefusalsSayNotRun(t *testing.T) {
	g := newRig(t, smallSite())
	for _, c := range []struct {
		path, body string
		status     int
		reason     outcome.Reason
	}{
		{"/v1/completions", `{"model":"verdict-lm",`, 400, outcome.BadRequest},
		{"/v1/completions", `{"model":"nope","prompt":"x"}`, 404, outcome.UnknownModel},
		{"/v1/completions", `{"model":"verdict-lm","prompt":"x","max_tokens":999999}`, 400, outcome.PromptTooLong},
		{"/v1/nothing", ``, 404, outcome.UnknownPath},
		{"/v1/models", ``, 405, outcome.WrongMethod},
	} {
		resp, err := g.post(context.Background(), c.path, c.body)
		if err != nil {
			t.Fatal(err)
		}
		g.expectRefused(readReply(resp), c.status, c.reason, "not_run")
		resp.Body.Close()
	}
	resp, err := g.post(context.Background(), "/v1/completions", `{}`, "Authorization", "Bearer wrong")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	g.expectRefused(readReply(resp), 401, outcome.UnknownKey, "not_run")
}
