// Package engine is the adapter for model engines: it implements their streaming
// completion API over HTTP and maps every failure of a call to a typed CallError.
//
// The protocol is that of engines with separate prefill and decode: a prefill is a
// completion of one token whose response has kv_transfer_params; a decode is a completion
// whose request has them. The id of each server-sent event is the token offset of its
// chunk, so a stream can be resumed with Last-Event-ID.
package engine

import "encoding/json"

// Paths of an engine's HTTP API.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	AbortPath      = "/abort"
	ResumePath     = "/resume"
	LoadPath       = "/load"
	TakePath       = "/kv/take"
	EventsPath     = "/cache_events"
)

// LoadHeader carries a Load as JSON on every response of an engine, so that the load is
// known without a probe.
const LoadHeader = "X-Engine-Load"

// KVParams describe the transfer of a KV cache between engines.
type KVParams struct {
	// Prefill tells the engine to keep the KV cache for another engine.
	Prefill bool `json:"do_remote_decode,omitempty"`
	// Handle identifies the KV cache kept on the engine at Remote.
	Handle string `json:"handle,omitempty"`
	Remote string `json:"remote_addr,omitempty"`
	// ExpiresMS is how long the KV cache is kept after the response, in milliseconds.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes,omitempty"`
}

// Params are the fields that the router sets on every call; they replace the caller's.
type Params struct {
	RequestID     string         `json:"request_id"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Priority      int            `json:"priority"`
	KV            KVParams       `json:"kv_transfer_params"`
}

// OverriddenFields lists the caller's fields that Params replaces.
var OverriddenFields = []string{"request_id", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "kv_transfer_params"}

// StreamOptions requests the usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// PrefillResponse is the response to a prefill.
type PrefillResponse struct {
	ID    string   `json:"id"`
	Usage Usage    `json:"usage"`
	KV    KVParams `json:"kv_transfer_params"`
}

// Usage counts tokens, in the OpenAI format.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails states how much of a prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's load report. AgeMS is the age of the figures in milliseconds.
type Load struct {
	AgeMS        int64 `json:"age_ms"`
	QueuedTokens int   `json:"queued_tokens"`
	FreeKV       int   `json:"free_kv_tokens"`
	Streams      int   `json:"streams"`
	Leaving      bool  `json:"leaving"`
}

// AbortRequest identifies the call to abort or to resume.
type AbortRequest struct {
	RequestID string `json:"request_id"`
}

// TakeRequest is sent by a decode engine to a prefill engine to fetch a KV cache.
type TakeRequest struct {
	Handle string `json:"handle"`
}

// Error codes of an engine, in the OpenAI error format.
const (
	CodeNotRun    = "not_run" // The engine guarantees that it ran nothing of the request.
	CodeKVExpired = "kv_expired"
)

// ErrorBody is the OpenAI error format.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error in an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// encodeBody merges the router's fields with the remaining fields of the caller. rest is
// a JSON object without any overridden field.
func encodeBody(p Params, rest []byte) ([]byte, error) {
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
