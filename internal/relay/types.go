// Package relay is the path of requests that a box passes on byte for byte: routes are
// picked by host and path, and what the decisions need to know of a prompt stands in
// headers. Its stages follow one another as plain function calls with typed results:
//
//	route ► hold the body ► ask ► place/wait ► set memory aside ► prefill ► decode ► answer
//
// How the platform spells any of this is behind the interface Wire.
package relay

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/notice"
)

// Kind says what may be done with the requests of a route.
type Kind uint8

// The kinds.
const (
	// Once requests run at most once for each try of the caller.
	Once Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered by engines with a series of events.
	Stream
)

var kindNames = [...]string{"once", "repeatable", "stream"}

func (k Kind) String() string { return kindNames[k] }

// Config is one accepted configuration.
type Config struct {
	Version int64
	// Digest tells texts of one version apart.
	Digest   Digest
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts finds the client account that holds a key, by the key's hash. It is nil where the
	// platform has no accounts: requests need no key then.
	Accounts map[KeyHash]*Account
}

// Digest is the SHA-256 of a text.
type Digest [32]byte

// Limits bound what callers may send.
type Limits struct {
	MaxBody int64 // Bytes; at least 1.
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	Kind   Kind
	// Regions are those in which its requests may be served; empty for the region of the box that
	// takes them.
	Regions []string
	// Public routes need no key.
	Public bool
	// Priority is the route's rank among others, 0 the highest.
	Priority int
	// Resumable streams may go on at another endpoint. Such a stream may run again.
	Resumable bool
	// Targets are the services that share the route; weights are positive.
	Targets []Target
	// Timeout bounds the whole request. Objective is the time inside which an answer,
	// or the first event of a stream, has its full worth, and Gap the same for the
	// pause between two events.
	Timeout   time.Duration
	Objective time.Duration
	Gap       time.Duration
	// Tries bounds the endpoints that one request may run on; at least 1.
	Tries int
	// patience is the longest that a caller of the route was seen to wait, in
	// nanoseconds. One that will wait clearly less is back after a refusal.
	patience atomic.Int64
}

// Target is one service of a route and its share.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Engines is nil for a plain service.
	Engines *Engines
	// ColdFor is how long an endpoint is cold after its start, and ColdRate how many requests a
	// second it bears meanwhile; 0 if the service knows no such time.
	ColdFor  time.Duration
	ColdRate float64
}

// Engines describes the engines of a service, as configured.
type Engines struct {
	// Slots is how many streams one runs at once; 0 if that is not known.
	Slots      int
	KVTokens   int
	TokenBytes int
	LinkRate   float64 // Bytes a second.
	// HandleFor is how long a prefill's result is kept, and HoldFor the longest time
	// that memory can be set aside.
	HandleFor time.Duration
	HoldFor   time.Duration
	// Moves says that a stream being written can be given to another engine.
	Moves bool
	// Stride is how many tokens one event may hold.
	Stride int
}

// Endpoint is one endpoint as the platform's list shows it.
type Endpoint struct {
	// ID names one start of the endpoint. Whatever is known of an endpoint is known by it, and ends
	// with the start.
	ID string
	// Started is when it started, in Unix milliseconds by its own clock; 0 where the platform does not
	// say, and then each start has an ID of its own anyway.
	Started int64
	Service string
	Address string
	Hall    string
	Role    decide.EngineRole // Of an engine.
	Leaving bool
	// ColdFor is how much longer it was to be cold when it said so; 0 if it was not.
	ColdFor time.Duration
}

// Ask is what a caller says of its request.
type Ask struct {
	ID string
	// Patience is how long the caller will wait, from its start; 0 if it does not say.
	Patience     time.Duration
	Model        string
	PromptTokens int
	MaxOutput    int // Tokens of the answer at most.
	// GuessedOutput is the caller's guess of the answer's tokens; 0 if it has none.
	GuessedOutput int
	// Shared are chained hashes of the blocks of the prompt that other prompts share.
	Shared []uint64
	// LastEvent is the event after which a stream is to go on; empty at the start.
	LastEvent string
	// Key is the hash of the key that came with it, if KeyState is OneKey.
	Key      KeyHash
	KeyState KeyState
}

// Run is what the relay adds to a request for one endpoint.
type Run struct {
	// Account is the client account of the request; nil if it has none.
	Account *Account
	// Instance is the only endpoint that may run it.
	Instance string
	// Left is how long the caller still waits.
	Left time.Duration
	// ReadOnly asks for the prompt to be read and kept, and nothing to be made.
	ReadOnly bool
	// Source is where the KV cache of the prompt is; empty where the endpoint reads it.
	Source Source
	// Hold names the memory set aside for it; empty if none was.
	Hold      string
	LastEvent string
}

// Source names a prefill's result.
type Source struct {
	Engine  string // The ID of the engine that keeps it.
	Address string
	Handle  string
}

// Reply is what an answer's head says to the relay.
type Reply struct {
	// Signed says that the endpoint vouches for the answer.
	Signed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Notice is what the endpoint says of itself.
	Notice notice.Notice
}

// Call is a call to an endpoint that is no request of a caller.
type Call struct {
	Method string
	Target string
	Body   []byte
}

// Load is an engine's own account of itself.
type Load struct {
	// Started is when the engine that says this started, as in Endpoint.
	Started int64
	Role    decide.EngineRole
	Queued  int
	Running int
	KVUsed  int
	KVTotal int
	Leaving bool
	// Busy says that the engine carries out an order.
	Busy bool
	// Orders counts the orders the engine took since its start.
	Orders int64
	// Runs are its streams, with events in place of tokens made.
	Runs []RunLoad
	// Age is how old the figures may be.
	Age time.Duration
}

// RunLoad is one stream that an engine runs.
type RunLoad struct {
	Tokens int // Of memory.
	Events int // Made so far.
}

// Migration is an engine's answer to a move.
type Migration struct {
	// Handle names the memory of the run, which was stopped and goes on by it: at the other engine if
	// Copied, and otherwise where it was. It is empty if the run was not stopped.
	Handle string
	Copied bool
	// UnderWay says that the engine has not answered an earlier call for the same move yet.
	UnderWay bool
}

// Wire is how callers and endpoints spell what the relay hears and says.
type Wire interface {
	// Ask reads what the caller says of its request.
	Ask(r *http.Request) Ask
	// Stamp sets a run's headers, in place of whatever the caller sent under their names.
	Stamp(h http.Header, run Run)
	// Mine tells whether an answer belongs to the request of that id.
	Mine(h http.Header, id string) bool
	// Reply reads the head of an answer.
	Reply(resp *http.Response) Reply
	// Vouch removes from the head of an answer that the relay changed what only its
	// endpoint may say.
	Vouch(h http.Header)
	// Read reads the answer to a ReadOnly run.
	Read(body []byte) (handle string, err error)

	// TakeHold sets memory aside at an engine; Held reads the answer.
	TakeHold(tokens int, ttl time.Duration) Call
	Held(body []byte) (hold string, err error)
	// DropHold and DropHandle free what is not needed any more.
	DropHold(hold string) Call
	DropHandle(handle string) Call
	// Migrate has an engine stop the run of a request and give what it has in memory to
	// another engine; Migrated reads the answer.
	Migrate(request, address string) Call
	Migrated(status int, body []byte) (Migration, error)
	// AskLoad asks an engine for its load; Load reads the answer.
	AskLoad() Call
	Load(body []byte) (Load, error)
	// SetRole orders an engine that has taken so many orders to change its role.
	SetRole(instance string, role decide.EngineRole, holder string, fence, orders int64) (Call, http.Header)
}
