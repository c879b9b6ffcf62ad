// Package decide is the scheduling core of the router. It decides which engine prefills a prompt and which engine
// decodes the answer. It also decides whether a request waits, moves to other engines or is refused.
//
// The core does no I/O, starts no goroutine and reads no clock. It gets typed events and returns typed actions; time
// and randomness are passed in. A program passes events to the core and carries out the actions of the core. There
// are three such programs: the box with its HTTP handlers, the benchmark with a virtual clock, and tests with
// generated orders of events. All three run the very same code.
//
// A box is a machine that runs the router. Each box has its own core, and no state is shared between boxes. So what a
// core has observed of an engine may be out of date. This costs goodput (the fraction of requests that are served in
// time), but never breaks a guarantee. Whatever boxes must agree on is kept in the platform's table instead (package
// claim).
//
// A pool is the set of engines that serve one model. Each engine has a role. Prefill engines compute the KV cache of a
// prompt. Decode engines fetch the cache and generate the answer as a stream of tokens. Engines are in the data halls
// (halls) of a region. A pair is a prefill engine and a decode engine. Pairs are compared by cost, in seconds. The cost
// consists of predicted waits and work, plus penalties for what should be avoided. The ledger of an engine is the list
// of memory and work that this box has reserved on the engine.
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
	// Hall is the data hall of the box. Engines in other halls then cost more. If Hall is empty, halls do not
	// matter.
	Hall  string
	Route string
	// Client is the name of the client account; empty without accounts. Weight is the share of the account relative
	// to other accounts; 0 stands for 1.
	Client string
	Weight float64

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

	// FirstToken is the target for the time from the request's arrival to the first token of the answer.
	// BetweenTokens is the target for the time between two tokens.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Repeatable reports whether the request may be tried again after a failed call that may have run a part of the
	// request.
	Repeatable bool
	// Resumable reports whether a stream that loses its decode engine may continue on another decode engine. The
	// stream continues after the last token that the caller received. A Resumable request is Repeatable too.
	Resumable bool
	// Build is the build of the engine that began the stream, if the caller takes a stream up. Only engines of this build
	// may go on with it. If Build is empty, the first engine that answers binds the request to its build.
	Build string
	// Planned reports that no engine has begun the stream yet, and that it is to begin at Build. The stream then competes
	// for room like other new ones. If Build is empty, it begins at an engine whose build is not known.
	Planned bool
	// Continues reports that the caller has received a part of the answer and waits for more. The request may then be
	// late, like a stream that lost its connection.
	Continues bool
	// MaxEngines bounds the number of decode engines that may run any part of the request. 0 means no such bound;
	// only Repeatable then limits further tries.
	MaxEngines int
	// PrefillNotRun reports that a prefill alone does not count as running the request. Then the request has run
	// only if tokens were generated.
	PrefillNotRun bool
	// ServeLate reports that the request is to be run even if the FirstToken target cannot be met.
	ServeLate bool
	// CallerRetry reports that the caller was refused before, and retries at the time that it was told. The request
	// then goes before others. If it were refused again, the caller would have waited in vain.
	CallerRetry bool
	// RefuseEarly reports that a waiting request is refused as soon as it is not expected to start in time. Without
	// RefuseEarly, the request waits until the latest time at which it could start.
	RefuseEarly bool
	// MaxWait bounds the wait of a request that may run late; 0 stands for 30 seconds.
	MaxWait time.Duration
	// Priority, in seconds, is added to the deadline by which requests are ordered. A request with a negative
	// priority goes before others, and a request with a positive priority after them.
	Priority int
	// Kind is the name of the route's kind. Only policies read it.
	Kind string
	// Rank is the priority of the client account or the route, 0 being the highest. Waiting requests are placed by
	// rank first, and those of the lowest rank are refused first.
	Rank int
	// Policy is the operator's program; if it is nil, only the built-in rules apply.
	Policy Policy
}

