// Package limit holds the clients' limits, of which each box hands out a share.
// Requests are taken from a
// bucket before they run; tokens are taken after the answer, when their true
// number is known, so a bucket of tokens may go below zero and the client then
// waits until it has filled up again.
package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Rule is one limit: Rate units a second with bursts of up to Burst units.
type Rule struct {
	Rate  float64
	Burst float64
}

// Set is the limits of one client. A zero rate means no limit.
type Set struct{ Requests, Tokens Rule }

// Refusal says which limit was hit and when it will have room again.
type Refusal struct {
	Tokens bool // The limit of tokens; otherwise that of requests.
	After  time.Duration
}

// Table holds the buckets of all clients, in shards so that clients seldom
// share a lock. A bucket costs about 150 bytes and is made on first use.
type Table struct {
	shards [shards]shard
	part   atomic.Pointer[float64] // The default part; nil means all.
}

const shards = 64

type shard struct {
	mu      sync.Mutex
	clients map[string]*buckets
}

type buckets struct {
	requests, tokens bucket
	asked            int     // Requests since the last Demands, refused ones included.
	share            float64 // From the client's home; 0 for none.
}

type bucket struct {
	level float64
	at    time.Time
}

// NewTable returns a table in which every bucket is full.
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
	return &t.shards[h%shards]
}

// Take asks for one request of the client.
func (t *Table) Take(now time.Time, client string, s Set) (Refusal, bool) {
	if s.Requests.Rate <= 0 && s.Tokens.Rate <= 0 {
		return Refusal{}, true
	}
	sh := t.shard(client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b, s := sh.get(now, client, s, t.defaultPart())
	b.asked++
	if s.Tokens.Rate > 0 && b.tokens.level <= 0 {
		return Refusal{Tokens: true, After: s.Tokens.until(b.tokens.level, 1)}, false
	}
	if s.Requests.Rate > 0 && b.requests.level < 1 {
		return Refusal{After: s.Requests.until(b.requests.level, 1)}, false
	}
	if s.Requests.Rate > 0 {
		b.requests.level--
	}
	return Refusal{}, true
}

// Spend takes the tokens a request used, once they are known.
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
	if p := t.part.Load(); p != nil {
		return *p
	}
	return 1
}

// get finds a client's buckets, filled up to now, and this box's part of its limits.
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
	b.requests.fill(now, s.Requests)
	b.tokens.fill(now, s.Tokens)
	return b, s
}

// burst defaults to one second's worth, and at least one unit.
func (r Rule) burst() float64 { return max(1, r.Rate, r.Burst) }

// until is how long a bucket at level takes to reach want.
func (r Rule) until(level, want float64) time.Duration {
	return time.Duration((want - level) / r.Rate * float64(time.Second))
}

func (b *bucket) fill(now time.Time, r Rule) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(r.burst(), b.level+d*r.Rate)
		b.at = now
	}
}
