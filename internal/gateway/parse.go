package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// ask is a completion request as the router understands it.
type ask struct {
	Chat         bool
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int // 0 where the caller gave no limit.
	Choices      int
	PromptTokens int // Estimated.
	Blocks       []uint64
	// Rest are the caller's fields but those in engine.Overridden, as a JSON object.
	Rest []byte
}

// askFields are the fields the router reads.
type askFields struct {
	Model               string                `json:"model"`
	Messages            json.RawMessage       `json:"messages"`
	Prompt              json.RawMessage       `json:"prompt"`
	Stream              bool                  `json:"stream"`
	StreamOptions       *engine.StreamOptions `json:"stream_options"`
	MaxTokens           *int                  `json:"max_tokens"`
	MaxCompletionTokens *int                  `json:"max_completion_tokens"`
	N                   *int                  `json:"n"`
}

const (
	// bytesPerToken estimates tokens from JSON text. Only predictions use it;
	// limits count the true tokens that the engine reports.
	bytesPerToken = 4
	// maxBlocks bounds the prefix looked at for affinity: 16,384 tokens.
	maxBlocks = 128
	// maxChoices bounds the answers of one request.
	maxChoices = 16
)

// parse reads and checks the body of a completion.
func (x *exchange) parse() (*ask, outcome.Outcome) {
	b, o := x.readBody()
	if b == nil {
		return nil, o
	}
	return parseAsk(b, x.r.URL.Path == engine.ChatPath)
}

// readBody holds the whole body, because the decision needs its length and
// prefix. Its size and the time it takes are bounded.
func (x *exchange) readBody() ([]byte, outcome.Outcome) {
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(x.g.box.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.g.box.MaxBody))
	if err == nil {
		// The deadline must not end the watch for a caller that hangs up.
		_ = rc.SetReadDeadline(time.Time{})
		return b, outcome.Outcome{}
	}
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return nil, outcome.Refuse(outcome.TooLarge, fmt.Sprintf("at most %d bytes", x.g.box.MaxBody))
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, outcome.Refuse(outcome.SlowBody, "")
	}
	return nil, outcome.Refuse(outcome.BadRequest, "the body ended early")
}

// parseAsk checks a body and takes out what the router sets itself.
func parseAsk(b []byte, chat bool) (*ask, outcome.Outcome) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, jsonPlace(b, err))
	}
	var f askFields
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, jsonPlace(b, err))
	}
	text, problem := f.check(chat)
	if problem != "" {
		return nil, outcome.Refuse(outcome.BadRequest, problem)
	}
	for _, name := range engine.Overridden {
		delete(all, name)
	}
	a := &ask{
		Chat:         chat,
		Model:        f.Model,
		Stream:       f.Stream,
		IncludeUsage: f.StreamOptions != nil && f.StreamOptions.IncludeUsage,
		MaxTokens:    f.limit(),
		Choices:      1,
		PromptTokens: max(1, len(text)/bytesPerToken),
		Blocks:       hashBlocks(text),
		Rest:         joinFields(all),
	}
	if f.N != nil {
		a.Choices = *f.N
	}
	return a, outcome.Outcome{}
}

// joinFields writes a JSON object of fields as the caller wrote them, byte for byte:
// encoding/json would escape and compact them, and the prefix would no longer hash
// to what engines report.
func joinFields(all map[string]json.RawMessage) []byte {
	out := []byte{'{'}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(out) > 1 {
			out = append(out, ',')
		}
		quoted, _ := json.Marshal(name) // A string always encodes.
		out = append(out, quoted...)
		out = append(out, ':')
		out = append(out, all[name]...)
	}
	return append(out, '}')
}

// check returns the text of the prompt, or what is wrong.
func (f *askFields) check(chat bool) ([]byte, string) {
	text, field := f.Prompt, "prompt"
	if chat {
		text, field = f.Messages, "messages"
	}
	switch {
	case f.Model == "":
		return nil, "model: expected the name of a model"
	case len(text) == 0 || string(text) == "null":
		return nil, field + ": is missing"
	case chat && text[0] != '[':
		return nil, "messages: expected a list"
	case f.N != nil && (*f.N < 1 || *f.N > maxChoices):
		return nil, fmt.Sprintf("n: expected 1 to %d", maxChoices)
	case f.MaxTokens != nil && *f.MaxTokens < 1:
		return nil, "max_tokens: expected 1 or more"
	case f.MaxCompletionTokens != nil && *f.MaxCompletionTokens < 1:
		return nil, "max_completion_tokens: expected 1 or more"
	}
	return text, ""
}

func (f *askFields) limit() int {
	if f.MaxCompletionTokens != nil {
		return *f.MaxCompletionTokens
	}
	if f.MaxTokens != nil {
		return *f.MaxTokens
	}
	return 0
}

// hashBlocks chains the hashes of the prompt's leading blocks.
func hashBlocks(text []byte) []uint64 {
	const size = engine.CacheBlockBytes // Of decide.BlockTokens tokens.
	n := min(len(text)/size, maxBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	h := xxhash.New()
	for i := range out {
		_, _ = h.Write(text[i*size : (i+1)*size])
		out[i] = h.Sum64()
	}
	return out
}

// jsonPlace says where a body stops being what was expected, by line and column.
func jsonPlace(b []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("%s: %v", place(b, syntax.Offset), syntax)
	case errors.As(err, &kind) && kind.Field != "":
		return fmt.Sprintf("%s: %s: expected %s, found %s", place(b, kind.Offset), kind.Field, kind.Type, kind.Value)
	case errors.As(err, &kind):
		return fmt.Sprintf("%s: expected a JSON object, found %s", place(b, kind.Offset), kind.Value)
	}
	return err.Error()
}

func place(b []byte, offset int64) string {
	line, column := 1, 1
	for _, c := range b[:min(int(offset), len(b))] {
		column++
		if c == '\n' {
			line, column = line+1, 1
		}
	}
	return fmt.Sprintf("line %d, column %d", line, max(1, column-1))
}
