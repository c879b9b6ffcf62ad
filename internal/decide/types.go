// Package decide is the scheduling core of the router. It decides which engine
// prefills a prompt, which one decodes the answer, and whether a request waits,
// moves to other engines or is refused.
//
// The core does no I/O, starts no goroutine and reads no clock. It takes typed
// events and returns typed actions; time and randomness are passed in. The box
// drives it from HTTP handlers, the benchmark from a virtual clock, and tests
// from generated event orders: all three run the very same code.
//
// Nothing here is shared between boxes. The observed state of an engine may be
// stale, which costs goodput but never breaks a guarantee; whatever boxes must
// agree on goes through the platform's table instead (package claim).
package decide

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// ID names a request within one core.
type ID uint64

// Attempt numbers the calls that one request makes to engines, from 1. Events
// carry the attempt that they belong to; those that do not match the current
// one are ignored.
type Attempt uint32

// BlockTokens is how many prompt tokens one hash in Request.Blocks covers.
const BlockTokens = 128

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID     ID
	Pool   string
	Region string
	// Hall is the data hall of the box; empty if it does not matter. Engines in other halls cost more.
	Hall   string
	Route  string
	Client string

	PromptTokens int
	// MaxTokens bounds the answer; decode memory is reserved for prompt and answer together.
	MaxTokens int
	// OutputReserve is how many answer tokens must fit in free memory for decoding to begin; 0 stands for MaxTokens.
	OutputReserve int
	// ExpectedTokens is the expected length of the answer; 0 stands for MaxTokens.
	ExpectedTokens int
	// Blocks are chained hashes of the prompt's leading blocks: Blocks[i] stands
	// for blocks 0 to i, so two prompts share it only if they share the whole prefix.
	Blocks []uint64

	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Repeatable reports whether more than one call may run parts of the request. If it is
	// false, at most one call may ever run any of it.
	Repeatable bool
	// Resumable reports whether a stream that loses its decode engine may continue on another
	// one after the last token that the caller received. Such a request is Repeatable too.
	Resumable bool
	// MaxEngines bounds the number of decode engines that may run any part of the request;
	// 0 leaves that to Repeatable.
	MaxEngines int
	// PrefillNotRun reports that a prefill alone does not count as running the request: only
	// generated tokens do.
	PrefillNotRun bool
	// ServeLate runs the request even when FirstToken cannot be met.
	ServeLate bool
	// CallerRetry reports that the caller was refused before and retries at the time it was given.
	// Such a request goes before others, since another refusal would waste that wait.
	CallerRetry bool
	// RefuseEarly refuses a waiting request as soon as it is not expected to start in time;
	// otherwise it waits until its latest start.
	RefuseEarly bool
	// MaxWait bounds the wait of a request that may be late; 0 stands for 30 seconds.
	MaxWait time.Duration
	// Priority moves the request before (lower) or after others, in seconds of deadline.
	Priority int
	// Kind and Rank are the name of the route's kind and its priority, 0 being the highest.
	// Only policies read them.
	Kind string
	Rank int
	// Policy is the operator's program; if it is nil, only the built-in rules apply.
	Policy Policy
}

// Policy is an operator's program, consulted before the built-in rules. It can
// refuse requests, let them wait and add to costs, but it sees only engines that
// the built-in rules allow.
type Policy interface {
	// Admit is called once for each arrival.
	Admit(r *Request, v View) Verdict
	// Weigh returns seconds to add to the cost of a pair. It is called for the pairs with
	// the lowest built-in cost, at most six of them.
	Weigh(r *Request, c *Candidate) (float64, error)
}

// View is the state of a pool as a policy sees it.
type View struct {
	Waiting       int
	PrefillQueue  time.Duration // Shortest time until a prefill engine is free.
	DecodeFreeKV  int           // Largest free memory of a decode engine, in tokens.
	PredictedTime time.Duration // Predicted first-token time of the best pair; 0 if there is none.
}

// Verdict is a policy's answer for one arrival.
type Verdict struct {
	Refuse bool
	// Wait lets the request wait past its first-token target instead of being refused.
	Wait bool
	// Text is the operator's explanation, shown by `stoatramp why`.
	Text string
	// Fault is the error of a program that failed; the built-in rules applied instead.
	Fault string
}

// EngineRole is the role of an engine in a pool.
type EngineRole uint8

const (
	Prefill EngineRole = iota
	Decode
)

func (r EngineRole) String() string {
	if r == Prefill {
		return "prefill"
	}
	return "decode"
}

// Engine describes one engine, as configured.
type Engine struct {
	Name    string
	Pool    string
	Region  string
	Hall    string
	Role    EngineRole
	Leaving bool
	// Evacuated engines get no new requests and finish those they have, since their data hall is
	// being evacuated. Unlike Leaving engines they keep running, so their streams are not moved.
	Evacuated bool
	// Cold describes the engine's warm-up period after its start, during which it takes little load.
	Cold pacing.Cold

	PrefillRate   float64 // Prompt tokens a second.
	KVTokens      int     // Decode memory in tokens.
	Slots         int     // Streams at once; 0 if only memory bounds them.
	Step          time.Duration
	StepPerStream time.Duration
	LinkRate      float64 // Bytes a second.
}

