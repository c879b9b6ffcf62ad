// Package relay forwards requests and answers without changing their bodies. Routes are selected by host and path,
// and the decision core gets what it needs to know of a prompt from headers. The stages of a request are plain
// function calls with typed results:
//
//	route ► buffer the body ► check limits ► place/wait ► reserve memory ► prefill ► decode ► answer
//
// The interface Protocol hides the platform's encoding of headers, calls and answers.
package relay

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/notice"
)

// Kind is the kind of a route's requests: whether they may run again, and whether they are streamed.
type Kind uint8

// The kinds.
const (
	// Once requests run at most once for each attempt of the caller.
	Once Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered by engines with a sequence of events.
	Stream
)

var kindNames = [...]string{"once", "repeatable", "stream"}

func (k Kind) String() string { return kindNames[k] }

// Config is an accepted configuration.
type Config struct {
	Version int64
	// Digest distinguishes different texts of one version.
	Digest   Digest
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts maps the hash of a key to its client account. It is nil if the platform has no accounts; requests need
	// no key then.
	Accounts map[KeyHash]*Account
}

// Digest is the SHA-256 of a text.
type Digest [32]byte

// Limits limit callers' requests.
type Limits struct {
	MaxBody int64 // Bytes; at least 1.
}

// Route selects the services for the requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	Kind   Kind
	// Regions are the regions that may serve its requests; empty for the region of the box that receives them.
	Regions []string
	// Public routes need no key.
	Public bool
	// Priority is the priority of the route's requests, 0 the highest.
	Priority int
	// Resumable streams may be resumed at another endpoint. Such a stream may also run again.
	Resumable bool
	// Targets are the services that share the route; weights are positive.
	Targets []Target
	// Timeout limits the whole request. LatencyTarget is the latency target for an answer, or for the first event of a
	// stream, and EventGapTarget the target for the pause between two events.
	Timeout        time.Duration
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	// MaxEndpoints limits the endpoints that one request may run on; at least 1.
	MaxEndpoints int
	// callerTimeout is the longest time, in nanoseconds, that a caller of the route was willing to wait. A caller with
	// clearly less has been refused before (isReturning).
	callerTimeout atomic.Int64
}

// Target is a service of a route, with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Engines is nil for a plain service.
	Engines *EngineConfig
	// ColdDuration is how long an endpoint is cold after its start, and ColdRate the requests a second that it can handle
	// meanwhile; 0 if the service has no such period.
	ColdDuration time.Duration
	ColdRate     float64
}

// EngineConfig is the configuration of a service's engines.
type EngineConfig struct {
	// Slots is the number of streams that an engine runs at once; 0 if not known.
	Slots           int
	KVTokens        int
	KVBytesPerToken int
	LinkRate        float64 // Bytes a second.
	// HandleTTL is how long the result of a prefill is kept, and ReservationTTL the longest duration of a memory
	// reservation.
	HandleTTL      time.Duration
	ReservationTTL time.Duration
	// Migratable is set if a running stream can be migrated to another engine.
	Migratable bool
	// TokensPerEvent is the maximum number of tokens in one event.
	TokensPerEvent int
}

// Endpoint is an entry of the platform's list of endpoints.
type Endpoint struct {
	// ID identifies one start of the endpoint. All state of an endpoint is stored under its ID and discarded with it.
	ID string
	// Started is the time of its start, in Unix milliseconds by its own clock. It is 0 if the platform does not
	// publish it; each start then has an ID of its own anyway.
	Started int64
	Service string
	Address string
	Hall    string
	Role    decide.EngineRole // Engines only.
	Leaving bool
	// ColdLeft is the rest of its cold period when the entry was written; 0 if it was not cold.
	ColdLeft time.Duration
}

