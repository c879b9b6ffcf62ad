package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// completionWriter writes the chunks of an engine's answer to the caller. It writes them as a stream of events or as
// one JSON document.
type completionWriter interface {
	chunk(c *engine.Chunk, flush bool) error
	// end completes the response. It is called only when the engine has sent the whole answer. u may be nil.
	end(u *engine.Usage) error
}

func newCompletionWriter(x *exchange, req *completionRequest) completionWriter {
	id := "cmpl-" + x.rec.ID
	if req.Chat {
		id = "chatcmpl-" + x.rec.ID
	}
	if !req.Stream {
		return &bufferedWriter{x: x, chat: req.Chat, id: id}
	}
	quoted, _ := json.Marshal(id)
	return &streamWriter{x: x, rc: http.NewResponseController(x.w), id: string(quoted), usage: req.IncludeUsage}
}

// streamWriter forwards chunks as server-sent events. It writes nothing before the first token. So a request that fails
// before its first token can still be refused with an HTTP status.
type streamWriter struct {
	x             *exchange
	rc            *http.ResponseController
	id            string // The completion id sent to the caller, as a JSON string.
	usage         bool   // Whether the caller asked for a last chunk with the token counts (the usage chunk).
	buf           []byte
	writeDeadline time.Time // The write deadline that is now set on the connection.
}

func (s *streamWriter) chunk(c *engine.Chunk, flush bool) error {
	if !c.HasChoices && !s.usage {
		return nil
	}
	if !s.x.responseStarted {
		s.writeHeader()
	}
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, c.Data[:c.IDStart]...)
	s.buf = append(s.buf, s.id...)
	s.buf = append(s.buf, c.Data[c.IDEnd:]...)
	s.buf = append(s.buf, "\n\n"...)
	return s.write(flush)
}

func (s *streamWriter) writeHeader() {
	s.x.responseStarted = true
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no") // Tells a load balancer in front of the box not to buffer tokens.
	s.x.w.WriteHeader(http.StatusOK)
}

// write sends buf under a write deadline, which bounds how long a caller may leave the response unread. Each move of
// the deadline resets a timer. So write moves the deadline only after half of its time has passed.
func (s *streamWriter) write(flush bool) error {
	timeout := s.x.g.box.WriteTimeout
	if now := time.Now(); s.writeDeadline.Sub(now) < timeout/2 {
		s.writeDeadline = now.Add(timeout)
		_ = s.rc.SetWriteDeadline(s.writeDeadline)
	}
	if _, err := s.x.w.Write(s.buf); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.rc.Flush()
}

func (s *streamWriter) end(*engine.Usage) error {
	if !s.x.responseStarted {
		s.writeHeader()
	}
	s.buf = append(s.buf[:0], "data: [DONE]\n\n"...)
	return s.write(true)
}

// abortStream shows the caller that its stream is incomplete. It sends an error event instead of the end marker. Then
// it closes the connection without the chunk that ends an HTTP response.
func (x *exchange) abortStream(o outcome.Outcome) {
	o.Kind = outcome.CutOff
	b, _ := json.Marshal(refusalOf(o, x.rec.ID))
	_, _ = x.w.Write(append(append([]byte("data: "), b...), "\n\n"...))
	_ = http.NewResponseController(x.w).Flush()
	x.finish(o)
	panic(http.ErrAbortHandler)
}

// bufferedWriter collects the chunks of an answer into one JSON response. It serves a caller that did not ask for a
// stream.
type bufferedWriter struct {
	x       *exchange
	chat    bool
	id      string
	model   string
	created int64
	choices []choice
}