// Pool describes the engines that serve one model.
type Pool struct {
	Name            string
	KVBytesPerToken int
	PrefillExpiry   time.Duration
	// SelfPrefillRatio is the fraction of the prefill rate at which a decode engine prefills a prompt
	// itself, between the tokens of its streams; 0 if it cannot.
	SelfPrefillRatio float64
	// ForecastsMemory reports that engines are asked for their streams before requests are placed. An
	// engine without a fresh report is then a last resort.
	ForecastsMemory bool
	// Migrates reports that engines can hand a running stream over to another engine.
	Migrates bool
	// UnlistedEngines counts, by role, the engines of the driver's region that are not listed because
	// other boxes use them. They count when the split of the roles is judged.
	UnlistedEngines [2]int
	// EstimatesSpeed reports that the engines' rates and step times are only estimates, to be refined
	// from the timings of requests. Otherwise the configured values apply.
	EstimatesSpeed bool
}

// Event is an input of the core. The concrete types follow.
type Event interface{ event() }

// Fleet replaces the known pools and engines.
type Fleet struct {
	Pools   []Pool
	Engines []Engine
}

// Submit reports a new request.
type Submit struct{ Request Request }

// Cancel reports that the caller has disconnected.
type Cancel struct{ ID ID }

// PrefillDone reports that a prefill engine has the request's KV cache.
type PrefillDone struct {
	ID      ID
	Attempt Attempt
	Cached  int // Prompt tokens the engine had cached already.
	Expires time.Time
}

// FirstToken reports that a decode engine began to answer.
type FirstToken struct {
	ID      ID
	Attempt Attempt
	// Tokens bounds the number of tokens that arrived in the first event; 0 if it is unknown.
	Tokens int
}

// Done reports that the whole answer arrived.
type Done struct {
	ID      ID
	Attempt Attempt
	Output  int // Tokens generated.
}

// Failed reports that a call to an engine failed.
type Failed struct {
	ID      ID
	Attempt Attempt
	Reason  outcome.Reason
	// Ran is false only if no byte was sent to the engine or the engine said it did not run the request.
	Ran bool
	// KVGone reports that the prefill engine no longer has the KV cache.
	KVGone bool
}

// ReservationRefused reports that the decode engine of a placed request refused to reserve memory
// for it, before the prompt was sent anywhere.
type ReservationRefused struct {
	ID      ID
	Attempt Attempt // The prefill's.
}

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Engine string
	At     time.Time // When the engine took the figures, by this box's clock.
	// QueuedTokens are the uncached prompt tokens in the queue of a prefill engine.
	QueuedTokens int
	// FreeKV is the unreserved decode memory in tokens.
	FreeKV  int
	Streams int
	// Queued counts the streams for which a decode engine has no memory: new ones, and those
	// that it preempted and will prefill again.
	Queued int
	// Runs are its streams one by one; nil if the engine does not report them.
	Runs    []StreamLoad
	Leaving bool
}

// RemotePlacement reports that another box sends a request to an engine. An engine report taken later
// includes it.
type RemotePlacement struct {
	Engine string
	At     time.Time
	// Tokens are to be prefilled by a prefill engine. KV is the memory that the request takes of
	// a decode engine; Prompt is the part taken from the start, and OutputReserve is reserved with it.
	Tokens        int
	KV            int
	PromptTokens  int
	OutputReserve int
}

// StreamEnded reports that a stream of any box ended on a decode engine, with its size in tokens of
// memory. An engine report taken later does not include it.
type StreamEnded struct {
	Engine string
	At     time.Time
	Tokens int
}

// RemoteQueue reports how many requests wait for engines on all other boxes together.
type RemoteQueue struct{ Waiting int }

// RemotePrefillRefused reports that an engine refused a prompt of another box.
type RemotePrefillRefused struct{ Engine string }

// ProbeFailed reports that an engine did not answer a load probe.
type ProbeFailed struct{ Engine string }

// Evicted reports that a prefill engine dropped cached blocks.
type Evicted struct {
	Engine string
	Blocks []uint64
	// All reports that events were lost, so nothing is known of the cache any more.
	All bool
}

// Tick fires timeouts and retries waiting requests.
type Tick struct{}

func (Fleet) event()                {}
func (Submit) event()               {}
func (Cancel) event()               {}
func (PrefillDone) event()          {}
func (FirstToken) event()           {}
func (Done) event()                 {}
func (Failed) event()               {}
func (ReservationRefused) event()   {}
func (LoadReport) event()           {}
func (RemotePlacement) event()      {}
func (RemotePrefillRefused) event() {}
func (RemoteQueue) event()          {}
func (StreamEnded) event()          {}
func (ProbeFailed) event()          {}
func (Evicted) event()              {}
func (Tick) event()                 {}

