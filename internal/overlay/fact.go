package overlay

import (
	"time"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Fact is something that one box learned and the others gain by. Exactly one of the fields
// after At is set. Facts may be lost, late or twice on the way; no promise rests on them.
type Fact struct {
	// At is when it was so, by this box's steady clock.
	At time.Time
	// Box learned it; empty for this one.
	Box string

	Load    *Load
	Refused *Refused
	Placed  *Placed
	Ended   *Ended
	Took    *Took
	Notice  *Notice
	// Waiting is set where the streams that wait on a box are told of.
	Waiting *Waiting
	// Streams is only heard: it stands for facts that were left out.
	Streams *Streams
}

// Streams says how many streams of a service other boxes have placed at engines that this one does not
// deal with.
type Streams struct {
	Service string
	Placed  int
}

// Notice is what an endpoint said of itself in an answer to a request that was sent at the fact's time.
type Notice struct {
	Endpoint string
	// Limit is how many requests a second it takes from all boxes together; 0 if it names none.
	Limit   float64
	Leaving bool
	// Ran says that the answer was to a request that ran to a good end.
	Ran bool
}

// Ended says that an engine does not write a stream any more.
type Ended struct {
	Engine string
	Tokens int // Of memory that it had in the end.
}

// Took says how long a stream took at the engines of a pool. What was not seen is 0.
type Took struct {
	Pool string
	// ReadTokens were read in Read, those of other prompts in front included.
	ReadTokens int
	Read       time.Duration
	// Begin passed from when the writing engine was asked until the first event, and Step is
	// the mean time of a token, among so many Streams at the engine.
	Begin   time.Duration
	Step    time.Duration
	Streams int
}

// Waiting says how many streams wait for engines on a box.
type Waiting struct{ Streams int }

// Load is an engine's own account of itself.
type Load struct {
	Engine string
	// Silent says that the engine did not answer; then the rest is zero.
	Silent  bool
	Writes  bool // Its role: decode and not prefill.
	Leaving bool
	Busy    bool // It carries out an order.
	Queued  int
	Running int
	KVUsed  int // Tokens.
	KVTotal int // Tokens.
	Orders  int64
	// Runs are its streams.
	Runs []Run
}

// Run is one stream that an engine runs.
type Run struct {
	Tokens int // Of memory.
	Events int // Made so far.
}

// Refused says that an engine turned a prompt away.
type Refused struct{ Engine string }

// Placed says that a box sends a stream to engines.
type Placed struct {
	Reader     string // Empty where the writer reads the prompt itself.
	ReadTokens int
	Writer     string
	KVTokens   int // Of memory that it is expected to take,
	Prompt     int // and of these, for the prompt.
	Ahead      int // What is set aside beside the prompt until it is written.
	// Home is the box that granted the room and has booked the stream; empty if none did.
	Home string
	// Service is the one that the engines belong to.
	Service string
}

// encode says a fact as it is sent at a time; the rest of the message is the node's.
func (f *Fact) encode(now time.Time) *v1.Fact {
	out := &v1.Fact{AgeMs: max(0, now.Sub(f.At).Milliseconds())}
	switch {
	case f.Load != nil:
		out.Kind = &v1.Fact_Load{Load: f.Load.encode()}
	case f.Refused != nil:
		out.Kind = &v1.Fact_Refused{Refused: &v1.EngineRefused{Engine: f.Refused.Engine}}
	case f.Placed != nil:
		out.Kind = &v1.Fact_Placed{Placed: &v1.EnginePlaced{
			Reader: f.Placed.Reader, ReadTokens: int32(f.Placed.ReadTokens), Writer: f.Placed.Writer, KvTokens: int32(f.Placed.KVTokens), PromptTokens: int32(f.Placed.Prompt), AheadTokens: int32(f.Placed.Ahead),
			Home: f.Placed.Home, Service: f.Placed.Service,
		}}
	case f.Ended != nil:
		out.Kind = &v1.Fact_Ended{Ended: &v1.StreamEnded{Engine: f.Ended.Engine, Tokens: int32(f.Ended.Tokens)}}
	case f.Took != nil:
		out.Kind = &v1.Fact_Took{Took: f.Took.encode()}
	case f.Notice != nil:
		out.Kind = &v1.Fact_Notice{Notice: &v1.EndpointNotice{Endpoint: f.Notice.Endpoint, Limit: f.Notice.Limit, Leaving: f.Notice.Leaving, Ran: f.Notice.Ran}}
	case f.Waiting != nil:
		out.Kind = &v1.Fact_Waiting{Waiting: &v1.StreamsWaiting{N: int32(f.Waiting.Streams)}}
	}
	return out
}

func (t *Took) encode() *v1.StreamTook {
	return &v1.StreamTook{
		Pool: t.Pool, ReadTokens: int32(t.ReadTokens), ReadUs: t.Read.Microseconds(),
		BeginUs: t.Begin.Microseconds(), StepUs: t.Step.Microseconds(), Streams: int32(t.Streams),
	}
}

func (l *Load) encode() *v1.EngineLoad {
	out := &v1.EngineLoad{
		Engine: l.Engine, Silent: l.Silent, Writes: l.Writes, Leaving: l.Leaving, Busy: l.Busy, Queued: int32(l.Queued),
		Running: int32(l.Running), KvUsed: int32(l.KVUsed), KvTotal: int32(l.KVTotal), Orders: l.Orders,
	}
	for _, r := range l.Runs {
		out.Runs = append(out.Runs, int32(r.Tokens), int32(r.Events))
	}
	return out
}

// Bounds of what another box may claim: a lie must not upset the arithmetic.
const (
	mostAge    = time.Minute
	mostTokens = 1 << 26
	mostRuns   = 1024
	// mostWaiting bounds the streams that wait on a box.
	mostWaiting = 1 << 20
	// mostLimit bounds an endpoint's limit, in requests a second.
	mostLimit = 1e6
	// mostTook bounds what a stream took, in microseconds.
	mostTook = int64(time.Minute / time.Microsecond)
)

// decode reads a fact that came at a time; ok is false for one that says nothing known, or
// nothing that can be.
func decode(m *v1.Fact, now time.Time) (f Fact, ok bool) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	if age < 0 || age > mostAge {
		return f, false
	}
	f.At, f.Box = now.Add(-age), m.Box
	switch k := m.Kind.(type) {
	case *v1.Fact_Load:
		f.Load, ok = decodeLoad(k.Load)
	case *v1.Fact_Refused:
		f.Refused, ok = &Refused{k.Refused.GetEngine()}, k.Refused.GetEngine() != ""
	case *v1.Fact_Placed:
		p := k.Placed
		ok = p.GetWriter() != "" && tokens(p.GetReadTokens()) && tokens(p.GetKvTokens()) && tokens(p.GetPromptTokens()) && tokens(p.GetAheadTokens())
		f.Placed = &Placed{Reader: p.GetReader(), ReadTokens: int(p.GetReadTokens()), Writer: p.GetWriter(), KVTokens: int(p.GetKvTokens()), Prompt: int(p.GetPromptTokens()), Ahead: int(p.GetAheadTokens()), Home: p.GetHome(), Service: p.GetService()}
	case *v1.Fact_Ended:
		f.Ended, ok = &Ended{k.Ended.GetEngine(), int(k.Ended.GetTokens())}, k.Ended.GetEngine() != "" && tokens(k.Ended.GetTokens())
	case *v1.Fact_Took:
		f.Took, ok = decodeTook(k.Took)
	case *v1.Fact_Notice:
		n := k.Notice
		ok = n.GetEndpoint() != "" && n.GetLimit() >= 0 && n.GetLimit() <= mostLimit // Not a number is neither.
		f.Notice = &Notice{Endpoint: n.GetEndpoint(), Limit: n.GetLimit(), Leaving: n.GetLeaving(), Ran: n.GetRan()}
	case *v1.Fact_Waiting:
		f.Waiting, ok = &Waiting{int(k.Waiting.GetN())}, k.Waiting.GetN() >= 0 && k.Waiting.GetN() < mostWaiting
	}
	return f, ok
}