type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []any         `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

// choice collects the pieces of one choice. A request may ask for several alternative answers, called choices.
type choice struct {
	text         strings.Builder
	reasoning    strings.Builder
	refusal      strings.Builder
	role         string
	finishReason string
	logprobs     []json.RawMessage
	toolCalls    []toolCall
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

func (w *bufferedWriter) chunk(c *engine.Chunk, _ bool) error {
	doc := gjson.Parse(c.Data)
	if m := doc.Get("model").Str; m != "" {
		w.model = m
	}
	if t := doc.Get("created").Int(); t != 0 && w.created == 0 {
		w.created = t
	}
	doc.Get("choices").ForEach(func(_, v gjson.Result) bool {
		i := int(v.Get("index").Int())
		if i < 0 || i >= maxChoices {
			return true
		}
		for len(w.choices) <= i {
			w.choices = append(w.choices, choice{})
		}
		w.choices[i].add(v)
		return true
	})
	return nil
}

func (c *choice) add(v gjson.Result) {
	if f := v.Get("finish_reason"); f.Type == gjson.String {
		c.finishReason = f.Str
	}
	v.Get("logprobs.content").ForEach(func(_, p gjson.Result) bool {
		c.logprobs = append(c.logprobs, json.RawMessage(p.Raw))
		return true
	})
	c.text.WriteString(v.Get("text").Str)
	delta := v.Get("delta")
	c.text.WriteString(delta.Get("content").Str)
	c.reasoning.WriteString(delta.Get("reasoning_content").Str)
	c.refusal.WriteString(delta.Get("refusal").Str)
	if r := delta.Get("role").Str; r != "" {
		c.role = r
	}
	delta.Get("tool_calls").ForEach(func(_, t gjson.Result) bool {
		c.addToolCall(t)
		return true
	})
}

// addToolCall adds a piece of a tool call. The first piece of a tool call carries the function's name. Later pieces
// append to the function's arguments.
func (c *choice) addToolCall(t gjson.Result) {
	i := int(t.Get("index").Int())
	if i < 0 || i > len(c.toolCalls) {
		return
	}
	if i == len(c.toolCalls) {
		c.toolCalls = append(c.toolCalls, toolCall{Type: "function"})
	}
	tool := &c.toolCalls[i]
	if id := t.Get("id").Str; id != "" {
		tool.ID = id
	}
	tool.Function.Name += t.Get("function.name").Str
	tool.Function.Arguments += t.Get("function.arguments").Str
}

type chatChoice struct {
	Index    int         `json:"index"`
	Message  chatMessage `json:"message"`
	Logprobs *logprobs   `json:"logprobs"`
	Finish   string      `json:"finish_reason"`
}

type chatMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Reasoning string     `json:"reasoning_content,omitempty"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type textChoice struct {
	Index    int       `json:"index"`
	Text     string    `json:"text"`
	Logprobs *logprobs `json:"logprobs"`
	Finish   string    `json:"finish_reason"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
}

// end writes the response with its Content-Length. So a caller can detect that the connection broke in the middle of
// the response.
func (w *bufferedWriter) end(u *engine.Usage) error {
	out := completion{ID: w.id, Object: "text_completion", Created: w.created, Model: w.model, Usage: u}
	if w.chat {
		out.Object = "chat.completion"
	}
	for i := range w.choices {
		out.Choices = append(out.Choices, w.choices[i].result(i, w.chat))
	}
	b, err := json.Marshal(out)
	if err != nil {
		return err
	}
	w.x.responseStarted = true
	w.x.w.Header().Set("Content-Type", "application/json")
	rc := http.NewResponseController(w.x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(w.x.g.box.WriteTimeout))
	if _, err := w.x.w.Write(b); err != nil {
		return err
	}
	return rc.Flush()
}

func (c *choice) result(i int, chat bool) any {
	var lp *logprobs
	if len(c.logprobs) > 0 {
		lp = &logprobs{c.logprobs}
	}
	if !chat {
		return textChoice{Index: i, Text: c.text.String(), Logprobs: lp, Finish: c.finishReason}
	}
	msg := chatMessage{Role: "assistant", Reasoning: c.reasoning.String(), ToolCalls: c.toolCalls}
	if c.role != "" {
		msg.Role = c.role
	}
	if s := c.text.String(); s != "" || len(c.toolCalls) == 0 {
		msg.Content = &s
	}
	if s := c.refusal.String(); s != "" {
		msg.Refusal = &s
	}
	return chatChoice{Index: i, Message: msg, Logprobs: lp, Finish: c.finishReason}
}
