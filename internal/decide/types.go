// Package decide is the decision core: which engine reads a prompt, which
// writes the answer, and whether a request waits, moves or is refused.
//
// The core does no I/O, starts no goroutine and reads no clock. It takes typed
// events and returns typed actions; time and randomness are handed in. The box
// drives it from HTTP handlers, the benchmark from a virtual clock, and tests
// from generated event orders: all three run the very same code.
//
// Nothing here is shared between boxes. What the core believes of an engine may
// be stale and then costs goodput, never a promise; whatever must be agreed
// between boxes goes through the platform's table instead (package claim).
package decide

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// ID names a request within one core.
type ID uint64

// Attempt numbers the calls one request makes to engines, from 1. Everything
// that comes back carries the attempt it belongs to, and what does not match
// the current one is ignored.
type Attempt uint32

// BlockTokens is how many prompt tokens one hash in Request.Blocks covers.
const BlockTokens = 128

// Request is what the core needs to know of one request.
type Request struct {
	ID     ID
	Pool   string
	Region string
	// Hall is that of the box; empty if it does not matter. Engines elsewhere are dearer.
	Hall   string
	Route  string
	Client string

	PromptTokens int
	// MaxTokens bounds the answer; prompt and answer together are held in decode memory.
	MaxTokens int
	// Ahead is the memory that must be free for the answer to begin; 0 stands for MaxTokens.
	Ahead int
	// ExpectTokens is how long the answer is expected to be; 0 stands for MaxTokens.
	ExpectTokens int
	// Blocks are chained hashes of the prompt's leading blocks: Blocks[i] stands
	// for blocks 0 to i, so two prompts share it only if they share the whole prefix.
	Blocks []uint64

	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Repeatable false means that at most one call may ever run any of it.
	Repeatable bool
	// Resumable says that a stream whose decode engine is lost may go on at another
	// one from where the caller has it. Such a request is Repeatable too.
	Resumable bool
	// MaxEngines bounds the decode engines that may run any of it; 0 leaves that to
	// Repeatable.
	MaxEngines int
	// ReadNotRun says that an engine that has only read the prompt has not run the
	// request: nothing of it counts but the tokens made.
	ReadNotRun bool
	// ServeLate runs the request even when FirstToken cannot be met.
	ServeLate bool
	// CameBack says that the caller was refused before and came back as it was told. To
	// refuse it again would cost both, so it goes before others.
	CameBack bool
	// RefuseEarly has a request that waits refused as soon as it is not expected to start in
	// time; otherwise it waits until its latest start.
	RefuseEarly bool
	// MaxWait bounds the wait of a request that may be late; 0 stands for half a minute.
	MaxWait time.Duration
	// Priority moves the request before (lower) or after others, in seconds of deadline.
	Priority int
	// Kind and Rank are the route's kind, in words, and its priority, 0 the highest. Only
	// policies look at them.
	Kind string
	Rank int
	// Policy may be nil: then the built-in rules stand alone.
	Policy Policy
}

// Policy is an operator's program, consulted before the built-in rules. It can
// refuse, hold back and weigh, but it sees only engines that the promises allow.
type Policy interface {
	// Admit is asked once for each arrival.
	Admit(r *Request, v View) Verdict
	// Weigh returns seconds to add to the cost of a pair. It is asked about the
	// pairs that are best by the built-in cost, at most six of them.
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
	// Text is the operator's own explanation, shown by `stoatramp why`.
	Text string
	// Fault is set when the program failed and the built-in rules stood in.
	Fault string
}

// EngineRole is what an engine does in a pool.
type EngineRole uint8

// The two roles.
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
	// Closed engines get nothing new and finish what they have: their data hall is evacuated. Unlike
	// one that is Leaving they will not end, so their streams are not moved.
	Closed bool
	// Cold is the engine's start, from which on it bears little for a while.
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
	// SelfRead is the part of the prefill rate at which a decode engine reads a prompt
	// by itself, between the tokens of its streams; 0 if it cannot.
	SelfRead float64
	// Foresee says that engines are asked for their streams before requests are placed, so
	// that one without a fresh report is a last resort.
	Foresee bool
	// Migrates says that engines can give a stream that they write to another one.
	Migrates bool
	// Beyond counts, by role, the engines of the driver's region that it leaves out: others have the
	// requests that they serve. They count where the split of the roles is judged.
	Beyond [2]int
	// Learns says that the engines' rates and steps are only guessed at, and learned from what
	// requests take. Otherwise those configured stand.
	Learns bool
}

