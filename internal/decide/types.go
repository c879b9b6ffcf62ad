// Package decide is the scheduling core of the router. It decides which engine
// prefills a prompt, which one decodes the answer, and whether a request waits,
// moves to other engines or is refused.
//
// The core does no I/O, starts no goroutine and reads no clock. It takes typed
// events and returns typed actions; time and randomness are passed in. The program
// that passes events to the core and carries out its actions is one of three: the box
// with its HTTP handlers, the benchmark with a virtual clock, or tests with generated
// orders of events. All three run the very same code.
//
// A box is a machine that runs the router, and has its own core: no state is shared
// between boxes. What a core has observed of an engine may be out of date. This costs
// goodput (the share of requests that are served in time), but never breaks a guarantee. Whatever
// boxes must agree on is kept in the platform's table instead (package claim).
//
// A pool is the set of engines that serve one model. Each engine has a role: prefill
// engines compute the KV cache of a prompt, decode engines fetch the cache and generate the
// answer as a stream of tokens. Engines are in the data halls (halls) of a region. A pair is a
// prefill engine and a decode engine. Pairs are compared by cost, in seconds: predicted waits
// and work, plus penalties for what should be avoided. The ledger of an engine is the list of
// memory and work that this box has reserved there.
package decide

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// ID identifies a request within one core.
type ID uint64

// Attempt numbers the calls that one request makes to engines, from 1. Each event carries the
// number of the call that it reports on. Events of earlier calls are ignored.
type Attempt uint32

// BlockTokens is the number of prompt tokens in a block. Request.Blocks has one hash per block.
const BlockTokens = 128

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID     ID
	Pool   string
	Region string
	// Hall is the data hall of the box, which makes engines in other halls cost more. If it is empty,
	// halls do not matter.
	Hall   string
	Route  string
	Client string

	PromptTokens int
	// MaxTokens bounds the length of the answer. Memory for prompt and answer together is reserved on
	// the decode engine.
	MaxTokens int
	// OutputReserve is the number of answer tokens for which a decode engine must have free memory
	// before decoding begins; 0 stands for MaxTokens.
	OutputReserve int
	// ExpectedTokens is the expected length of the answer; 0 stands for MaxTokens.
	ExpectedTokens int
	// Blocks are chained hashes of the prompt's leading blocks: Blocks[i] depends on blocks 0 to i.
	// Two prompts have the same Blocks[i] only if they have the same text up to there.
	Blocks []uint64

	// FirstToken is the target for the time from arrival to the first token of the answer, and
	// BetweenTokens the target for the time between two tokens.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Repeatable reports whether the request may be tried again after the failure of a call that may
	// have run a part of it.
	Repeatable bool
	// Resumable reports whether a stream that loses its decode engine may continue on another
	// decode engine after the last token that the caller received. A Resumable request is Repeatable too.
	Resumable bool
	// MaxEngines bounds the number of decode engines that may run any part of the request; 0 means
	// that only Repeatable limits it.
	MaxEngines int
	// PrefillNotRun reports that a prefill alone does not count as running the request. Only
	// generated tokens then do.
	PrefillNotRun bool
	// ServeLate reports that the request is to be run even if the FirstToken target cannot be met.
	ServeLate bool
	// CallerRetry reports that the caller was refused before and retries at the time it was given.
	// The request then goes before others, since after another refusal the caller would have waited in vain.
	CallerRetry bool
	// RefuseEarly reports that a waiting request is refused as soon as it is not expected to start in
	// time. Otherwise it waits until the latest time at which it could start.
	RefuseEarly bool
	// MaxWait bounds the wait of a request that may run late; 0 stands for 30 seconds.
	MaxWait time.Duration
	// Priority is added to the deadline by which requests are ordered, in seconds: a request with a
	// negative priority goes before others, one with a positive priority after them.
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
	// Weigh returns seconds to add to the cost of a pair of a prefill and a decode engine. It is called
	// for the pairs with the lowest built-in cost, at most six.
	Weigh(r *Request, c *Candidate) (float64, error)
}