func tokens(n int32) bool { return n >= 0 && n < mostTokens }

func decodeTook(m *v1.StreamTook) (*Took, bool) {
	for _, us := range []int64{m.GetReadUs(), m.GetBeginUs(), m.GetStepUs()} {
		if us < 0 || us > mostTook {
			return nil, false
		}
	}
	if m.GetPool() == "" || !tokens(m.ReadTokens) || m.Streams < 0 || m.Streams > mostRuns {
		return nil, false
	}
	micros := func(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
	return &Took{
		Pool: m.Pool, ReadTokens: int(m.ReadTokens), Read: micros(m.ReadUs),
		Begin: micros(m.BeginUs), Step: micros(m.StepUs), Streams: int(m.Streams),
	}, true
}

func decodeLoad(m *v1.EngineLoad) (*Load, bool) {
	if m.GetEngine() == "" || !tokens(m.KvUsed) || !tokens(m.KvTotal) || len(m.Runs) > 2*mostRuns || len(m.Runs)%2 != 0 {
		return nil, false
	}
	l := &Load{
		Engine: m.Engine, Silent: m.Silent, Writes: m.Writes, Leaving: m.Leaving, Busy: m.Busy, Queued: int(m.Queued),
		Running: int(m.Running), KVUsed: int(m.KvUsed), KVTotal: int(m.KvTotal), Orders: m.Orders,
	}
	for i := 0; i < len(m.Runs); i += 2 {
		if !tokens(m.Runs[i]) || !tokens(m.Runs[i+1]) {
			return nil, false
		}
		l.Runs = append(l.Runs, Run{int(m.Runs[i]), int(m.Runs[i+1])})
	}
	return l, true
}