// Action is an output of the core. The concrete types follow.
type Action interface{ action() }

// StartPrefill sends the prompt to a prefill engine. Memory on the decode engine is
// already reserved in the ledger.
type StartPrefill struct {
	ID       ID
	Attempt  Attempt
	Prefill  string
	Decode   string
	Priority int
	Choice   *Choice
}

// StartDecode sends the request and its KV handle to a decode engine. If Prefill is empty,
// the decode engine prefills the prompt itself.
type StartDecode struct {
	ID      ID
	Attempt Attempt
	Prefill string
	// PrefillAttempt is the call that produced the KV cache.
	PrefillAttempt Attempt
	Decode         string
	Priority       int
	// Moved is why the decode engine is not the one that was chosen first; OK if it is.
	Moved outcome.Reason
	// Choice is set only if Prefill is empty: otherwise StartPrefill carried it.
	Choice *Choice
}

// Abort asks an engine to free the resources of a call.
type Abort struct {
	ID      ID
	Attempt Attempt
	Engine  string
}

// Retry reports that a call failed and the request will be tried again.
type Retry struct {
	ID     ID
	Engine string
	Reason outcome.Reason
}

// Waiting reports that the request waits on this box, and why.
type Waiting struct {
	ID     ID
	Reason outcome.Reason
	View   View
}

// WastedPrefill reports that prefill work was discarded.
type WastedPrefill struct {
	ID     ID
	Tokens int
	Reason outcome.Reason
}

// StateChange reports that the observed state of an engine changed. It belongs to no request.
type StateChange struct {
	Engine string
	State  State
	// Until is when an engine that was set aside is tried again.
	Until time.Time
}

// State is the observed state of an engine.
type State uint8

// The states. An unresponsive engine did not answer a load probe.
const (
	Usable State = iota
	SetAside
	Unresponsive
)

func (s State) String() string {
	switch s {
	case SetAside:
		return "set_aside"
	case Unresponsive:
		return "silent"
	}
	return "usable"
}

// PolicyVerdict records a policy's verdict on an arrival.
type PolicyVerdict struct {
	ID      ID
	Verdict Verdict
}

// End refuses or ends a request without a complete answer. Answered requests need no End.
type End struct {
	ID      ID
	Outcome outcome.Outcome
}

func (StartPrefill) action()  {}
func (StartDecode) action()   {}
func (Abort) action()         {}
func (Retry) action()         {}
func (Waiting) action()       {}
func (WastedPrefill) action() {}
func (PolicyVerdict) action() {}
func (StateChange) action()   {}
func (End) action()           {}

// Choice records how a pair was selected.
type Choice struct {
	// Candidates are the compared pairs with the lowest cost, cheapest first, at most maxCandidates.
	Candidates []Candidate `json:"candidates"`
	// Compared is how many pairs were compared.
	Compared int `json:"compared"`
	// Excluded counts excluded engines by cause.
	Excluded Exclusions `json:"passed_over"`
}

// Exclusions counts the engines of the pool that were not candidates, by cause.
type Exclusions struct {
	Leaving  int `json:"leaving"`
	SetAside int `json:"set_aside"`
	NoRoom   int `json:"no_room"`
	TooSlow  int `json:"too_slow"`
	Busy     int `json:"busy"`
	Cold     int `json:"cold"`
	// Throttled engines reached an announced limit or asked for a pause.
	Throttled int `json:"throttled"`
}

// Candidate is one pair of engines and the figures by which it was judged.
type Candidate struct {
	Prefill string `json:"prefill"` // Empty if the decode engine prefills the prompt.
	Decode  string `json:"decode"`
	// SameHall reports that the transfer stays inside one data hall.
	SameHall    bool          `json:"same_hall"`
	Cached      int           `json:"cached"`            // Prompt tokens expected to be cached.
	Queue       time.Duration `json:"queue_ns"`          // Wait until the prefill engine is free.
	PrefillTime time.Duration `json:"read_ns"`           // Prefilling the uncached part of the prompt.
	Transfer    time.Duration `json:"transfer_ns"`       // Transferring the KV cache, including the link backlog.
	FirstToken  time.Duration `json:"first_token_ns"`    // Predicted time to the first token, from now.
	Step        time.Duration `json:"between_tokens_ns"` // Predicted time between tokens.
	FreeKV      int           `json:"free_kv_tokens"`    // Free decode memory before this request, in tokens.
	Cost        float64       `json:"cost_s"`            // The minimized cost, in seconds.
	// ReportAge is the age of the decode engine's last report; 0 if there is none.
	ReportAge time.Duration `json:"report_age_ns"`
}
