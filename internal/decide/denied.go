package decide

import (
	"cmp"
	"slices"
	"time"
)

// This file orders the requests of all boxes for the memory of one engine. The owner of the engine remembers for a short
// time which requests it denied. When memory is freed, it denies the memory to requests that go after one of these.

// Precedence decides which of several requests of all boxes gets the memory of an engine.
type Precedence struct {
	// Stream identifies the request among the requests of all boxes; 0 if the asking box sends no precedence.
	Stream uint64
	Rank   int
	// Account is the client account, and Weight its share relative to other accounts; 0 stands for 1. Streams is how many
	// streams of the account run or start on all boxes, as far as the asking box knows, including this request. It is 0
	// for a stream that lost its connection, which lets no other account go first.
	Account string
	Weight  float64
	Streams int
	// Order is the deadline by which the request is ordered on its box. It is later than Deadline for a request that goes
	// behind others, and earlier for a caller that retries.
	Order time.Time
	// Deadline is when the request ends to wait.
	Deadline time.Time
}

// load is the number of streams of the account, divided by its weight.
func (o *Precedence) load() float64 {
	if o.Weight > 0 {
		return float64(o.Streams) / o.Weight
	}
	return float64(o.Streams)
}

// before reports whether the request gets memory before other. The boxes know different loads of an account, so the load
// does not order requests of the same account.
func (o *Precedence) before(other *Precedence) bool {
	n := cmp.Compare(o.Rank, other.Rank)
	if n == 0 && o.Account != other.Account {
		n = cmp.Compare(o.load(), other.load())
	}
	if n == 0 {
		n = o.Order.Compare(other.Order)
	}
	return n < 0
}

// leavesRoomTo reports whether memory that is free now is denied to the request in favour of other. Memory that is kept free
// is lost for the time, so neither a deadline nor a small difference in load is reason enough.
func (o *Precedence) leavesRoomTo(other *Precedence) bool {
	if o.Rank != other.Rank {
		return other.Rank < o.Rank
	}
	return o.Account != other.Account && o.load() >= minLoadRatio*other.load()
}

// precedence is the precedence of a request of this box. A request that is not placed yet counts as if it were.
func (f *flight) precedence() Precedence {
	o := Precedence{Rank: f.Rank, Account: f.Client, Weight: f.weight(), Order: f.order, Deadline: f.startDeadline()}
	if f.connectionLostAt.IsZero() {
		o.Streams = f.pool.activeEverywhere(f.Client)
		if !f.active {
			o.Streams++
		}
	}
	return o
}

// Precedence returns the precedence of a request that is being placed. ok is false if the request has ended.
func (c *Core) Precedence(id ID) (o Precedence, ok bool) {
	f := c.flights[id]
	if f == nil || f.pool == nil {
		return o, false
	}
	return f.precedence(), true
}

const (
	// deniedMemory is how long the owner of an engine remembers a request that it denied. It is longer than
	// minDenialPause, after which a box asks again.
	deniedMemory = 150 * time.Millisecond
	// maxDenied bounds the remembered requests of an engine.
	maxDenied = 64
	// maxKeptFree is how long the owner keeps memory free for a request that goes first. Some of these requests were
	// placed elsewhere and don't come. In trials with a burst of one account on 20 boxes, 1,091 streams were in time with
	// 30 ms and 1,079 with 150 ms, and no fewer with 20 ms than with 30.
	maxKeptFree = 20 * time.Millisecond
	// minLoadRatio is how many times the load per weight of another account a request's account must have for the request to
	// leave room to the other one. Where requests yielded to deadlines and to any lower load, 152 to 168 streams ran in bursts on 26
	// engines in place of 170 to 191.
	minLoadRatio = 2
	// ownerMemory is how long a box that was asked for the memory of an engine counts as the engine's owner.
	ownerMemory = 2 * time.Second
	// higherRankTime is the time that the waiting requests of higher ranks need to start, above which an owner keeps memory
	// free for them. With less, they are about to be placed, since news of them is up to this old. In the trial of two
	// ranks, 99.7% of the higher rank and 1,787 streams in all were in time with 100 ms, 98.2% and 1,835 with 200 ms, and
	// 91.5% and 1,845 without the rule.
	higherRankTime = 120 * time.Millisecond
)