// Event is one thing that happened. The concrete types follow.
type Event interface{ event() }

// Fleet replaces what is known of pools and engines.
type Fleet struct {
	Pools   []Pool
	Engines []Engine
}

// Arrive brings a new request.
type Arrive struct{ Request Request }

// Cancel says that the caller is gone.
type Cancel struct{ ID ID }

// PrefillDone says that a prefill engine holds the request's KV cache.
type PrefillDone struct {
	ID      ID
	Attempt Attempt
	Cached  int // Prompt tokens the engine had cached already.
	Expires time.Time
}

// FirstToken says that a decode engine began to answer.
type FirstToken struct {
	ID      ID
	Attempt Attempt
	// Tokens came at once with it, itself included, at the most; 0 if that is not known.
	Tokens int
}

// Done says that the whole answer arrived.
type Done struct {
	ID      ID
	Attempt Attempt
	Output  int // Tokens generated.
}

// Failed says that a call to an engine came to nothing.
type Failed struct {
	ID      ID
	Attempt Attempt
	Reason  outcome.Reason
	// Ran is false only if no byte left for the engine or the engine said it did not run.
	Ran bool
	// KVGone says that the prefill engine no longer holds the result.
	KVGone bool
}

// NoRoom says that the decode engine of a placed request refused to set memory
// aside for it, before the prompt was sent anywhere.
type NoRoom struct {
	ID      ID
	Attempt Attempt // The prefill's.
}

// Report is an engine's own account of its load.
type Report struct {
	Engine string
	At     time.Time // When the engine took the figures, by this box's clock.
	// QueuedTokens are uncached prompt tokens a prefill engine has yet to read.
	QueuedTokens int
	// FreeKV is unheld decode memory in tokens.
	FreeKV  int
	Streams int
	// Queued are streams that a decode engine has no memory for: new ones, and those that it
	// displaced and will read again.
	Queued int
	// Runs are its streams one by one; nil if it does not say.
	Runs    []Run
	Leaving bool
}

// Sent says that another box sends a request to an engine. A report taken later includes it.
type Sent struct {
	Engine string
	At     time.Time
	// Tokens are to be read by a prefill engine. KV is memory taken of a decode engine, of
	// which Prompt is taken from the start, and Ahead set aside with it.
	Tokens int
	KV     int
	Prompt int
	Ahead  int
}

// Ended says that a stream of any box has ended at a decode engine, with so much memory in
// tokens. A report taken later does not include it.
type Ended struct {
	Engine string
	At     time.Time
	Tokens int
}

// OthersWait says how many requests wait for engines on all other boxes together.
type OthersWait struct{ N int }

// Refused says that an engine turned a prompt of another box away.
type Refused struct{ Engine string }

// Silent says that an engine did not answer when asked for its load.
type Silent struct{ Engine string }

// Evicted says that a prefill engine dropped cached blocks.
type Evicted struct {
	Engine string
	Blocks []uint64
	// All is set when events were lost: nothing is known of the cache any more.
	All bool
}

// Tick lets time-outs fire and waiting requests be tried again.
type Tick struct{}

func (Fleet) event()       {}
func (Arrive) event()      {}
func (Cancel) event()      {}
func (PrefillDone) event() {}
func (FirstToken) event()  {}
func (Done) event()        {}
func (Failed) event()      {}
func (NoRoom) event()      {}
func (Report) event()      {}
func (Sent) event()        {}
func (Refused) event()     {}
func (OthersWait) event()  {}
func (Ended) event()       {}
func (Silent) event()      {}
func (Evicted) event()     {}
func (Tick) event()        {}

// Action is one thing to do. The concrete types follow.
type Action interface{ action() }

// StartPrefill sends the prompt to a prefill engine. Memory on the decode
// engine is already held in the ledger.
type StartPrefill struct {
	ID       ID
	Attempt  Attempt
	Prefill  string
	Decode   string
	Priority int
	Choice   *Choice
}

