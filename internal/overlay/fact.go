package overlay

import (
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Message is a gossip message. It reports an observation of one box that is of use to the other boxes. Exactly one of
// the fields after Box is set. Messages can be lost, delayed or duplicated. No guarantee depends on messages.
type Message struct {
	// At is when the observation was made. It is a time of the monotonic clock of the box that reads this field, not
	// of the box that made the observation.
	At time.Time
	// Box is the name of the box that made the observation. It is empty for this box.
	Box string

	Load    *Load
	Refused *PrefillRefused
	Placed  *StreamPlaced
	Ended   *StreamEnded
	Timing  *StreamTiming
	Notice  *Notice
	// Waiting is how many streams wait for engines on the box that sends the message.
	Waiting *StreamsWaiting
	// Contended is sent by a box whose own calls compete for the slots of a service's endpoints.
	Contended *ServiceContended
	// CallerLoad is how many new connections of callers the box that sends the message gets.
	CallerLoad *CallerLoad
	// Omitted is set only in received messages. It stands for messages that the sender left out.
	Omitted *OmittedStreams
}

// OmittedStreams counts streams of a service whose messages were not sent to this box. Other boxes placed these streams
// at engines that this box sends no streams to.
type OmittedStreams struct {
	Service string
	Placed  int
}

// Notice is what an endpoint reported about itself in the answer to a request. Message.At is when the request was sent.
type Notice struct {
	Endpoint string
	// Limit is how many requests a second the endpoint accepts from all boxes together. It is 0 if the endpoint
	// reports no limit.
	Limit   float64
	Leaving bool
	// Completed means that the endpoint completed the request successfully.
	Completed bool
}

// StreamEnded reports that an engine no longer generates a stream.
type StreamEnded struct {
	Engine string
	Tokens int // Tokens of KV cache that the stream used when it ended.
}

// StreamTiming reports how long a stream took at the engines of a pool. A field that was not observed is 0.
type StreamTiming struct {
	Pool string
	// PrefillTokens is how many tokens were prefilled in PrefillTime. Both values include the prompts that were queued
	// before this prompt.
	PrefillTokens int
	PrefillTime   time.Duration
	// FirstEventDelay is the time from the request to the decode engine until the first event. Step is the mean time
	// that the engine needed for a token. Meanwhile the engine ran Streams streams.
	FirstEventDelay time.Duration
	Step            time.Duration
	Streams         int
}

// ServiceContended reports that calls compete for the slots of a service's endpoints in a region. The boxes that receive
// it ask the owners of these slots before they send a call.
type ServiceContended struct{ Service, Region string }

// CallerLoad reports how many new connections of callers a box gets a second, whether it reads them or not.
type CallerLoad struct{ PerSecond float64 }

// StreamsWaiting reports how many streams wait for engines on a box.
type StreamsWaiting struct {
	Streams int
	// Told is how many callers the box told to retry. HasTold is false in messages from a box of an older release, which
	// does not report it.
	Told    int
	HasTold bool
	// Accounts are client accounts with streams that wait on some box, sorted by pool. There are at most
	// MaxAccountStreams. Accounts that make the message longer than maxStreamMessageBytes are not sent.
	Accounts []AccountStreams
}

// AccountStreams counts the streams of a client account and rank in a pool of engines on a box.
type AccountStreams struct {
	Pool    string
	Account string // Empty for callers without an account.
	Rank    int
	Weight  float64 // The share of the account relative to other accounts; 0 stands for 1.
	Waiting int
	Running int // Streams that start or run. Of the entries of an account, one has them.
}

// MaxAccountStreams bounds the accounts in a StreamsWaiting message.
const MaxAccountStreams = 8

func (w *StreamsWaiting) encode() *v1.StreamsWaiting {
	out := &v1.StreamsWaiting{N: int32(w.Streams)}
	if w.HasTold {
		out.Told = proto.Int32(int32(min(w.Told, maxWaiting-1)))
	}
	pool := ""
	for _, a := range w.Accounts[:min(len(w.Accounts), MaxAccountStreams)] {
		m := &v1.AccountStreams{Account: a.Account, Rank: encodeRank(a.Rank), Weight: float32(a.Weight), Waiting: int32(a.Waiting), Running: int32(a.Running)}
		if a.Weight == 1 {
			m.Weight = 0
		}
		if a.Pool != pool {
			m.Pool = a.Pool
		}
		out.Accounts = append(out.Accounts, m)
		if proto.Size(out) > maxStreamMessageBytes-messageHeaderBytes {
			out.Accounts = out.Accounts[:len(out.Accounts)-1]
			break
		}
		pool = a.Pool
	}
	return out
}

func decodeWaiting(m *v1.StreamsWaiting) (*StreamsWaiting, bool) {
	if !validStreams(m.GetN()) || !validStreams(m.GetTold()) || len(m.GetAccounts()) > MaxAccountStreams {
		return nil, false
	}
	w := &StreamsWaiting{Streams: int(m.GetN()), Told: int(m.GetTold()), HasTold: m != nil && m.Told != nil}
	pool := ""
	for _, a := range m.GetAccounts() {
		if a.Pool != "" {
			pool = a.Pool
		}
		if !validName(pool) || !validText(a.Account) || !validStreams(a.Waiting) || !validStreams(a.Running) || !validRank(a.Rank) || !validWeight(float64(a.Weight)) {
			return nil, false
		}
		w.Accounts = append(w.Accounts, AccountStreams{Pool: pool, Account: a.Account, Rank: int(a.Rank), Weight: float64(a.Weight), Waiting: int(a.Waiting), Running: int(a.Running)})
	}
	return w, true
}

func validStreams(n int32) bool { return n >= 0 && n < maxWaiting }

func encodeRank(n int) int32 { return int32(max(-maxPriority, min(n, maxPriority))) }

func validRank(n int32) bool { return n >= -maxPriority && n <= maxPriority }

// validWeight reports whether the weight of an account is in bounds. NaN fails both comparisons.
func validWeight(w float64) bool { return w >= 0 && w <= maxAccountWeight }

// Load is the load that an engine reports.
type Load struct {
	Engine string
	// Unresponsive means that the engine did not answer. Then all fields except Engine and Unresponsive are zero.
	Unresponsive   bool
	Decodes        bool // The engine's role is to decode, not to prefill.
	Leaving        bool
	ExecutingOrder bool // The engine executes an order of a box.
	Queued         int
	Running        int
	KVUsed         int // Tokens.
	KVTotal        int // Tokens.
	Orders         int64
	// Runs are the streams that the engine runs.
	Runs []StreamLoad
}

// StreamLoad is one stream that an engine runs.
type StreamLoad struct {
	Tokens int // Tokens of KV cache that the stream uses.
	Events int // Events generated so far.
}

// PrefillRefused reports that an engine refused to prefill a prompt.
type PrefillRefused struct{ Engine string }

// StreamPlaced reports that a box sends a stream to engines. Sizes are in tokens.
type StreamPlaced struct {
	PrefillEngine string // Empty if the decode engine prefills the prompt itself.
	PrefillTokens int
	DecodeEngine  string
	KVTokens      int // KV cache that the stream is expected to use in total.
	PromptTokens  int // The part of KVTokens that holds the prompt.
	OutputReserve int // KV cache reserved for the answer until it is generated.
	// Owner is the engine's owner: the box that all boxes ask before they place a stream at the engine. Owner is set if
	// that box granted the stream and has reserved KV cache for it. Otherwise Owner is empty.
	Owner string
	// Service is the service that the engines belong to.
	Service string
}

// encode encodes a message that is sent at the time now. The caller must set the sender, the sender's incarnation and
// the sequence number.
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
		out.Kind = &v1.Fact_Waiting{Waiting: msg.Waiting.encode()}
	case msg.Contended != nil:
		out.Kind = &v1.Fact_Contended{Contended: &v1.ServiceContended{Service: msg.Contended.Service, Region: msg.Contended.Region}}
	case msg.CallerLoad != nil:
		out.Kind = &v1.Fact_CallerLoad{CallerLoad: &v1.CallerLoad{ConnectionsPerS: float32(msg.CallerLoad.PerSecond)}}
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

// These constants bound the values in messages of other boxes. A wrong value must not upset the arithmetic.
const (
	maxMessageAge = time.Minute
	maxTokens     = 1 << 26
	maxRuns       = 1024
	// maxNameBytes bounds the names of services, regions, endpoints and accounts in messages about slots, and those of members.
	maxNameBytes = 256
	// maxStreams bounds the queued and the running streams of an engine.
	maxStreams = 1 << 20
	// maxWaiting bounds the number of streams that wait on a box.
	maxWaiting = 1 << 20
	// maxAccountWeight bounds the weight of a client account.
	maxAccountWeight = 1e6
	// maxStreamMessageBytes bounds the messages about waiting streams and for room. messageHeaderBytes is the part of a gossip
	// message outside of StreamsWaiting, for a box whose name has at most 64 bytes.
	maxStreamMessageBytes = 400
	messageHeaderBytes    = 100
	// maxRequestRate bounds an endpoint's limit, in requests a second, and a box's new connections a second.
	maxRequestRate = 1e6
	// maxDurationUs bounds the durations of StreamTiming, in microseconds.
	maxDurationUs = int64(time.Minute / time.Microsecond)
)

// decode decodes a message that arrived at the time now. Ok is false if the kind of the message is unknown or
// a value is out of bounds.
func decode(m *v1.Fact, now time.Time) (msg Message, ok bool) {
	if m.AgeMs < 0 || m.AgeMs > maxMessageAge.Milliseconds() {
		return msg, false
	}
	age := time.Duration(m.AgeMs) * time.Millisecond
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
		msg.Waiting, ok = decodeWaiting(k.Waiting)
	case *v1.Fact_Contended:
		msg.Contended = &ServiceContended{Service: k.Contended.GetService(), Region: k.Contended.GetRegion()}
		ok = validName(msg.Contended.Service) && validText(msg.Contended.Region)
	case *v1.Fact_CallerLoad:
		n := float64(k.CallerLoad.GetConnectionsPerS())
		msg.CallerLoad, ok = &CallerLoad{PerSecond: n}, n >= 0 && n <= maxRequestRate // NaN fails both comparisons.
	}
	return msg, ok
}

func validTokens(n int32) bool { return n >= 0 && n < maxTokens }

// validText reports whether a text is within the bound and can be sent in a message.
func validText(text string) bool { return len(text) <= maxNameBytes && utf8.ValidString(text) }

// validName reports whether a name is present and a validText.
func validName(name string) bool { return name != "" && validText(name) }

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
	if m.Queued < 0 || m.Queued > maxStreams || m.Running < 0 || m.Running > maxStreams {
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
