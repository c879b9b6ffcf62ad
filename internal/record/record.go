// Package record stores the decisions that were made about each request, and explains them in plain sentences. A record
// contains no prompt text and no API key.
package record

import (
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// StepKind is the kind of a Step.
type StepKind string

// Kinds of steps.
const (
	StepPolicy           StepKind = "policy"
	StepWait             StepKind = "wait"
	StepPrefill          StepKind = "prefill"
	StepPrefillDone      StepKind = "read" // The prefill engine has finished the prompt.
	StepDecode           StepKind = "decode"
	StepRerun            StepKind = "rerun"    // The engine Decode runs the request again; Reason is how its first call failed.
	StepNoRerun          StepKind = "no_rerun" // The engine Decode could not run the request again; Text is why.
	StepFirstToken       StepKind = "first_token"
	StepRetry            StepKind = "retry"
	StepResume           StepKind = "resume"
	StepAbort            StepKind = "abort"
	StepWastedPrefill    StepKind = "waste"
	StepEndpoint         StepKind = "endpoint" // A plain service's endpoint was called.
	StepFailed           StepKind = "failed"   // A call to the endpoint Decode failed; Text is the connection error.
	StepMigrate          StepKind = "migrate"  // A stream is to be migrated to the engine Decode; Text is why.
	StepMigrated         StepKind = "migrated" // The stream continues at the engine Decode.
	StepMigrationAborted StepKind = "stayed"   // The migration was aborted, and the stream continues at its old engine.
	// StepMigrationAnswers means that a migration request is settled. Text has the answers of the engine to each try, and
	// StepSourceEnded means that the answer of the engine Decode ended before that; Text says how.
	StepMigrationAnswers StepKind = "migrate_answers"
	StepSourceEnded      StepKind = "source_ended"
	// StepNoRoom means that memory on a decode engine was refused. If Text is empty, the engine refused. Otherwise
	// Text names the box that refused. That box grants the engine's memory to the other boxes.
	StepNoRoom StepKind = "no_room"
	// StepYielded means that the box Text, which grants the memory of the decode engine, left it to a request that goes first.
	StepYielded StepKind = "yielded"
	// StepTunnel means that the box Text carried the connection of the call to the endpoint Decode.
	StepTunnel StepKind = "tunnel"
	// StepOrigin means that the stream that the caller takes up began at the build Build. Text is the box that knew; it is
	// empty if this box did.
	StepOrigin StepKind = "origin"
	// StepPlannedOrigin means that no box knew the origin of the stream that the caller takes up, and that the store tells the
	// build Build: by plan Plan, or by the log if Plan is 0. Text is the box that has read the store; it is empty if this box
	// did.
	StepPlannedOrigin StepKind = "planned_origin"
	// StepBeginning means that a new stream begins at the build Build under plan Plan. Text says how other boxes can tell.
	StepBeginning StepKind = "beginning"
	// StepSlot means that a slot of a plain service's endpoints was granted or refused. Slot has the details. Decode is
	// the endpoint of a granted slot. Text is the reason of a refusal.
	StepSlot StepKind = "slot"
	// StepConnWait means that the call to the endpoint Decode waited, because this box has all the connections to the endpoint
	// that it may open. Text says how long and how many.
	StepConnWait StepKind = "connection_wait"
	// StepSuspected means that the request waited, because a part of its prompt was suspected to crash endpoints. Text names
	// the part and the crashes.
	StepSuspected StepKind = "suspected"
	// StepTrial means that the request was sent on although a part of its prompt is quarantined. Text names the part and the
	// crashes.
	StepTrial StepKind = "trial"
)

// Step is one event in the processing of a request. Which fields are set depends on Kind. Decode names the decode
// engine, or the endpoint of a plain service.
type Step struct {
	// After is the time since the request arrived.
	After   time.Duration  `json:"after_ns"`
	Kind    StepKind       `json:"kind"`
	Attempt int            `json:"attempt,omitempty"`
	Prefill string         `json:"prefill,omitempty"`
	Decode  string         `json:"decode,omitempty"`
	Reason  outcome.Reason `json:"reason"`
	Text    string         `json:"text,omitempty"`
	// Build is the version of the software of the engine Decode. It is set where the engine begins or continues an answer.
	Build string `json:"build,omitempty"`
	// Plan is the number of a plan for the builds at which streams begin.
	Plan   int64          `json:"plan,omitempty"`
	Tokens int            `json:"tokens,omitempty"`
	Choice *decide.Choice `json:"choice,omitempty"`
	// EndpointState is the state of a plain service's endpoint when it was selected.
	EndpointState *EndpointState `json:"seen,omitempty"`
	// Slot is the decision on a request for a slot of a plain service's endpoints.
	Slot *SlotState `json:"slot,omitempty"`
}

// SlotState is the decision on a request for a slot of a plain service's endpoints, and what it was based on.
type SlotState struct {
	// Owner is the box that decided. It is empty if no owner answered; then this box decided by its own part of the
	// slots.
	Owner    string `json:"owner,omitempty"`
	WaitedMS int64  `json:"waited_ms"`
	// Ahead is the number of requests ahead of a refused one. For a granted one it is the number of all others that were
	// waiting at that moment, in whatever order they are served. InUse is the number of granted slots, and Limit
	// how many may be granted at the same time.
	Ahead int `json:"ahead"`
	InUse int `json:"in_use"`
	Limit int `json:"limit"`
	// AgeMS is the time since the latest sign that calls compete for the service's endpoints. While there are such
	// signs, a box asks for slots.
	AgeMS int64 `json:"age_ms"`
	// Cell is the index of the cell of endpoints that was asked for, and Account the client account of the request.
	Cell    int    `json:"cell"`
	Account string `json:"account,omitempty"`
	// Returning is set if the caller was refused before. RetryMS is the time after which the owner of the cell expects
	// a slot for a refused request; 0 if it expects none.
	Returning bool  `json:"returning,omitempty"`
	RetryMS   int64 `json:"retry_ms,omitempty"`
}

// EndpointState is the state of an endpoint of a plain service as observed by a box.
type EndpointState struct {
	// Compared is the number of endpoints that could have been selected.
	Compared int `json:"compared"`
	// Calls is the number of calls of this box to the endpoint that were in progress.
	Calls int `json:"calls"`
	// Mean is the moving average of the endpoint's response times.
	Mean time.Duration `json:"mean_ns"`
	// Failures is the number of consecutive failed calls to the endpoint, up to the latest call.
	Failures int `json:"failures"`
	// ListAge is the time since the box last received the list of endpoints.
	ListAge time.Duration `json:"list_age_ns"`
}

// NewStep converts an action of package decide to a step of a record. ok is false if the action is not recorded.
func NewStep(a decide.Action) (s Step, ok bool) {
	switch a := a.(type) {
	case decide.StartPrefill:
		return Step{Kind: StepPrefill, Attempt: int(a.Attempt), Prefill: a.Prefill, Decode: a.Decode, Choice: a.Choice}, true
	case decide.StartDecode:
		if a.Rerun != outcome.OK {
			return Step{Kind: StepRerun, Attempt: int(a.Attempt), Decode: a.Decode, Reason: a.Rerun}, true
		}
		return Step{Kind: StepDecode, Attempt: int(a.Attempt), Prefill: a.Prefill, Decode: a.Decode, Reason: a.Moved, Choice: a.Choice}, true
	case decide.Migrate:
		why := a.From + " will run out of memory"
		if a.Leaving {
			why = a.From + " is leaving"
		}
		return Step{Kind: StepMigrate, Attempt: int(a.Attempt), Decode: a.To, Text: why}, true
	case decide.Retry:
		return Step{Kind: StepRetry, Decode: a.Engine, Reason: a.Reason}, true
	case decide.RerunEnded:
		return Step{Kind: StepNoRerun, Decode: a.Engine, Text: a.Text}, a.Result == decide.RerunDeclined
	case decide.Waiting:
		return Step{Kind: StepWait, Reason: a.Reason, Tokens: a.View.Waiting}, true
	case decide.WastedPrefill:
		return Step{Kind: StepWastedPrefill, Reason: a.Reason, Tokens: a.Tokens}, true
	case decide.Abort:
		return Step{Kind: StepAbort, Attempt: int(a.Attempt), Decode: a.Engine}, true
	case decide.PolicyVerdict:
		if a.Verdict.Fault != "" {
			return Step{Kind: StepPolicy, Text: "the program failed (" + a.Verdict.Fault + "), so the built-in rules decided"}, true
		}
		return Step{Kind: StepPolicy, Text: a.Verdict.Text}, true
	}
	return Step{}, false
}

// Record is everything that is recorded about one request.
type Record struct {
	ID     string    `json:"id"`
	Box    string    `json:"box"`
	Client string    `json:"client,omitempty"`
	Route  string    `json:"route,omitempty"`
	Model  string    `json:"model,omitempty"`
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
	// ConfigVersion is the version of the configuration on which the decisions were based.
	ConfigVersion int64 `json:"config_version"`
	// Rule is the name of the rule that selected the policy for this request. It is empty if no rule matched. The
	// rule belongs to the version PolicyVersion of the policies.
	Rule          string         `json:"rule,omitempty"`
	PolicyVersion int64          `json:"policy_version,omitempty"`
	PromptTokens  int            `json:"prompt_tokens,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Repeatable    bool           `json:"repeatable"`
	FirstTarget   time.Duration  `json:"first_token_target_ns,omitempty"`
	GapTarget     time.Duration  `json:"between_tokens_target_ns,omitempty"`
	Steps         []Step         `json:"steps"`
	Kind          outcome.Kind   `json:"outcome"`
	Reason        outcome.Reason `json:"reason"`
	Detail        string         `json:"detail,omitempty"`
	FirstToken    time.Duration  `json:"first_token_ns,omitempty"`
	LongestGap    time.Duration  `json:"longest_gap_ns,omitempty"`
	Output        int            `json:"output_tokens,omitempty"`
	// Resumes is the ID of the caller's earlier attempt whose stream the request continues, as the caller named it.
	Resumes string `json:"resumes,omitempty"`
	// Framing is how the endpoint whose answer was passed on last delimited it. It is empty if there was no such answer.
	Framing h1.Framing `json:"framing,omitempty"`
	// HeaderSent says that the header of a response was sent to the caller.
	HeaderSent bool          `json:"begun,omitempty"`
	Duration   time.Duration `json:"took_ns"`
}

// LastEndpoint returns the endpoint of the latest recorded step of two kinds: an endpoint answered the request, or was
// called for an answer. If there is no such step, LastEndpoint returns an empty string.
func (r *Record) LastEndpoint() string {
	for i := len(r.Steps) - 1; i >= 0; i-- {
		switch s := &r.Steps[i]; s.Kind {
		case StepFirstToken, StepMigrated, StepEndpoint, StepDecode, StepRerun:
			return s.Decode
		}
	}
	return ""
}

// Ring holds the newest records of a box in memory. When it is full, each new record replaces the oldest one.
type Ring struct {
	mu   sync.Mutex
	size int
	next int
	list []*Record
	byID map[string]*Record
}

// NewRing returns a ring of at most size records.
func NewRing(size int) *Ring {
	return &Ring{size: size, byID: map[string]*Record{}}
}

// Add stores the record of a finished request. The record must not be changed afterwards.
func (g *Ring) Add(r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byID[r.ID] = r
	if len(g.list) < g.size {
		g.list = append(g.list, r)
		return
	}
	delete(g.byID, g.list[g.next].ID)
	g.list[g.next] = r
	g.next = (g.next + 1) % g.size
}

// Get returns the record of the request with the given id, or nil if the ring does not contain it.
func (g *Ring) Get(id string) *Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byID[id]
}
