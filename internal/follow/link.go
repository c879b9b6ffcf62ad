package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// linkFirst and linkMost bound the pause between two calls while the store does not
	// answer. It doubles from the one to the other, and is spread so that many boxes do
	// not ask at one moment.
	linkFirst = 200 * time.Millisecond
	linkMost  = 600 * time.Millisecond
	// linkShared is linkMost for a box that is told by another one, not longer than sharedFor
	// ago, that the store does not answer that one either: one of them is enough to look often.
	linkShared = 1800 * time.Millisecond
	sharedFor  = time.Second
	// lookSlack is what a look at the store may take beyond the limit of its call: applying what it
	// brought, on a box that is short of processor time.
	lookSlack = 200 * time.Millisecond
)

// Link is a box's way to the store, shared by all tables that it follows. While the store
// does not answer, one of them asks, less and less often, and the others wait for its
// word: calls to a store that is down cost as much as others, and there are many boxes.
//
// Example: 85 boxes that follow three tables each and ask every 200 ms make 1,275 calls a
// second to a store that is down; through a Link they make 140.
type Link struct {
	mu sync.Mutex
	// down says that the last call that ended got no answer.
	down bool
	// look is the pass of the call that looks whether the store is back; nil while there is none.
	look  *pass
	pause time.Duration
	next  time.Time
	// told is when another box last told that the store does not answer it.
	told time.Time
	// era ends when the store answers again after it did not. Calls begun in an earlier one
	// may wait for an answer that never comes, on a connection that is dead.
	era     context.Context
	nextEra context.CancelFunc
	// changed is closed and replaced when one of the above does; nil while nobody waits.
	changed chan struct{}
}

// pass lets one call through to the store. Whoever got it gives it back by a deferred call: one
// that was kept on a way out had no table of its box ask the store again.
type pass struct {
	link *Link
	// look says that the call is to see whether the store is back, and should be answered at once.
	look bool
	// from and until are when the call was let through, and when a look is over, whatever became of
	// it: then another one may be made. A process that stood still for long finds it over too.
	from, until time.Time
	// era is the one that the call belongs to.
	era context.Context
}

// shared notes that another box looks whether the store is back too.
func (l *Link) shared(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = now
}

// LinkState is how a box stands with the store.
type LinkState struct {
	// Down says that the last call that ended got no answer.
	Down bool
	// Looking is for how long the call that looks whether the store is back has been under way;
	// 0 while there is none.
	Looking time.Duration
}

// State tells how the box stands with the store now.
func (l *Link) State(now time.Time) LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LinkState{Down: l.down}
	if l.look != nil {
		s.Looking = max(time.Nanosecond, now.Sub(l.look.from))
	}
	return s
}

// most is the longest pause now.
func (l *Link) most(now time.Time) time.Duration {
	if now.Sub(l.told) < sharedFor {
		return linkShared
	}
	return linkMost
}

// least is the shortest pause now: a box that is told that the store does not answer another
// one need not look sooner either.
func (l *Link) least(now time.Time) time.Duration {
	if now.Sub(l.told) < sharedFor {
		return linkShared
	}
	return linkFirst
}

// enter waits until a call may be made, or ctx ends. A call that looks whether the store is back
// takes lookLimit at the most.
func (l *Link) enter(ctx context.Context, lookLimit time.Duration) *pass {
	for {
		p, wait, changed := l.try(clock.Now(), lookLimit)
		if p != nil {
			return p
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
			t.Stop()
			return &pass{link: l, era: ctx}
		}
		t.Stop()
	}
}

// try returns a pass, or until when to wait at the most for the next try.
func (l *Link) try(now time.Time, lookLimit time.Duration) (p *pass, wait time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	looking := l.look != nil && now.Before(l.look.until)
	switch {
	case !l.down:
		return &pass{link: l, from: now, era: l.eraNow()}, 0, nil
	case !looking && !now.Before(l.next):
		l.look = &pass{link: l, look: true, from: now, until: now.Add(lookLimit), era: l.eraNow()}
		return l.look, 0, nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	if looking {
		return nil, l.look.until.Sub(now), l.changed
	}
	return nil, l.next.Sub(now), l.changed
}

// eraNow is the present era. The lock is held.
func (l *Link) eraNow() context.Context {
	if l.era == nil {
		l.era, l.nextEra = context.WithCancel(context.Background())
	}
	return l.era
}

// giveBack ends a pass, whether or not its call was made and whatever came of it.
func (p *pass) giveBack() {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.look == p {
		l.look = nil
		l.wake()
	}
}

// wake has all that wait try again. The lock is held.
func (l *Link) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// ended takes what came of a pass's call.
func (p *pass) ended(now time.Time, answered bool) {
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
	case !l.down || p.look:
		l.down = true
		l.pause = min(l.most(now), max(l.least(now), 2*l.pause))
		l.next = now.Add(time.Duration(float64(l.pause) * (0.7 + 0.6*rand.Float64())))
	}
	l.wake()
}
