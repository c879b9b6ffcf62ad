// Package engine calls language model engines. It implements their streaming completion API over HTTP. It maps every
// failure of a call to a typed CallError.
//
// A prefill engine processes the prompt, and a decode engine generates the answer. A prefill call is a completion of
// one token. Its response contains kv_transfer_params, and the decode call repeats these parameters in its request.
// They contain a handle. With the handle, the decode engine fetches the prompt's KV cache from the prefill engine. The
// id of each server-sent event is the number of its chunk. So a stream can be resumed with Last-Event-ID.
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

// LoadHeader is a header that engines set on every response. It carries a Load as JSON. So the router learns the load
// without a probe, which is a separate query.
const LoadHeader = "X-Engine-Load"

// KVParams describe how the KV cache of a prompt gets from a prefill engine to a decode engine.
type KVParams struct {
	// Prefill tells the engine to keep the KV cache of the prompt until a decode engine fetches it.
	Prefill bool `json:"do_remote_decode,omitempty"`
	// Handle identifies the KV cache on the prefill engine. Remote is the address of that engine.
	Handle string `json:"handle,omitempty"`
	Remote string `json:"remote_addr,omitempty"`
	// ExpiresMS is how long the prefill engine keeps the KV cache after its response, in milliseconds.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes,omitempty"`
}

// Params are the fields that the router sets in every call. They replace the caller's fields of the same names.
type Params struct {
	RequestID     string         `json:"request_id"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Priority      int            `json:"priority"`
	KV            KVParams       `json:"kv_transfer_params"`
}

// OverriddenFields lists the fields that are removed from the caller's body, because the router sets them in Params.
var OverriddenFields = []string{"request_id", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "kv_transfer_params"}

// StreamOptions asks the engine to end a stream with a chunk that holds the token counts.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// PrefillResponse is an engine's response to a prefill call.
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

// PromptDetails says how many tokens of the prompt the engine had in its prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's load report. AgeMS is the age of the report's numbers in milliseconds. FreeKV is the free memory
// for KV caches in tokens. Leaving means that the engine is about to stop.
type Load struct {
	AgeMS        int64 `json:"age_ms"`
	QueuedTokens int   `json:"queued_tokens"`
	FreeKV       int   `json:"free_kv_tokens"`
	Streams      int   `json:"streams"`
	Leaving      bool  `json:"leaving"`
}

// AbortRequest names the call to abort, or the call whose stream to resume.
type AbortRequest struct {
	RequestID string `json:"request_id"`
}

// TakeRequest is sent by a decode engine to a prefill engine to fetch the KV cache that Handle identifies.
type TakeRequest struct {
	Handle string `json:"handle"`
}

// Error codes of an engine, in the OpenAI error format.
const (
	CodeNotRun    = "not_run" // The engine guarantees that it ran no part of the request.
	CodeKVExpired = "kv_expired"
)

// ErrorBody is an error response in the OpenAI format.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error in an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// encodeBody merges the router's fields with rest. rest is a JSON object of the caller's fields, without the fields in
// OverriddenFields.
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
