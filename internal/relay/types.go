// Package relay forwards requests and answers without changing their bodies. Routes are selected by host and path. The
// headers tell the decision core (package decide) what it needs to know of a prompt. The stages of a request are plain
// function calls with typed results:
//
//	route ► buffer the body ► check limits ► place/wait ► reserve memory ► prefill ► decode ► answer
//
// Some terms of the package:
//
//   - An exchange is a request of a caller with its answer. A flight is the state of a stream's exchange while engines
//     process it.
//   - A control call is a call that the box itself makes to an endpoint, for example to ask for its load. It does not
//     carry a caller's request.
//   - An attempt is one try of the decision core to have a stream prefilled or decoded.
//   - Room is free engine memory. The owner of an engine is a box: the only box that grants the engine's room to the
//     streams of all boxes (package overlay).
//   - The subset of a box are the endpoints that the box uses. A box uses all endpoints if there are not too many.
//
// The interface Protocol hides the platform's encoding of headers, calls and answers.
package relay

import (
	"net/http"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/notice"
	"github.com/stoatramp/stoatramp/internal/quarantine"
)

// Kind is the kind of a route's requests. It says whether the requests may run again, and whether they are streamed.
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

// Config is a configuration of the platform that the box has accepted.
type Config struct {
	Version int64
	// Digest distinguishes different texts of configurations with the same version.
	Digest   Digest
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts maps the hash of a caller's key to its client account. If the platform has no accounts, Accounts is nil,
	// and requests need no key.
	Accounts map[KeyHash]*Account
}

// Digest is the SHA-256 hash of a configuration's text.
type Digest [32]byte

// Limits limit callers' requests.
type Limits struct {
	MaxBody int64 // The longest body of a request, in bytes; at least 1.
}

// Route selects the services for the requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	Kind   Kind
	// Regions are the regions that may serve the route's requests. If it is empty, a request is served in the region of
	// the box that receives the request.
	Regions []string
	// Public is set if requests of the route need no key of a client account.
	Public bool
	// Priority is the priority of the route's requests, 0 the highest.
	Priority int
	// Resumable is set if the route's streams may be resumed at another endpoint. A resumable stream may also run
	// again.
	Resumable bool
	// Targets are the services among which the route's requests are divided.
	Targets []Target
	// Timeout limits the whole request. LatencyTarget is the target for the time until an answer. For a stream it is
	// the target for the time until the first event. EventGapTarget is the target for the pause between two events of a
	// stream.
	Timeout        time.Duration
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	// MaxEndpoints limits the endpoints that may run one request, one after the other. It is at least 1.
	MaxEndpoints int
}

// Target is a service of a route, with its share of the route's requests.
type Target struct {
	Service string
	Weight  float64 // The share, relative to the weights of the route's other targets; positive.
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Engines is nil for a plain service.
	Engines *EngineConfig
	// ColdDuration is how long an endpoint is cold after its start. ColdRate is the number of requests a second that a
	// cold endpoint can handle. Both are 0 if endpoints of the service are never cold.
	ColdDuration time.Duration
	ColdRate     float64
	// MaxConnections is the number of connections that an endpoint accepts from all boxes together; 0 if not known.
	MaxConnections int
}

// EngineConfig is the configuration of a service's engines.
type EngineConfig struct {
	// Slots is the number of streams that an engine runs at the same time; 0 if not known.
	Slots           int
	KVTokens        int // The size of an engine's KV cache, in tokens.
	KVBytesPerToken int
	LinkRate        float64 // The transfer rate of KV caches between engines, in bytes a second.
	// HandleTTL is how long an engine keeps the result of a prefill. It is also how long an engine keeps the memory of
	// a run that was stopped for a migration. ReservationTTL is the longest time for which an engine reserves memory.
	HandleTTL      time.Duration
	ReservationTTL time.Duration
	// Migratable is set if a running stream can be migrated from one engine of the service to another.
	Migratable bool
	// TokensPerEvent is the maximum number of tokens in one event.
	TokensPerEvent int
}

// Endpoint is an entry of the platform's list of endpoints.
type Endpoint struct {
	// ID identifies one start of the endpoint. All that the box knows of an endpoint is stored under its ID. Some time
	// after the ID has left the list, this knowledge is discarded.
	ID string
	// Started is when the endpoint started, in Unix milliseconds by the endpoint's own clock. It is 0 if the platform
	// does not publish that time. Each start has an ID of its own in any case.
	Started int64
	Service string
	Address string
	Hall    string
	Role    decide.EngineRole // Engines only.
	Leaving bool              // The endpoint is about to stop, and accepts no new requests.
	// ColdLeft is how much longer the endpoint stays cold, counted from the time at which the platform wrote the entry.
	// It is 0 if the endpoint was not cold then.
	ColdLeft time.Duration
	// Slots is the number of requests that the endpoint runs at the same time; 0 if not known.
	Slots int
	// Build is the version of the endpoint's software; empty if the platform does not publish it. Builds have no order.
	// What two builds write does not fit together.
	Build string
}

