// Package limit enforces the limits of clients. Each box enforces a part of each limit, its share. On a box, a client
// has two token buckets, one for requests and one for tokens. A request is taken from the request bucket before it
// runs. The tokens of the request are taken from the token bucket after the response, when their number is known. So
// the token bucket can go below zero. The client must then wait until the bucket has been refilled.
package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Rule is one limit: Rate units per second with bursts of up to Burst units.
type Rule struct {
	Rate  float64
	Burst float64
}

// Set contains the limits of one client, in requests and in tokens per second. A zero rate means no limit.
type Set struct{ Requests, Tokens Rule }

// Refusal says which limit a client exceeded and when the client may retry.
type Refusal struct {
	Tokens     bool // The limit of tokens was exceeded; otherwise the limit of requests was.
	RetryAfter time.Duration
}

// Table holds the token buckets of all clients. It is divided into shards to reduce lock contention. The buckets of a
// client are created on first use and occupy about 150 bytes.
type Table struct {
	shards       [numShards]shard
	defaultShare atomic.Pointer[float64] // The part granted to clients without a share; nil means all.
}

const numShards = 64

type shard struct {
	mu      sync.Mutex
	clients map[string]*buckets
}

type buckets struct {
	requests, tokens bucket
	requestsSeen     int     // Requests since the last call of Demands, including refused requests.
	share            float64 // The share that the client's owner granted; 0 if none.
}

type bucket struct {
	level float64
	at    time.Time
}

// NewTable returns a table in which the buckets of every client are full.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].clients = map[string]*buckets{}
	}
	return t
}

func (t *Table) shard(client string) *shard {
	h := uint32(2166136261)
	for i := range len(client) {
		h = (h ^ uint32(client[i])) * 16777619
	}
	return &t.shards[h%numShards]
}

// Take takes one request from the client's request bucket. If the request is refused, Take returns the reason and
// false. Refused requests count as demand too.
func (t *Table) Take(now time.Time, client string, s Set) (Refusal, bool) {
	if s.Requests.Rate <= 0 && s.Tokens.Rate <= 0 {
		return Refusal{}, true
	}
	sh := t.shard(client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b, s := sh.get(now, client, s, t.defaultPart())
	b.requestsSeen++
	if s.Tokens.Rate > 0 && b.tokens.level <= 0 {
		return Refusal{Tokens: true, RetryAfter: s.Tokens.timeToReach(b.tokens.level, 1)}, false
	}
	if s.Requests.Rate > 0 && b.requests.level < 1 {
		return Refusal{RetryAfter: s.Requests.timeToReach(b.requests.level, 1)}, false
	}
	if s.Requests.Rate > 0 {
		b.requests.level--
	}
	return Refusal{}, true
}

// Spend takes the tokens that a request used from the client's token bucket. It is called once their number is known.
func (t *Table) Spend(now time.Time, client string, s Set, tokens int) {
	if s.Tokens.Rate <= 0 {
		return
	}
	sh := t.shard(client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b, _ := sh.get(now, client, s, t.defaultPart())
	b.tokens.level -= float64(tokens)
}

func (t *Table) defaultPart() float64 {
	if p := t.defaultShare.Load(); p != nil {
		return *p
	}
	return 1
}

// get returns a client's buckets, refilled up to now, and the limits that this box enforces. These are the client's
// limits scaled to the part that this box may grant. If the client has no buckets yet, get creates full ones.
func (sh *shard) get(now time.Time, client string, s Set, part float64) (*buckets, Set) {
	b := sh.clients[client]
	if b != nil && b.share > 0 {
		part = b.share
	}
	s = s.scaled(part)
	if b == nil {
		b = &buckets{
			requests: bucket{s.Requests.burst(), now},
			tokens:   bucket{s.Tokens.burst(), now},
		}
		sh.clients[client] = b
	}
	b.requests.refill(now, s.Requests)
	b.tokens.refill(now, s.Tokens)
	return b, s
}

// burst returns the most units that can be used without a pause. This is Burst, but at least one unit, and at least the
// units of one second.
func (r Rule) burst() float64 { return max(1, r.Rate, r.Burst) }

// timeToReach returns how long a bucket takes to refill from level to want.
func (r Rule) timeToReach(level, want float64) time.Duration {
	return time.Duration((want - level) / r.Rate * float64(time.Second))
}

func (b *bucket) refill(now time.Time, r Rule) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(r.burst(), b.level+elapsed*r.Rate)
		b.at = now
	}
}
