// Package engine is the adapter for model engines: it speaks their streaming
// completion HTTP and turns every way a call can fail into a typed CallError.
//
// The protocol is that of engines with separate prefill and decode: a prefill is
// a completion of one token that answers with kv_transfer_params, a decode is a
// completion that is given them. Chunks carry their token offset as the id of
// the server-sent event, so a stream can be resumed with Last-Event-ID.
package engine

import "encoding/json"

// Paths of an engine's HTTP interface.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	AbortPath      = "/abort"
	ResumePath     = "/resume"
	LoadPath       = "/load"
	TakePath       = "/kv/take"
	EventsPath     = "/cache_events"
)

// LoadHeader carries a Load as JSON on every answer of an engine, so that load
// is known without asking for it.
const LoadHeader = "X-Engine-Load"

// KVParams passes a KV cache between engines.
type KVParams struct {
	// Prefill asks the engine to keep the KV cache for another engine.
	Prefill bool `json:"do_remote_decode,omitempty"`
	// Handle names the kept KV cache on the engine at Remote.
	Handle string `json:"handle,omitempty"`
	Remote string `json:"remote_addr,omitempty"`
	// ExpiresMS is how long from the answer the KV cache is kept, in milliseconds.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes,omitempty"`
}

// Params are the fields the router sets on every call, over the caller's own.
type Params struct {
	RequestID     string         `json:"request_id"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Priority      int            `json:"priority"`
	KV            KVParams       `json:"kv_transfer_params"`
}

// Overridden lists the caller's fields that Params replaces.
var Overridden = []string{"request_id", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "kv_transfer_params"}

// StreamOptions asks for the usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// PrefillAnswer is what a prefill engine answers.
type PrefillAnswer struct {
	ID    string   `json:"id"`
	Usage Usage    `json:"usage"`
	KV    KVParams `json:"kv_transfer_params"`
}

// Usage counts tokens, in the OpenAI form.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails says how much of a prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's report of its load. AgeMS says how old the figures are.
type Load struct {
	AgeMS        int64 `json:"age_ms"`
	QueuedTokens int   `json:"queued_tokens"`
	FreeKV       int   `json:"free_kv_tokens"`
	Streams      int   `json:"streams"`
	Leaving      bool  `json:"leaving"`
}

// AbortRequest frees everything the engine holds for a call.
type AbortRequest struct {
	RequestID string `json:"request_id"`
}

// TakeRequest is sent by a decode engine to a prefill engine.
type TakeRequest struct {
	Handle string `json:"handle"`
}

// Error codes an engine answers with, in the OpenAI error form.
const (
	CodeNotRun    = "not_run" // The engine is sure that it ran nothing of the request.
	CodeKVExpired = "kv_expired"
)

// ErrorBody is the OpenAI error form.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inside of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// body joins the router's fields with what remains of the caller's. rest is a
// JSON object without any overridden field.
func body(p Params, rest []byte) ([]byte, error) {
	own, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	if len(rest) <= len("{}") {
		return own, nil
	}
	out := make([]byte, 0, len(own)+len(rest))
	out = append(out, own[:len(own)-1]...)
	out = append(out, ',')
	return append(out, rest[1:]...), nil
}