// View is the state of a pool as a policy sees it.
type View struct {
	Waiting       int
	PrefillQueue  time.Duration // Shortest time until a prefill engine is free.
	DecodeFreeKV  int           // Largest free memory of a decode engine, in tokens.
	PredictedTime time.Duration // Predicted time to the first token on the best pair; 0 if there is none.
}

// Verdict is a policy's answer for one arrival.
type Verdict struct {
	Refuse bool
	// Wait lets the request wait past its first-token target; otherwise it would be refused.
	Wait bool
	// Text is the operator's explanation, shown by `stoatramp why`.
	Text string
	// Fault is the error of an operator's program that failed. The built-in rules then apply.
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
	// Evacuated engines finish the requests that they have and get no new ones, because their data
	// hall is being evacuated. They keep running, so their streams are not moved. Engines with
	// Leaving set will stop, so their streams may be moved to other engines.
	Evacuated bool
	// Cold describes the engine's warm-up period after its start, during which it takes little load.
	Cold pacing.Cold

	PrefillRate float64 // Prompt tokens a second.
	KVTokens    int     // Decode memory in tokens.
	Slots       int     // The most streams that run at once; 0 if only memory bounds them.
	// Step is the time that a step takes, in which each stream generates one token. StepPerStream
	// is how much longer it takes for each stream that runs.
	Step          time.Duration
	StepPerStream time.Duration
	LinkRate      float64 // Rate of the engine's network link in bytes per second.
}

// Pool is the configuration of a pool: the engines that serve one model.
type Pool struct {
	Name            string
	KVBytesPerToken int
	PrefillExpiry   time.Duration
	// SelfPrefillRatio is the fraction of the prefill rate at which a decode engine prefills a prompt
	// itself, between the tokens of its streams; 0 if it cannot.
	SelfPrefillRatio float64
	// ForecastsMemory reports that decode engines are asked for a list of their streams, from which
	// their memory use is forecast. Engines without a recent report are then a last resort.
	ForecastsMemory bool
	// Migrates reports that engines can hand a running stream over to another engine.
	Migrates bool
	// UnlistedEngines counts, by role, engines in the box's region that are used by other boxes only and
	// so are missing in Fleet.Engines. They count when the numbers of engines per role are compared.
	UnlistedEngines [2]int
	// EstimatesSpeed reports that the configured rates and step times are only a first guess, and that
	// the core estimates them from the timings of requests. Otherwise the configured values are used.
	EstimatesSpeed bool
}

// Event is an input of the core. The concrete types follow.
type Event interface{ event() }

// Fleet replaces the configuration of all pools and engines.
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
	// Ran is false only if the engine cannot have run the request: no byte was sent to it, or it said so.
	Ran bool
	// KVGone reports that the prefill engine no longer has the KV cache.
	KVGone bool
}

// ReservationRefused reports that the decode engine chosen for a request refused to reserve memory
// for it. The prompt has not been sent to any engine by then.
type ReservationRefused struct {
	ID      ID
	Attempt Attempt // The number of the StartPrefill, or of the StartDecode if there was none.
}

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Engine string
	At     time.Time // When the engine measured the figures, in the time of this box's clock.
	// QueuedTokens are the uncached prompt tokens in the queue of a prefill engine.
	QueuedTokens int
	// FreeKV is the unreserved decode memory in tokens.
	FreeKV  int
	Streams int
	// Queued counts the streams for which a decode engine has no memory: new ones, and those
	// that it preempted and will prefill again.
	Queued int
	// Runs lists the running streams; nil if the engine does not report them.
	Runs    []StreamLoad
	Leaving bool
}

// RemotePlacement reports that another box sent a request to an engine. It is ignored if the last
// report of the engine was measured later, because that report includes the request.
type RemotePlacement struct {
	Engine string
	At     time.Time
	// Tokens is the number of tokens that a prefill engine has to prefill; 0 for a decode engine.
	// KV is the memory, in tokens, that the request will take on a decode engine; 0 for a prefill
	// engine. PromptTokens is the part of KV that is taken from the start, and OutputReserve is
	// the further memory that must be free at the start.
	Tokens        int
	KV            int
	PromptTokens  int
	OutputReserve int
}

