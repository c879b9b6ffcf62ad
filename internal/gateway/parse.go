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

// completionRequest is a parsed and validated completion request.
type completionRequest struct {
	Chat         bool
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int // 0 if the caller gave no limit.
	Choices      int
	PromptTokens int // Estimated from the length of the prompt.
	Blocks       []uint64
	// CallerFields is a JSON object with the fields of the caller's body, without those in engine.OverriddenFields.
	CallerFields []byte
}

// completionFields are the fields of a request body that the router reads.
type completionFields struct {
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
	// bytesPerToken is used to estimate the number of tokens of a prompt from its length. The estimate serves routing
	// only. Rate limits count the tokens that the engine reports.
	bytesPerToken = 4
	// maxPrefixBlocks bounds how many blocks of a prompt are hashed. The hashes serve to find engines that have the
	// start of the prompt in their prefix cache. 128 blocks are 16,384 tokens.
	maxPrefixBlocks = 128
	// maxChoices bounds the number of alternative answers ("choices") that one request may ask for.
	maxChoices = 16
)

// parse reads and validates the body of a completion request.
func (x *exchange) parse() (*completionRequest, outcome.Outcome) {
	b, o := x.readBody()
	if b == nil {
		return nil, o
	}
	return parseCompletion(b, x.r.URL.Path == engine.ChatPath)
}

// readBody buffers the whole body, because the choice of engines needs its length and its prefix. The size of the body
// and the time to read it are bounded.
func (x *exchange) readBody() ([]byte, outcome.Outcome) {
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(x.g.box.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.g.box.MaxBody))
	if err == nil {
		// Clear the read deadline. If the deadline passed during the response, net/http could no longer detect
		// that the caller disconnects.
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

// parseCompletion parses and validates a body, and removes the fields that the router sets itself. It returns the
// request. If the body is refused, it returns a nil request and the refusal.
func parseCompletion(b []byte, chat bool) (*completionRequest, outcome.Outcome) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, describeJSONError(b, err))
	}
	var f completionFields
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, describeJSONError(b, err))
	}
	text, problem := f.validate(chat)
	if problem != "" {
		return nil, outcome.Refuse(outcome.BadRequest, problem)
	}
	for _, name := range engine.OverriddenFields {
		delete(all, name)
	}
	req := &completionRequest{
		Chat:         chat,
		Model:        f.Model,
		Stream:       f.Stream,
		IncludeUsage: f.StreamOptions != nil && f.StreamOptions.IncludeUsage,
		MaxTokens:    f.maxTokens(),
		Choices:      1,
		PromptTokens: max(1, len(text)/bytesPerToken),
		Blocks:       hashBlocks(text),
		CallerFields: encodeFields(all),
	}
	if f.N != nil {
		req.Choices = *f.N
	}
	return req, outcome.Outcome{}
}

// encodeFields returns a JSON object with the given fields. Their values stay byte for byte as the caller wrote them.
// encoding/json would escape and compact the values. Engines would then report other hashes for the prompt's blocks
// than hashBlocks computes.
func encodeFields(all map[string]json.RawMessage) []byte {
	out := []byte{'{'}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(out) > 1 {
			out = append(out, ',')
		}
		quoted, _ := json.Marshal(name) // Marshalling a string never fails.
		out = append(out, quoted...)
		out = append(out, ':')
		out = append(out, all[name]...)
	}
	return append(out, '}')
}

// validate returns the text of the prompt. If a field is invalid, it returns a description of the problem instead.
func (f *completionFields) validate(chat bool) ([]byte, string) {
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

func (f *completionFields) maxTokens() int {
	if f.MaxCompletionTokens != nil {
		return *f.MaxCompletionTokens
	}
	if f.MaxTokens != nil {
		return *f.MaxTokens
	}
	return 0
}

// hashBlocks returns a hash for each whole block at the start of the prompt, up to maxPrefixBlocks. The hash of a block
// covers that block and all blocks before it.
func hashBlocks(text []byte) []uint64 {
	const size = engine.CacheBlockBytes // One block holds decide.BlockTokens tokens.
	n := min(len(text)/size, maxPrefixBlocks)
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

// describeJSONError formats a JSON error with its line and column.
func describeJSONError(b []byte, err error) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return fmt.Sprintf("%s: %v", position(b, syntaxErr.Offset), syntaxErr)
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return fmt.Sprintf("%s: %s: expected %s, found %s", position(b, typeErr.Offset), typeErr.Field, typeErr.Type, typeErr.Value)
	case errors.As(err, &typeErr):
		return fmt.Sprintf("%s: expected a JSON object, found %s", position(b, typeErr.Offset), typeErr.Value)
	}
	return err.Error()
}

func position(b []byte, offset int64) string {
	line, column := 1, 1
	for _, c := range b[:min(int(offset), len(b))] {
		column++
		if c == '\n' {
			line, column = line+1, 1
		}
	}
	return fmt.Sprintf("line %d, column %d", line, max(1, column-1))
}
