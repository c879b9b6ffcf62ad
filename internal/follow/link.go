package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// minRetryPause and maxRetryPause bound the pause between two calls while the store does not answer. The
	// pause doubles from the first to the second. It is varied at random, so that many boxes do not call at the
	// same moment.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// sharedRetryPause replaces both bounds while another box reports that it gets no answer from the store either.
	// Then it is enough that one of the two boxes probes the store often. A report counts for sharedReportTTL.
	sharedRetryPause = 1800 * time.Millisecond
	sharedReportTTL  = time.Second
	// probeSlack is how long a probe may take in addition to the timeout of its call. The result must be applied
	// on a box that may be short of processor time.
	probeSlack = 200 * time.Millisecond
)

// Link limits a box's calls to the store. All tables that the box keeps share it. While the store does not answer, only
// one table calls it. These calls are probes: they check whether the store is back, with growing pauses. The other
// tables wait for the result. There are many boxes, and a call to a store that is down costs as much as any other call.
//
// Example: 85 boxes that keep three tables each and call every 200 ms make 1,275 calls a second to a store that is
// down. With a Link they make 140.
type Link struct {
	mu sync.Mutex
	// down means that the store did not answer the last call that ended.
	down bool
	// probe is the permit of the call that checks whether the store is back; nil if no such call is in progress.
	probe *permit
	pause time.Duration
	next  time.Time
	// sharedAt is when another box last reported that it gets no answer from the store.
	sharedAt time.Time
	// era is the link era: the time from one return of the store to the next. It is unrelated to the era of a Version.
	// The context is cancelled when the store answers again after a loss. That ends all calls of the earlier link era,
	// since they may wait on a dead connection for an answer that never comes.
	era     context.Context
	nextEra context.CancelFunc
	// changed is closed and set to nil when any of the fields above changes; nil while nobody waits.
	changed chan struct{}
}

// permit allows one call to the store. The holder must release it by a deferred call. A permit that was not released
// on an error path kept all tables of its box from ever calling the store again.
type permit struct {
	link *Link
	// probe means that the call checks whether the store is back. The store is to answer the call immediately.
	probe bool
	// from is when the call was allowed. until is when a probe expires, whatever the result of the probe. From then on
	// another probe may be made. So it does no harm if a probe is never released or the process is suspended for long.
	from, until time.Time
	// era is the link era that the call belongs to.
	era context.Context
	// responding means that the response of a probe has begun. The link's mu guards it.
	responding bool
}

// answering reports whether the response of a probe has begun.
func (p *permit) answering() bool {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	return p.responding
}

// markAnswering records that the response to a call makes progress. If the call is a probe, the store has answered, so
// that the other tables need not wait until a long response is complete.
func (p *permit) markAnswering(now time.Time, probeTimeout time.Duration) {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.probe {
		return
	}
	p.until = now.Add(probeTimeout)
	if p.responding {
		return
	}
	p.responding = true
	if l.down && l.probe == p {
		l.markUp()
		l.wake()
	}
}

// markUp records that the store answers again, and starts the next link era. The lock is held.
func (l *Link) markUp() {
	if l.down && l.nextEra != nil {
		l.nextEra()
		l.era, l.nextEra = nil, nil
	}
	l.down, l.pause = false, 0
}

// markShared records that another box reported that it gets no answer from the store either.
func (l *Link) markShared(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sharedAt = now
}

// LinkState is the state of a box's access to the store.
type LinkState struct {
	// Down means that the store did not answer the last call that ended.
	Down bool
	// Probing is the duration so far of the probe, the call that checks whether the store is back. It is 0 if no
	// probe is in progress.
	Probing time.Duration
}

// State returns the current state.
func (l *Link) State(now time.Time) LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LinkState{Down: l.down}
	if l.probe != nil {
		s.Probing = max(time.Nanosecond, now.Sub(l.probe.from))
	}
	return s
}

// maxPause is the longest pause between two probes that applies now.
func (l *Link) maxPause(now time.Time) time.Duration {
	if now.Sub(l.sharedAt) < sharedReportTTL {
		return sharedRetryPause
	}
	return maxRetryPause
}

// minPause is the shortest pause between two probes that applies now. A box to which another box reported that the
// store does not answer need not probe soon.
func (l *Link) minPause(now time.Time) time.Duration {
	if now.Sub(l.sharedAt) < sharedReportTTL {
		return sharedRetryPause
	}
	return minRetryPause
}

// acquire waits until a call may be made or ctx ends. A probe expires after probeTimeout.
func (l *Link) acquire(ctx context.Context, probeTimeout time.Duration) *permit {
	for {
		p, wait, changed := l.tryAcquire(clock.Now(), probeTimeout)
		if p != nil {
			return p
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
			t.Stop()
			return &permit{link: l, era: ctx}
		}
		t.Stop()
	}
}

// tryAcquire returns a permit if a call may be made. Otherwise it returns the longest wait before the next attempt. It
// also returns a channel that is closed if the link's state changes earlier.
func (l *Link) tryAcquire(now time.Time, probeTimeout time.Duration) (p *permit, wait time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	probing := l.probe != nil && now.Before(l.probe.until)
	switch {
	case !l.down:
		return &permit{link: l, from: now, era: l.currentEra()}, 0, nil
	case !probing && !now.Before(l.next):
		l.probe = &permit{link: l, probe: true, from: now, until: now.Add(probeTimeout), era: l.currentEra()}
		return l.probe, 0, nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	if probing {
		return nil, l.probe.until.Sub(now), l.changed
	}
	return nil, l.next.Sub(now), l.changed
}

// currentEra returns the present link era. The lock is held.
func (l *Link) currentEra() context.Context {
	if l.era == nil {
		l.era, l.nextEra = context.WithCancel(context.Background())
	}
	return l.era
}

// release releases a permit, whether or not the call was made. The result of the call does not matter.
func (p *permit) release() {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probe == p {
		l.probe = nil
		l.wake()
	}
}

// wake has all callers that wait for a permit try again. The lock is held.
func (l *Link) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// finish records whether the store answered the permit's call.
func (p *permit) finish(now time.Time, answered bool) {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answered:
		l.markUp()
	case !l.down || p.probe:
		l.down = true
		l.pause = min(l.maxPause(now), max(l.minPause(now), 2*l.pause))
		l.next = now.Add(time.Duration(float64(l.pause) * (0.7 + 0.6*rand.Float64())))
	}
	l.wake()
}