// Policy is an operator's program, consulted before the built-in rules. It can refuse requests, let requests wait, and
// add to costs. It sees only engines that the built-in rules allow.
type Policy interface {
	// Admit is called once for each arrival.
	Admit(r *Request, v View) Verdict
	// Weigh returns seconds to add to the cost of a pair of a prefill and a decode engine. It is called only for
	// the pairs with the lowest built-in cost, at most six.
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
	// Wait lets the request wait past its first-token target. Without Wait, the request is refused then.
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
	Name   string
	Pool   string
	Region string
	Hall   string
	Role   EngineRole
	// Build is the version of the engine's software; empty if it is not known. A stream is never continued by an engine
	// of another build than the one that began it.
	Build   string
	Leaving bool
	// Evacuated engines are in a data hall that is being evacuated. They finish the requests that they have and get
	// no new requests. They keep running, so their streams are not moved. Engines with Leaving set will stop, so
	// their streams can be moved to other engines.
	Evacuated bool
	// Cold describes the engine's warm-up period after its start. In this period, the engine gets little load.
	Cold pacing.Cold

	PrefillRate float64 // Prompt tokens a second.
	KVTokens    int     // Decode memory in tokens.
	Slots       int     // The most streams that run at the same time; 0 if only memory bounds them.
	// Step and StepPerStream determine the duration of a step, in which each stream generates one token. Step is
	// the fixed part. StepPerStream is added once for each running stream.
	Step          time.Duration
	StepPerStream time.Duration
	LinkRate      float64 // Rate of the engine's network link in bytes per second.
}

// Pool is the configuration of a pool: the engines that serve one model.
type Pool struct {
	Name            string
	KVBytesPerToken int
	PrefillExpiry   time.Duration
	// SelfPrefillRatio is for pools whose decode engines can prefill a prompt themselves, between the tokens of
	// their streams. It is the rate of this prefill as a fraction of PrefillRate; 0 if decode engines cannot
	// prefill.
	SelfPrefillRatio float64
	// ForecastsMemory reports that decode engines are asked for a list of their streams. The memory use of these
	// engines is forecast from the list. Engines without a recent report are then a last resort.
	ForecastsMemory bool
	// Migrates reports that engines can hand a running stream over to another engine.
	Migrates bool
	// UnlistedEngines counts engines in the box's region, by role, that are missing in Fleet.Engines because only
	// other boxes use them. They still count when the numbers of engines per role are compared.
	UnlistedEngines [2]int
	// EstimatesSpeed reports that the configured rates and step times are only a first guess. The core then
	// estimates them from the timings of requests. Otherwise the configured values are used.
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
	// Ran is false only if the engine cannot have run the request. Either no byte was sent to the engine, or the
	// engine said that it has not run the request.
	Ran bool
	// PathBroke reports that this box's path to the engine failed. That says nothing about the engine.
	PathBroke bool
	// KVGone reports that the prefill engine no longer has the KV cache.
	KVGone bool
	// KVCached reports that the decode engine may still have the KV cache as a cached prefix. The connection was reset
	// or closed after the request was sent, and the request is not suspected of crashing engines.
	KVCached bool
}

// ReservationRefused reports that the decode engine chosen for a request refused to reserve memory
// for it. The prompt has not been sent to any engine by then.
type ReservationRefused struct {
	ID      ID
	Attempt Attempt // The number of the StartPrefill, or of the StartDecode if there was none.
	// Yielded reports that the owner of the engine had room, but leaves it to a request that goes first.
	Yielded bool
}

// RerunForbidden reports that a rerun was not sent, because the request is suspected of crashing engines.
type RerunForbidden struct {
	ID      ID
	Attempt Attempt // The number of the StartDecode.
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
	// Queued counts the streams for which a decode engine has no memory. These are new streams, and streams that
	// the engine preempted and will prefill again.
	Queued int
	// Runs lists the running streams; nil if the engine does not report them.
	Runs    []StreamLoad
	Leaving bool
}

// RemotePlacement reports that another box sent a request to an engine. The event is ignored if the engine measured its
// last report later, because that report includes the request.
type RemotePlacement struct {
	Engine string
	At     time.Time
	// For a prefill engine, Tokens is the number of tokens to prefill, and KV is 0. For a decode engine, Tokens is
	// 0, and KV is the memory, in tokens, that the request will use. PromptTokens is the part of KV that is in use
	// from the beginning. OutputReserve is the further memory that must be free when decoding begins.
	Tokens        int
	KV            int
	PromptTokens  int
	OutputReserve int
}

// StreamEnded reports that a stream of any box ended on a decode engine. A report of the engine that was measured later
// no longer includes the stream.
type StreamEnded struct {
	Engine string
	At     time.Time
	Tokens int // The memory that the stream used.
}

