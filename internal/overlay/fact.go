package overlay

import (
	"time"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Message is a gossip message: something that one box observed and that is of use to the others.
// Exactly one of the fields after Box is set. Messages may be lost, delayed or duplicated; no
// guarantee depends on them.
type Message struct {
	// At is when it was observed, by this box's monotonic clock.
	At time.Time
	// Box is the box that observed it; empty for this one.
	Box string

	Load    *Load
	Refused *PrefillRefused
	Placed  *StreamPlaced
	Ended   *StreamEnded
	Timing  *StreamTiming
	Notice  *Notice
	// Waiting is the number of streams that wait on a box.
	Waiting *StreamsWaiting
	// Omitted is only received: it replaces messages that were left out.
	Omitted *OmittedStreams
}

// OmittedStreams counts the streams of a service that other boxes placed at engines which this box
// does not deal with.
type OmittedStreams struct {
	Service string
	Placed  int
}

// Notice is what an endpoint reported about itself in an answer to a request that was sent at Message.At.
type Notice struct {
	Endpoint string
	// Limit is how many requests a second it accepts from all boxes together; 0 if it names none.
	Limit   float64
	Leaving bool
	// Completed means that the answer was to a request that completed successfully.
	Completed bool
}

// StreamEnded reports that an engine no longer generates a stream.
type StreamEnded struct {
	Engine string
	Tokens int // KV cache that the stream used at its end.
}

// StreamTiming reports how long a stream took at the engines of a pool. What was not observed is 0.
type StreamTiming struct {
	Pool string
	// PrefillTokens were prefilled in PrefillTime, those of prompts queued before it included.
	PrefillTokens int
	PrefillTime   time.Duration
	// FirstEventDelay is the time from the request to the decode engine until the first event, and Step
	// the mean time per token, while the engine ran Streams streams.
	FirstEventDelay time.Duration
	Step            time.Duration
	Streams         int
}

// StreamsWaiting reports how many streams wait for engines on a box.
type StreamsWaiting struct{ Streams int }

// Load is the load that an engine reports.
type Load struct {
	Engine string
	// Unresponsive means that the engine did not answer; then the rest is zero.
	Unresponsive   bool
	Decodes        bool // Its role is decode and not prefill.
	Leaving        bool
	ExecutingOrder bool // It executes an order.
	Queued         int
	Running        int
	KVUsed         int // Tokens.
	KVTotal        int // Tokens.
	Orders         int64
	// Runs are the streams that it runs.
	Runs []StreamLoad
}

// StreamLoad is one stream that an engine runs.
type StreamLoad struct {
	Tokens int // Of KV cache.
	Events int // Generated so far.
}

// PrefillRefused reports that an engine rejected a prompt.
type PrefillRefused struct{ Engine string }

// StreamPlaced reports that a box sends a stream to engines.
type StreamPlaced struct {
	PrefillEngine string // Empty if the decode engine prefills the prompt itself.
	PrefillTokens int
	DecodeEngine  string
	KVTokens      int // KV cache that the stream is expected to use,
	PromptTokens  int // and the part of it that is for the prompt.
	OutputReserve int // Reserved beside the prompt until it is generated.
	// Owner is the owner that granted the room and has reserved it for the stream; empty if none did.
	Owner string
	// Service is the one that the engines belong to.
	Service string
}

// encode encodes a message that is sent at a time; the node fills in the sender's fields.
func (msg *Message) encode(now time.Time) *v1.Fact {
	out := &v1.Fact{AgeMs: max(0, now.Sub(msg.At).Milliseconds())}
	switch {
	case msg.Load != nil:
		out.Kind = &v1.Fact_Load{Load: msg.Load.encode()}
	case msg.Refused != nil:
		out.Kind = &v1.Fact_Refused{Refused: &v1.EngineRefused{Engine: msg.Refused.Engine}}
	case msg.Placed != nil:
		out.Kind = &v1.Fact_Placed{Placed: &v1.EnginePlaced{
			Reader: msg.Placed.PrefillEngine, ReadTokens: int32(msg.Placed.PrefillTokens), Writer: msg.Placed.DecodeEngine, KvTokens: int32(msg.Placed.KVTokens), PromptTokens: int32(msg.Placed.PromptTokens), AheadTokens: int32(msg.Placed.OutputReserve),
			Home: msg.Placed.Owner, Service: msg.Placed.Service,
		}}
	case msg.Ended != nil:
		out.Kind = &v1.Fact_Ended{Ended: &v1.StreamEnded{Engine: msg.Ended.Engine, Tokens: int32(msg.Ended.Tokens)}}
	case msg.Timing != nil:
		out.Kind = &v1.Fact_Took{Took: msg.Timing.encode()}
	case msg.Notice != nil:
		out.Kind = &v1.Fact_Notice{Notice: &v1.EndpointNotice{Endpoint: msg.Notice.Endpoint, Limit: msg.Notice.Limit, Leaving: msg.Notice.Leaving, Ran: msg.Notice.Completed}}
	case msg.Waiting != nil:
		out.Kind = &v1.Fact_Waiting{Waiting: &v1.StreamsWaiting{N: int32(msg.Waiting.Streams)}}
	}
	return out
}

func (t *StreamTiming) encode() *v1.StreamTook {
	return &v1.StreamTook{
		Pool: t.Pool, ReadTokens: int32(t.PrefillTokens), ReadUs: t.PrefillTime.Microseconds(),
		BeginUs: t.FirstEventDelay.Microseconds(), StepUs: t.Step.Microseconds(), Streams: int32(t.Streams),
	}
}

func (l *Load) encode() *v1.EngineLoad {
	out := &v1.EngineLoad{
		Engine: l.Engine, Silent: l.Unresponsive, Writes: l.Decodes, Leaving: l.Leaving, Busy: l.ExecutingOrder, Queued: int32(l.Queued),
		Running: int32(l.Running), KvUsed: int32(l.KVUsed), KvTotal: int32(l.KVTotal), Orders: l.Orders,
	}
	for _, r := range l.Runs {
		out.Runs = append(out.Runs, int32(r.Tokens), int32(r.Events))
	}
	return out
}

// Bounds of what another box may report: a wrong value must not upset the arithmetic.
const (
	maxMessageAge = time.Minute
	maxTokens     = 1 << 26
	maxRuns       = 1024
	// maxWaiting bounds the streams that wait on a box.
	maxWaiting = 1 << 20
	// maxRequestRate bounds an endpoint's limit, in requests a second.
	maxRequestRate = 1e6
	// maxDurationUs bounds the durations of StreamTiming, in microseconds.
	maxDurationUs = int64(time.Minute / time.Microsecond)
)

// decode decodes a message that arrived at a time; ok is false for one of an unknown kind, or with
// values out of bounds.
func decode(m *v1.Fact, now time.Time) (msg Message, ok bool) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	if age < 0 || age > maxMessageAge {
		return msg, false
	}
	msg.At, msg.Box = now.Add(-age), m.Box
	switch k := m.Kind.(type) {
	case *v1.Fact_Load:
		msg.Load, ok = decodeLoad(k.Load)
	case *v1.Fact_Refused:
		msg.Refused, ok = &PrefillRefused{k.Refused.GetEngine()}, k.Refused.GetEngine() != ""
	case *v1.Fact_Placed:
		p := k.Placed
		ok = p.GetWriter() != "" && validTokens(p.GetReadTokens()) && validTokens(p.GetKvTokens()) && validTokens(p.GetPromptTokens()) && validTokens(p.GetAheadTokens())
		msg.Placed = &StreamPlaced{PrefillEngine: p.GetReader(), PrefillTokens: int(p.GetReadTokens()), DecodeEngine: p.GetWriter(), KVTokens: int(p.GetKvTokens()), PromptTokens: int(p.GetPromptTokens()), OutputReserve: int(p.GetAheadTokens()), Owner: p.GetHome(), Service: p.GetService()}
	case *v1.Fact_Ended:
		msg.Ended, ok = &StreamEnded{k.Ended.GetEngine(), int(k.Ended.GetTokens())}, k.Ended.GetEngine() != "" && validTokens(k.Ended.GetTokens())
	case *v1.Fact_Took:
		msg.Timing, ok = decodeTiming(k.Took)
	case *v1.Fact_Notice:
		n := k.Notice
		ok = n.GetEndpoint() != "" && n.GetLimit() >= 0 && n.GetLimit() <= maxRequestRate // NaN fails both comparisons.
		msg.Notice = &Notice{Endpoint: n.GetEndpoint(), Limit: n.GetLimit(), Leaving: n.GetLeaving(), Completed: n.GetRan()}
	case *v1.Fact_Waiting:
		msg.Waiting, ok = &StreamsWaiting{int(k.Waiting.GetN())}, k.Waiting.GetN() >= 0 && k.Waiting.GetN() < maxWaiting
	}
	return msg, ok
}