// StartDecode sends the request and its KV handle to a decode engine. Without a prefill
// engine, Prefill is empty and the decode engine reads the prompt itself.
type StartDecode struct {
	ID      ID
	Attempt Attempt
	Prefill string
	// PrefillAttempt is the call that made the KV cache.
	PrefillAttempt Attempt
	Decode         string
	Priority       int
	// Moved is the reason the decode engine is another than first chosen; OK if it is not.
	Moved outcome.Reason
	// Choice is set where Prefill is empty: otherwise the pair was chosen before.
	Choice *Choice
}

// Abort tells an engine to free what it holds for a call.
type Abort struct {
	ID      ID
	Attempt Attempt
	Engine  string
}

// Retry says that a call failed and the request will be tried again.
type Retry struct {
	ID     ID
	Engine string
	Reason outcome.Reason
}

// Waiting says that the request waits on this box, and why.
type Waiting struct {
	ID     ID
	Reason outcome.Reason
	View   View
}

// Waste says that prompt work was thrown away.
type Waste struct {
	ID     ID
	Tokens int
	Reason outcome.Reason
}

// Believed says that the core changed its mind about an engine. It belongs to no request.
type Believed struct {
	Engine string
	State  State
	// Until is when an engine that was set aside is tried again.
	Until time.Time
}

// State is what is believed of an engine.
type State uint8

// The states. A silent one did not answer when asked for its load.
const (
	Usable State = iota
	SetAside
	SilentNow
)

func (s State) String() string {
	switch s {
	case SetAside:
		return "set_aside"
	case SilentNow:
		return "silent"
	}
	return "usable"
}

// Ruled carries a policy's verdict on an arrival, for the record.
type Ruled struct {
	ID      ID
	Verdict Verdict
}

// End refuses or gives up a request. Answered requests need no End.
type End struct {
	ID      ID
	Outcome outcome.Outcome
}

func (StartPrefill) action() {}
func (StartDecode) action()  {}
func (Abort) action()        {}
func (Retry) action()        {}
func (Waiting) action()      {}
func (Waste) action()        {}
func (Ruled) action()        {}
func (Believed) action()     {}
func (End) action()          {}

// Choice says how a pair was chosen.
type Choice struct {
	// Candidates are the pairs compared, best first, at most maxKept of them.
	Candidates []Candidate `json:"candidates"`
	// Compared is how many pairs were looked at.
	Compared int `json:"compared"`
	// Passed counts engines left out, by cause.
	Passed PassedOver `json:"passed_over"`
}

// PassedOver counts the engines of the pool that were not candidates.
type PassedOver struct {
	Leaving  int `json:"leaving"`
	SetAside int `json:"set_aside"`
	NoRoom   int `json:"no_room"`
	TooSlow  int `json:"too_slow"`
	Busy     int `json:"busy"`
	Cold     int `json:"cold"`
	// Throttled engines named a limit that is reached, or asked for rest.
	Throttled int `json:"throttled"`
}

// Candidate is one pair of engines and the figures it was judged by.
type Candidate struct {
	Prefill string `json:"prefill"` // Empty where the decode engine reads the prompt.
	Decode  string `json:"decode"`
	// SameHall says that the transfer stays inside one data hall.
	SameHall bool          `json:"same_hall"`
	Cached   int           `json:"cached"`            // Prompt tokens believed to be cached.
	Queue    time.Duration `json:"queue_ns"`          // Until the prefill engine is free.
	Read     time.Duration `json:"read_ns"`           // Reading the uncached prompt.
	Transfer time.Duration `json:"transfer_ns"`       // Moving the KV cache, link backlog included.
	First    time.Duration `json:"first_token_ns"`    // Predicted time to the first token, from now.
	Step     time.Duration `json:"between_tokens_ns"` // Predicted time between tokens.
	FreeKV   int           `json:"free_kv_tokens"`    // Free decode memory before this request, in tokens.
	Cost     float64       `json:"cost_s"`            // What was minimised, in seconds.
	// ReportAge is how old the decode engine's own figures are; 0 if it gave none.
	ReportAge time.Duration `json:"report_age_ns"`
}
