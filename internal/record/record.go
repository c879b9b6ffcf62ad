// Package record keeps what was decided about each request and says it in plain
// sentences. A record holds no prompt text and no key.
package record

import (
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// StepKind says what a step of a request was.
type StepKind string

// The kinds of steps.
const (
	StepPolicy   StepKind = "policy"
	StepWait     StepKind = "wait"
	StepPrefill  StepKind = "prefill"
	StepRead     StepKind = "read" // The prefill engine has read the prompt.
	StepDecode   StepKind = "decode"
	StepFirst    StepKind = "first_token"
	StepRetry    StepKind = "retry"
	StepResume   StepKind = "resume"
	StepAbort    StepKind = "abort"
	StepWaste    StepKind = "waste"
	StepEndpoint StepKind = "endpoint" // A plain service's endpoint was called.
	StepFailed   StepKind = "failed"   // A call to Decode failed; Text is the connection's error.
	StepMigrate  StepKind = "migrate"  // A stream is to be moved to Decode, because of Text.
	StepMigrated StepKind = "migrated" // It goes on at Decode.
	StepStayed   StepKind = "stayed"   // It could not be moved.
	StepNoRoom   StepKind = "no_room"  // A decode engine refused to set memory aside, or its home, named in Text, to grant it.
)

// Step is one thing that happened to a request.
type Step struct {
	// After is the time since the request arrived.
	After   time.Duration  `json:"after_ns"`
	Kind    StepKind       `json:"kind"`
	Attempt int            `json:"attempt,omitempty"`
	Prefill string         `json:"prefill,omitempty"`
	Decode  string         `json:"decode,omitempty"`
	Reason  outcome.Reason `json:"reason"`
	Text    string         `json:"text,omitempty"`
	Tokens  int            `json:"tokens,omitempty"`
	Choice  *decide.Choice `json:"choice,omitempty"`
	// Seen is what was known of a plain service's endpoint when it was chosen.
	Seen *Seen `json:"seen,omitempty"`
}

// Seen is what a box knew of an endpoint of a plain service.
type Seen struct {
	// Compared is how many endpoints could have been chosen.
	Compared int `json:"compared"`
	// Calls is how many calls of this box it had in progress.
	Calls int `json:"calls"`
	// Mean is the moving mean of how long its answers took.
	Mean time.Duration `json:"mean_ns"`
	// Failures is how many of its last calls failed in a row.
	Failures int `json:"failures"`
	// ListAge is how long ago the list of endpoints was heard of last.
	ListAge time.Duration `json:"list_age_ns"`
}

// StepOf says an action of the decisions as a step; ok is false for an action that
// the record does not show.
func StepOf(a decide.Action) (s Step, ok bool) {
	switch a := a.(type) {
	case decide.StartPrefill:
		return Step{Kind: StepPrefill, Attempt: int(a.Attempt), Prefill: a.Prefill, Decode: a.Decode, Choice: a.Choice}, true
	case decide.StartDecode:
		return Step{Kind: StepDecode, Attempt: int(a.Attempt), Prefill: a.Prefill, Decode: a.Decode, Reason: a.Moved, Choice: a.Choice}, true
	case decide.Migrate:
		why := a.From + " will run out of memory"
		if a.Leaving {
			why = a.From + " is leaving"
		}
		return Step{Kind: StepMigrate, Attempt: int(a.Attempt), Decode: a.To, Text: why}, true
	case decide.Retry:
		return Step{Kind: StepRetry, Decode: a.Engine, Reason: a.Reason}, true
	case decide.Waiting:
		return Step{Kind: StepWait, Reason: a.Reason, Tokens: a.View.Waiting}, true
	case decide.Waste:
		return Step{Kind: StepWaste, Reason: a.Reason, Tokens: a.Tokens}, true
	case decide.Abort:
		return Step{Kind: StepAbort, Attempt: int(a.Attempt), Decode: a.Engine}, true
	case decide.Ruled:
		if a.Verdict.Fault != "" {
			return Step{Kind: StepPolicy, Text: "the program failed (" + a.Verdict.Fault + "), so the built-in rules decided"}, true
		}
		return Step{Kind: StepPolicy, Text: a.Verdict.Text}, true
	}
	return Step{}, false
}

// Record is the whole account of one request.
type Record struct {
	ID     string    `json:"id"`
	Box    string    `json:"box"`
	Client string    `json:"client,omitempty"`
	Route  string    `json:"route,omitempty"`
	Model  string    `json:"model,omitempty"`
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
	// ConfigVersion is the configuration the decisions were made under.
	ConfigVersion int64 `json:"config_version"`
	// Rule names the rule whose policy was asked, as of PolicyVersion; empty if none was.
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
	// Begun says that the caller was sent the head of an answer.
	Begun bool          `json:"begun,omitempty"`
	Took  time.Duration `json:"took_ns"`
}

// LastEndpoint is the endpoint that answered the request last, or was called last for an answer; empty
// if there was none.
func (r *Record) LastEndpoint() string {
	for i := len(r.Steps) - 1; i >= 0; i-- {
		switch s := &r.Steps[i]; s.Kind {
		case StepFirst, StepMigrated, StepEndpoint, StepDecode:
			return s.Decode
		}
	}
	return ""
}

// Ring keeps the newest records of a box in memory.
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

// Add keeps a finished record; it must not be changed afterwards.
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

// Get finds a record by request id; nil if it is not here.
func (g *Ring) Get(id string) *Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byID[id]
}