func validTokens(n int32) bool { return n >= 0 && n < maxTokens }

func decodeTiming(m *v1.StreamTook) (*StreamTiming, bool) {
	for _, us := range []int64{m.GetReadUs(), m.GetBeginUs(), m.GetStepUs()} {
		if us < 0 || us > maxDurationUs {
			return nil, false
		}
	}
	if m.GetPool() == "" || !validTokens(m.ReadTokens) || m.Streams < 0 || m.Streams > maxRuns {
		return nil, false
	}
	micros := func(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
	return &StreamTiming{
		Pool: m.Pool, PrefillTokens: int(m.ReadTokens), PrefillTime: micros(m.ReadUs),
		FirstEventDelay: micros(m.BeginUs), Step: micros(m.StepUs), Streams: int(m.Streams),
	}, true
}

func decodeLoad(m *v1.EngineLoad) (*Load, bool) {
	if m.GetEngine() == "" || !validTokens(m.KvUsed) || !validTokens(m.KvTotal) || len(m.Runs) > 2*maxRuns || len(m.Runs)%2 != 0 {
		return nil, false
	}
	l := &Load{
		Engine: m.Engine, Unresponsive: m.Silent, Decodes: m.Writes, Leaving: m.Leaving, ExecutingOrder: m.Busy, Queued: int(m.Queued),
		Running: int(m.Running), KVUsed: int(m.KvUsed), KVTotal: int(m.KvTotal), Orders: m.Orders,
	}
	for i := 0; i < len(m.Runs); i += 2 {
		if !validTokens(m.Runs[i]) || !validTokens(m.Runs[i+1]) {
			return nil, false
		}
		l.Runs = append(l.Runs, StreamLoad{int(m.Runs[i]), int(m.Runs[i+1])})
	}
	return l, true
}