// RequestMeta has what the headers of a caller's request say.
type RequestMeta struct {
	ID string
	// Timeout is how long the caller will wait, from the start of the request; 0 if it does not say.
	Timeout      time.Duration
	Model        string
	PromptTokens int
	MaxOutput    int // Maximum number of tokens of the answer.
	// ExpectedOutput is the caller's estimate of the answer's tokens; 0 if it has none.
	ExpectedOutput int
	// PrefixHashes are chained hashes of the prompt's blocks that other prompts have in common.
	PrefixHashes []uint64
	// LastEvent is the event after which a stream is to be resumed; empty to start one.
	LastEvent string
	// Key is the hash of the request's key, if KeyState is OneKey.
	Key      KeyHash
	KeyState KeyState
}

// Run has the headers that the relay adds to a request for one endpoint.
type Run struct {
	// Account is the client account of the request; nil if it has none.
	Account *Account
	// Instance is the only endpoint that may run the request.
	Instance string
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// PrefillOnly requests a prefill only, whose result is kept.
	PrefillOnly bool
	// Source is where the KV cache of the prompt is; empty if the endpoint does the prefill.
	Source Source
	// Reservation is the name of the memory reservation; empty if there is none.
	Reservation string
	LastEvent   string
}

// Source identifies the result of a prefill.
type Source struct {
	Engine  string // The ID of the engine that stores it.
	Address string
	Handle  string
}

// Reply has what the relay reads from the header of an answer.
type Reply struct {
	// Signed is set if the answer has the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Notice has the limits or departure that the endpoint announces.
	Notice notice.Notice
}

// Call is a call to an endpoint that is not a caller's request.
type Call struct {
	Method string
	Target string
	Body   []byte
}

// Load is the load reported by an engine.
type Load struct {
	// Started is the start of the reporting engine, as in Endpoint.
	Started int64
	Role    decide.EngineRole
	Queued  int
	Running int
	KVUsed  int
	KVTotal int
	Leaving bool
	// ExecutingOrder is set while the engine carries out an order.
	ExecutingOrder bool
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Runs are its streams, measured in events rather than tokens.
	Runs []StreamLoad
	// Age is the maximum age of the figures.
	Age time.Duration
}

// StreamLoad is a stream that runs at an engine.
type StreamLoad struct {
	Tokens int // In memory.
	Events int // Generated so far.
}

// Migration is an engine's answer to a migration request.
type Migration struct {
	// Handle names the memory of the run, which was stopped and can be resumed with it: at the other engine if
	// Copied, and otherwise at the first one. It is empty if the run was not stopped.
	Handle string
	Copied bool
	// InProgress is set if an earlier request for the same migration has not been answered yet.
	InProgress bool
}

// Protocol encodes and decodes the platform's headers, calls and answers.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(r *http.Request) RequestMeta
	// SetHeaders sets a run's headers, replacing any that the caller sent under the same names.
	SetHeaders(h http.Header, run Run)
	// IsAnswerTo reports whether an answer belongs to the request of that id.
	IsAnswerTo(h http.Header, id string) bool
	// ParseReply reads the header of an answer.
	ParseReply(resp *http.Response) Reply
	// RemoveSignature removes the endpoint's signature from the header of an answer that the relay has changed.
	RemoveSignature(h http.Header)
	// ParsePrefill reads the answer to a PrefillOnly run.
	ParsePrefill(body []byte) (handle string, err error)

	// Reserve reserves memory at an engine; ParseReservation reads the answer.
	Reserve(tokens int, ttl time.Duration) Call
	ParseReservation(body []byte) (hold string, err error)
	// ReleaseReservation and ReleaseHandle free memory that is not needed any more.
	ReleaseReservation(hold string) Call
	ReleaseHandle(handle string) Call
	// Migrate asks an engine to stop the run of a request and to copy its memory to another engine; ParseMigration reads
	// the answer.
	Migrate(request, address string) Call
	ParseMigration(status int, body []byte) (Migration, error)
	// LoadCall requests an engine's load; ParseLoad reads the answer.
	LoadCall() Call
	ParseLoad(body []byte) (Load, error)
	// SetRole orders an engine to change its role, provided that it has accepted exactly that number of orders.
	SetRole(instance string, role decide.EngineRole, holder string, fence, orders int64) (Call, http.Header)
}
