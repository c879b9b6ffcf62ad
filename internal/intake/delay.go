// Package intake decides which new connections of callers a box reads. A box that gets more than its link or its processor
// can carry serves everything late. It then leaves new connections unread, so that their callers try other boxes at once,
// and serves what it has read. It does so only while it gets much more than the other boxes: what all of them get too much
// of is for the queues and refusals of the stages behind.
//
// The package makes decisions only. It does no I/O, and gets the present time with each call.
package intake

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// delayWindow is the time over which the delays of connects are compared.
	delayWindow = 500 * time.Millisecond
	// lateWeightTime is the time constant of the mean lateness of ticks.
	lateWeightTime = 300 * time.Millisecond
	// lateMemory is how long the lateness counts after the last tick. A box without requests does not tick.
	lateMemory = time.Second
	// usualRiseTime is the time constant with which the usual connect time of an address follows longer ones.
	usualRiseTime = time.Minute
	// minAddresses is the number of addresses that must be slow to connect to before the cause is this box.
	minAddresses = 2
	// maxAddresses bounds the addresses that are kept, and addressTTL the time after the last connect.
	maxAddresses = 1024
	addressTTL   = 5 * time.Minute
)

// Delays estimates by how much this box itself delays what it sends and receives. A full link delays the connects to all
// addresses, and an endpoint that is slow only those to its own. A processor that is short of time delays timers. The zero
// value is ready, and safe for concurrent use.
type Delays struct {
	mu        sync.Mutex
	byAddress map[string]*connects
	late      float64 // Mean lateness of ticks, in seconds.
	lateAt    time.Time
}

// connects are the connect times of one address.
type connects struct {
	// usual is the slow minimum of the connect times, in seconds, at usualAt.
	usual   float64
	usualAt time.Time
	// sum and n are of the connect times in the present and the previous half of delayWindow. The present one began at
	// halfAt.
	sum    [2]float64
	n      [2]int
	halfAt time.Time
}

// Connected records how long connecting to an address took.
func (d *Delays) Connected(now time.Time, address string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byAddress == nil {
		d.byAddress = map[string]*connects{}
	}
	c, s := d.byAddress[address], took.Seconds()
	if c == nil {
		if len(d.byAddress) >= maxAddresses {
			maps.DeleteFunc(d.byAddress, func(_ string, c *connects) bool { return now.Sub(c.usualAt) > addressTTL })
		}
		if len(d.byAddress) >= maxAddresses {
			return
		}
		c = &connects{usual: s, usualAt: now, halfAt: now}
		d.byAddress[address] = c
	}
	c.advance(now)
	c.sum[0] += s
	c.n[0]++
	if s < c.usual {
		c.usual = s
	} else {
		c.usual += (s - c.usual) * (1 - math.Exp(-now.Sub(c.usualAt).Seconds()/usualRiseTime.Seconds()))
	}
	c.usualAt = now
}

// advance begins a new half of the window if it is due.
func (c *connects) advance(now time.Time) {
	switch age := now.Sub(c.halfAt); {
	case age >= delayWindow:
		c.sum, c.n, c.halfAt = [2]float64{}, [2]int{}, now
	case age >= delayWindow/2:
		c.sum, c.n, c.halfAt = [2]float64{0, c.sum[0]}, [2]int{0, c.n[0]}, now
	}
}

// Ticked records by how much a timer was late.
func (d *Delays) Ticked(now time.Time, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	weight := 1.0
	if age := now.Sub(d.lateAt); age < lateMemory {
		weight = 1 - math.Exp(-age.Seconds()/lateWeightTime.Seconds())
	}
	d.late += weight * (max(late, 0).Seconds() - d.late)
	d.lateAt = now
}

// Link returns the delay of the link: the smallest excess of the recent mean connect time over the usual one, among all
// addresses. It is 0 if fewer than minAddresses were connected to.
func (d *Delays) Link(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	least, n := math.Inf(1), 0
	for _, c := range d.byAddress {
		c.advance(now)
		if samples := c.n[0] + c.n[1]; samples > 0 {
			n++
			least = min(least, max(0, (c.sum[0]+c.sum[1])/float64(samples)-c.usual))
		}
	}
	if n < minAddresses {
		return 0
	}
	return time.Duration(least * float64(time.Second))
}

// Processor returns the mean lateness of recent ticks.
func (d *Delays) Processor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lateAt) > lateMemory {
		return 0
	}
	return time.Duration(d.late * float64(time.Second))
}