// deniedRequests are the requests of other boxes that the owner of an engine denied in the last deniedMemory.
type deniedRequests struct {
	list []deniedRequest // In the order of the denials.
	// keptSince is when free memory was first denied to a request in favour of another one, since the engine's memory was
	// last granted; zero if it was not.
	keptSince time.Time
	askedAt   time.Time // When another box last asked for the engine's memory.
}

type deniedRequest struct {
	Precedence
	f     *flight
	until time.Time // When the request is forgotten.
}

func (d *deniedRequests) remove(stream uint64) {
	d.list = slices.DeleteFunc(d.list, func(r deniedRequest) bool { return r.Stream == stream })
}

// add remembers a denied request until its deadline, but not longer than deniedMemory. A request without precedence is not
// remembered.
func (d *deniedRequests) add(now time.Time, f *flight, o Precedence) {
	if o.Stream == 0 {
		return
	}
	d.remove(o.Stream)
	if len(d.list) == maxDenied {
		d.list = slices.Delete(d.list, 0, 1)
	}
	until := now.Add(deniedMemory)
	if o.Deadline.Before(until) {
		until = o.Deadline
	}
	d.list = append(d.list, deniedRequest{o, f, until})
}

// granted records that the engine's memory was granted to a request. stream is 0 for a request of this box.
func (d *deniedRequests) granted(stream uint64) {
	d.keptSince = time.Time{}
	if stream != 0 {
		d.remove(stream)
	}
}

// owned reports whether this box decides about the engine's memory, as far as it knows from the requests of other boxes.
func (d *deniedRequests) owned(now time.Time) bool {
	return !d.askedAt.IsZero() && now.Sub(d.askedAt) < ownerMemory
}

// mustYield reports whether a request that the engine has room for must leave the room to a request that goes first. Either
// such a request was denied and may still wait, and the room is enough for it, but not for both. Or more requests of higher
// ranks wait on other boxes than will start within higherRankTime. Memory is kept free for at most maxKeptFree.
func (c *Core) mustYield(e *engine, f *flight, o *Precedence, now time.Time) bool {
	d := &e.denied
	d.list = slices.DeleteFunc(d.list, func(r deniedRequest) bool { return !now.Before(r.until) })
	if !d.keptSince.IsZero() && now.Sub(d.keptSince) >= maxKeptFree {
		return false
	}
	if !c.deniedGoesFirst(e, f, o, now) && !c.higherRanksWait(f.pool, o, now) {
		return false
	}
	if d.keptSince.IsZero() {
		d.keptSince = now
	}
	return true
}

// deniedGoesFirst reports whether the engine has room for a denied request that f leaves the room to, but not for both.
func (c *Core) deniedGoesFirst(e *engine, f *flight, o *Precedence, now time.Time) bool {
	var first *flight // The largest of the denied requests. If f fits together with it, f fits with each of the others.
	for i := range e.denied.list {
		r := &e.denied.list[i]
		if r.Stream != o.Stream && (first == nil || r.f.kvNeed() > first.kvNeed()) && o.leavesRoomTo(&r.Precedence) && e.hasRoom(f.pool, r.f, now) {
			first = r.f
		}
	}
	return first != nil && !e.hasRoomForBoth(f.pool, first, f, now)
}

// higherRanksWait reports whether more requests of higher ranks wait on other boxes than will start within higherRankTime.
// A stream that lost its connection does not wait for them.
func (c *Core) higherRanksWait(p *pool, o *Precedence, now time.Time) bool {
	n := 0
	for _, a := range p.remoteQueues {
		if a.Rank < o.Rank {
			n += a.Waiting
		}
	}
	return n > 0 && o.Streams > 0 && float64(n) > c.remote.rate(now)*higherRankTime.Seconds()
}

// hasRoomForBoth reports whether the engine has room for f after it was sent first.
func (e *engine) hasRoomForBoth(p *pool, first, f *flight, now time.Time) bool {
	if !e.hasReport {
		return true // Without a report, the room is not known.
	}
	placements, forecast := e.placements, e.forecast
	e.placements = append(slices.Clone(placements), placement{at: now, streams: 1, reservation: first.expectedReservation()})
	e.forecast = memoryForecast{}
	ok := e.hasRoom(p, f, now)
	e.placements, e.forecast = placements, forecast
	return ok
}