// RequestMeta is what the headers of a caller's request say.
type RequestMeta struct {
	ID string
	// Timeout is how long the caller will wait, from the start of the request; 0 if the headers do not say.
	Timeout      time.Duration
	Model        string
	PromptTokens int
	MaxOutput    int // The maximum number of tokens of the answer.
	// ExpectedOutput is the caller's estimate of the answer's length, in tokens; 0 if there is no estimate.
	ExpectedOutput int
	// PrefixHashes are the hashes of the prompt's blocks. Each hash also covers all earlier blocks. Prompts that begin
	// with the same blocks have the same first hashes.
	PrefixHashes []uint64
	// Parts are the parts of the prompt that other prompts may share, in order. Each part is identified by itself, whatever
	// stands before it.
	Parts []quarantine.Part
	// LastEvent is the id of the event after which the stream is to be resumed; empty for a new stream.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream to be resumed; empty if the
	// headers do not say.
	Resumes string
	// Key is the hash of the caller's key. It is valid only if KeyState is OneKey.
	Key      KeyHash
	KeyState KeyState
}

// Run has the values of the headers that the relay adds when it sends a caller's request to an endpoint.
type Run struct {
	// Account is the client account of the request; nil if the request has none.
	Account *Account
	// Instance is the ID of the only endpoint that may run the request.
	Instance string
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// PrefillOnly has the engine prefill the prompt and keep the result. The engine then generates no answer.
	PrefillOnly bool
	// Source is where the KV cache of the prompt is stored; empty if the endpoint is to do the prefill.
	Source Source
	// Reservation is the name of the memory reservation at the endpoint; empty if there is none.
	Reservation string
	// LastEvent is the id of the event after which the stream is to be resumed; empty for a new stream.
	LastEvent string
}

// Source identifies a KV cache that an engine stores. The KV cache is the result of a prefill, or the memory of a run
// that was stopped for a migration.
type Source struct {
	Engine  string // The ID of the engine that stores the KV cache.
	Address string
	Handle  string // The engine's name for the KV cache.
}

// Reply has what the relay reads from the header of an answer.
type Reply struct {
	// Signed is set if the answer has the signature of the endpoint that the request was sent to.
	Signed bool
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Full is set if the endpoint did not run the request because it has no capacity left. NotRun is then set too.
	Full bool
	// Notice is what the endpoint announces: a request rate limit, a pause in requests, or that it is leaving.
	Notice notice.Notice
}

// Call is a control call. The box itself sends a control call to an endpoint. A control call does not carry a caller's
// request.
type Call struct {
	Method string
	Target string
	Body   []byte
}

// Load is the load reported by an engine.
type Load struct {
	// Started is when the reporting engine started, as in Endpoint. It is 0 if the engine does not report it.
	Started int64
	Role    decide.EngineRole
	Queued  int
	Running int
	KVUsed  int
	KVTotal int
	Leaving bool
	// ExecutingOrder is set while the engine carries out an order, for example to change its role.
	ExecutingOrder bool
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Runs are the streams that run at the engine.
	Runs []StreamLoad
	// Age is the longest time that can have passed since the engine measured its load.
	Age time.Duration
}

// StreamLoad is a stream that runs at an engine.
type StreamLoad struct {
	Tokens int // The tokens in the engine's memory.
	Events int // The events generated so far.
}

// Migration is an engine's answer to a migration request.
type Migration struct {
	// Handle is the engine's name for the memory of the stopped run. It is empty if the run was not stopped. With the
	// handle the run can be resumed. If Copied is set, the engine that the memory was copied to resumes the run.
	// Otherwise the engine that ran it does.
	Handle string
	Copied bool
	// InProgress is set if the engine is still working on an earlier request for the same migration.
	InProgress bool
}

// Protocol encodes and decodes the platform's headers, calls and answers.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(r *http.Request) RequestMeta
	// SetHeaders sets the headers of a run. They replace headers of the same names that the caller sent.
	SetHeaders(h http.Header, run Run)
	// IsAnswerTo reports whether an answer belongs to the request with an id. It checks the answer's header.
	IsAnswerTo(h http.Header, id string) bool
	// ParseReply reads the header of an answer.
	ParseReply(resp *http.Response) Reply
	// RemoveSignature removes the endpoint's signature from the header of an answer that the relay has changed.
	RemoveSignature(h http.Header)
	// ParsePrefill reads the answer to a PrefillOnly run, and returns the handle of the prefill's result.
	ParsePrefill(body []byte) (handle string, err error)

	// Reserve reserves memory for a number of tokens at an engine. ParseReservation reads the answer, and returns the
	// engine's name for the reservation (hold).
	Reserve(tokens int, ttl time.Duration) Call
	ParseReservation(body []byte) (hold string, err error)
	// ReleaseReservation frees reserved memory that is not needed any more. ReleaseHandle frees a KV cache.
	ReleaseReservation(hold string) Call
	ReleaseHandle(handle string) Call
	// Migrate asks an engine to stop the run of a request. The engine then copies the run's memory to the engine at
	// address. ParseMigration reads the answer.
	Migrate(request, address string) Call
	ParseMigration(status int, body []byte) (Migration, error)
	// LoadCall requests an engine's load; ParseLoad reads the answer.
	LoadCall() Call
	ParseLoad(body []byte) (Load, error)
	// SetRole orders an engine to change its role. The engine obeys only if it has accepted exactly the given number of
	// orders since its start. holder is the box that sends the order. A lease gives that box the right to send orders.
	// fence is the number of the lease. Later leases have greater numbers.
	SetRole(instance string, role decide.EngineRole, holder string, fence, orders int64) (Call, http.Header)
}