// StreamEnded reports that a stream of this or another box ended on a decode engine. A report of the
// engine that was measured later no longer includes the stream.
type StreamEnded struct {
	Engine string
	At     time.Time
	Tokens int // The memory that the stream used.
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
	// All reports that messages about dropped blocks were lost, so that any block may have been dropped.
	All bool
}

// Tick makes the core check deadlines and try to start waiting requests. It is sent regularly.
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

// StartPrefill sends the prompt to a prefill engine. The core has already reserved memory on the
// decode engine in its own ledger.
type StartPrefill struct {
	ID       ID
	Attempt  Attempt
	Prefill  string
	Decode   string
	Priority int
	Choice   *Choice
}

// StartDecode sends the request to a decode engine, with the handle of the KV cache that the prefill
// engine holds. If Prefill is empty, the decode engine prefills the prompt itself.
type StartDecode struct {
	ID      ID
	Attempt Attempt
	Prefill string
	// PrefillAttempt is the number of the call that produced the KV cache.
	PrefillAttempt Attempt
	Decode         string
	Priority       int
	// Moved is why the decode engine that was chosen first could not be used, or why its call failed;
	// OK if neither happened.
	Moved outcome.Reason
	// Choice is set only if Prefill is empty. Otherwise the Choice is in the StartPrefill action.
	Choice *Choice
}

// Abort asks an engine to stop a call and to free its memory.
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

// Waiting reports that the request waits on this box, with the role of engine that it waits for as
// the reason.
type Waiting struct {
	ID     ID
	Reason outcome.Reason
	View   View
}

// WastedPrefill reports that the work of prefilling a request's prompt was in vain.
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

// The states of an engine. SetAside: several calls failed in a row, so no requests are sent for some
// time. Unresponsive: the engine did not answer a load probe.
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

// End reports that a request was refused, or ended before its answer was complete. No End follows a
// Done or Cancel event.
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

// Choice records how the prefill and the decode engine of a request were selected.
type Choice struct {
	// Candidates are the compared pairs with the lowest cost, cheapest first, at most maxCandidates.
	Candidates []Candidate `json:"candidates"`
	// Compared is the number of pairs of a prefill and a decode engine that were compared, or the number
	// of decode engines if no prefill engine could take the request.
	Compared int `json:"compared"`
	// Excluded counts the engines that could not take the request, by cause.
	Excluded Exclusions `json:"passed_over"`
}

// Exclusions counts sampled engines that could not take the request, by cause.
type Exclusions struct {
	Leaving  int `json:"leaving"`   // Engines that will stop, are evacuated or change their role.
	SetAside int `json:"set_aside"` // Engines with several failed calls in a row.
	NoRoom   int `json:"no_room"`   // Decode engines without enough free memory.
	TooSlow  int `json:"too_slow"`  // Decode engines whose time between tokens would exceed the target.
	Busy     int `json:"busy"`      // The best pair of engines, if too much was queued for it.
	Cold     int `json:"cold"`      // Engines that are warming up after their start.
	// Throttled counts engines that reached a limit that they announced, or that asked for a pause.
	Throttled int `json:"throttled"`
}

// Candidate is one pair of a prefill and a decode engine with the figures it was judged by.
type Candidate struct {
	Prefill string `json:"prefill"` // Empty if the decode engine prefills the prompt.
	Decode  string `json:"decode"`
	// SameHall reports that the transfer stays inside one data hall.
	SameHall    bool          `json:"same_hall"`
	Cached      int           `json:"cached"`            // Prompt tokens expected to be cached.
	Queue       time.Duration `json:"queue_ns"`          // Wait until the prefill engine is free.
	PrefillTime time.Duration `json:"read_ns"`           // Prefilling the uncached part of the prompt.
	Transfer    time.Duration `json:"transfer_ns"`       // Transfer of the KV cache, with the wait for others.
	FirstToken  time.Duration `json:"first_token_ns"`    // Predicted time to the first token, from now.
	Step        time.Duration `json:"between_tokens_ns"` // Predicted time between tokens.
	FreeKV      int           `json:"free_kv_tokens"`    // Free decode memory before this request, in tokens.
	Cost        float64       `json:"cost_s"`            // The minimized cost, in seconds.
	// ReportAge is the age of the decode engine's last report; 0 if there is none.
	ReportAge time.Duration `json:"report_age_ns"`
}
