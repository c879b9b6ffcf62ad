package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// minRetryPause and maxRetryPause bound the pause between two calls while the store does not
	// answer. It doubles from one to the other, with jitter so that many boxes do not call
	// at the same moment.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// sharedRetryPause replaces both for a box to which another one reported, not longer than
	// sharedReportTTL ago, that the store does not answer that one either: one of them probing often is enough.
	sharedRetryPause = 1800 * time.Millisecond
	sharedReportTTL  = time.Second
	// probeSlack is what a probe may take beyond the timeout of its call, to apply the result on a box
	// that is short of processor time.
	probeSlack = 200 * time.Millisecond
)

// Link limits a box's calls to the store, shared by all tables that it follows. While the store
// does not answer, one of them probes it, less and less often, and the others wait for the result:
// calls to a store that is down cost as much as others, and there are many boxes.
//
// Example: 85 boxes that follow three tables each and ask every 200 ms make 1,275 calls a
// second to a store that is down; through a Link they make 140.
type Link struct {
	mu sync.Mutex
	// down means that the last call that ended got no answer.
	down bool
	// probe is the permit of the call that checks whether the store is back; nil while there is none.
	probe *permit
	pause time.Duration
	next  time.Time
	// sharedAt is when another box last reported that the store does not answer it.
	sharedAt time.Time
	// era is cancelled when the store answers again after it did not. Calls begun in an earlier one
	// may wait for an answer that never comes, on a connection that is dead.
	era     context.Context
	nextEra context.CancelFunc
	// changed is closed and reset when the state above changes; nil while nobody waits.
	changed chan struct{}
}

// permit allows one call to the store. The holder must release it by a deferred call: one that was
// not released on an error path kept every table of its box from calling the store again.
type permit struct {
	link *Link
	// probe means that the call checks whether the store is back, and should be answered at once.
	probe bool
	// from is when the call was allowed, and until when a probe expires, whatever its result:
	// then another one may be made. That also covers a process that was suspended for long.
	from, until time.Time
	// era is the link era that the call belongs to.
	era context.Context
}

// markShared records that another box also probes whether the store is back.
func (l *Link) markShared(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sharedAt = now
}

// LinkState is the state of a box's access to the store.
type LinkState struct {
	// Down means that the last call that ended got no answer.
	Down bool
	// Probing is for how long the call that checks whether the store is back has been in progress;
	// 0 while there is none.
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

// maxPause is the longest retry pause now.
func (l *Link) maxPause(now time.Time) time.Duration {
	if now.Sub(l.sharedAt) < sharedReportTTL {
		return sharedRetryPause
	}
	return maxRetryPause
}

// minPause is the shortest retry pause now: a box whose upstream reports that the store does not
// answer need not probe sooner either.
func (l *Link) minPause(now time.Time) time.Duration {
	if now.Sub(l.sharedAt) < sharedReportTTL {
		return sharedRetryPause
	}
	return minRetryPause
}

// acquire waits until a call may be made, or ctx ends. A probe expires after probeTimeout.
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

// tryAcquire returns a permit, or the longest wait until the next attempt.
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

// release releases a permit, whether or not its call was made and whatever its result.
func (p *permit) release() {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probe == p {
		l.probe = nil
		l.wake()
	}
}

// wake has all waiters try again. The lock is held.
func (l *Link) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// finish records the result of a permit's call.
func (p *permit) finish(now time.Time, answered bool) {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answered:
		if l.down && l.nextEra != nil {
			l.nextEra()
			l.era, l.nextEra = nil, nil
		}
		l.down, l.pause = false, 0
	case !l.down || p.probe:
		l.down = true
		l.pause = min(l.maxPause(now), max(l.minPause(now), 2*l.pause))
		l.next = now.Add(time.Duration(float64(l.pause) * (0.7 + 0.6*rand.Float64())))
	}
	l.wake()
}