// RemoteQueue reports how many requests wait on the other boxes, as a sum over these boxes. All of these
// requests wait for an engine.
type RemoteQueue struct {
	Waiting int
	// Told is how many callers the other boxes told to retry, and which have not been due for long.
	Told int
	// Accounts are the client accounts that the other boxes report. Accounts that wait nowhere may be missing.
	Accounts []AccountQueue
}

// AccountQueue counts the requests of a client account and rank in a pool.
type AccountQueue struct {
	Pool   string
	Client string
	Rank   int
	// Weight is the share of the account relative to other accounts; 0 stands for 1.
	Weight  float64
	Waiting int
	// Running are the starting and running requests. An account that waits with several ranks has them in one entry only.
	Running int
}

// RemotePrefillRefused reports that an engine refused a prompt of another box.
type RemotePrefillRefused struct{ Engine string }

// ProbeFailed reports that an engine did not answer a load probe.
type ProbeFailed struct {
	Engine string
	// Box is the box that probed the engine.
	Box string
}

// Evicted reports that a prefill engine dropped cached blocks.
type Evicted struct {
	Engine string
	Blocks []uint64
	// All reports that messages about dropped blocks were lost. Any block may then have been dropped.
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
func (RerunForbidden) event()       {}
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

// StartDecode sends the request to a decode engine, with the handle (the name of the KV cache on the prefill engine).
// If Prefill is empty, the decode engine prefills the prompt itself.
type StartDecode struct {
	ID      ID
	Attempt Attempt
	Prefill string
	// PrefillAttempt is the number of the call that produced the KV cache.
	PrefillAttempt Attempt
	Decode         string
	Priority       int
	// Moved says why an earlier choice of decode engine no longer holds. Either the engine could not be used, or
	// its call failed. Moved is OK if neither happened.
	Moved outcome.Reason
	// Rerun is set if the engine runs the request for the second time, because the connection of the first run was
	// lost or the first run did not begin in time. Rerun says how; otherwise it is OK. Prefill is empty then, and
	// the handle is not used any more.
	Rerun outcome.Reason
	// Choice is set only if Prefill is empty and Rerun is OK. Otherwise the Choice is in an earlier action.
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

// Waiting reports that the request waits on this box. Reason names the role of engine that the request waits for.
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
	// Until is set if the engine was set aside. It is when the engine is tried again.
	Until time.Time
	// Box is set if the engine is unresponsive. It is the box whose probe got no answer.
	Box string
}

// State is the observed state of an engine.
type State uint8

// The states of an engine. SetAside: several calls failed in a row, so no requests are sent to the engine for some
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

// End reports that a request was refused, or ended before its answer was complete. After a Done or Cancel event, there
// is no End for the request.
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
	// Candidates are the compared pairs with the lowest cost, cheapest first. There are at most maxCandidates.
	Candidates []Candidate `json:"candidates"`
	// Compared is the number of pairs of a prefill and a decode engine that were compared. If no prefill engine
	// could take the request, Compared is the number of decode engines.
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

// Candidate is one pair of a prefill and a decode engine, with the values on which the comparison was based.
type Candidate struct {
	Prefill string `json:"prefill"` // Empty if the decode engine prefills the prompt.
	Decode  string `json:"decode"`
	// SameHall reports that the transfer stays inside one data hall.
	SameHall    bool          `json:"same_hall"`
	Cached      int           `json:"cached"`            // Prompt tokens expected to be cached.
	Queue       time.Duration `json:"queue_ns"`          // Wait until the prefill engine is free.
	PrefillTime time.Duration `json:"read_ns"`           // Prefilling the uncached part of the prompt.
	Transfer    time.Duration `json:"transfer_ns"`       // Transfer of the KV cache, including the wait for other transfers.
	FirstToken  time.Duration `json:"first_token_ns"`    // Predicted time to the first token, from now.
	Step        time.Duration `json:"between_tokens_ns"` // Predicted time between tokens.
	FreeKV      int           `json:"free_kv_tokens"`    // Free decode memory before this request, in tokens.
	Cost        float64       `json:"cost_s"`            // In seconds. The pair with the lowest cost is chosen.
	// ReportAge is the age of the decode engine's last report; 0 if there is none.
	ReportAge time.Duration `json:"report_age_ns"`
}
