package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
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
	// asking says that a call is under way to see whether the store is back.
	asking bool
	// askedAt is when that call was let through.
	askedAt time.Time
	pause   time.Duration
	next    time.Time
	// told is when another box last told that the store does not answer it.
	told time.Time
	// era ends when the store answers again after it did not. Calls begun in an earlier one
	// may wait for an answer that never comes, on a connection that is dead.
	era     context.Context
	nextEra context.CancelFunc
	// changed is closed and replaced when one of the above does; nil while nobody waits.
	changed chan struct{}
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
	if l.asking {
		s.Looking = max(time.Nanosecond, now.Sub(l.askedAt))
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

// enter waits until a call may be made. It returns whether the call is to see if the store
// is back, which should be answered at once, and the era that it belongs to.
func (l *Link) enter(ctx context.Context) (probe bool, era context.Context) {
	for {
		wait, changed, probe, ok := l.try(time.Now())
		if ok {
			return probe, l.now()
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
			t.Stop()
			return false, l.now()
		}
		t.Stop()
	}
}

func (l *Link) now() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.era == nil {
		l.era, l.nextEra = context.WithCancel(context.Background())
	}
	return l.era
}

func (l *Link) try(now time.Time) (wait time.Duration, changed <-chan struct{}, probe, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.down {
		return 0, nil, false, true
	}
	if !l.asking && !now.Before(l.next) {
		l.asking, l.askedAt = true, now
		return 0, nil, true, true
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	if l.asking {
		return time.Hour, l.changed, false, false // Until its answer.
	}
	return l.next.Sub(now), l.changed, false, false
}

// leave is for a call that was let through and is not made.
func (l *Link) leave(probe bool) {
	if !probe {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking = false
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// ended takes the end of a call.
func (l *Link) ended(now time.Time, answered, probe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if probe {
		l.asking = false
	}
	switch {
	case answered:
		if l.down && l.nextEra != nil {
			l.nextEra()
			l.era, l.nextEra = nil, nil
		}
		l.down, l.pause = false, 0
	case !l.down || probe:
		l.down = true
		l.pause = min(l.most(now), max(l.least(now), 2*l.pause))
		l.next = now.Add(time.Duration(float64(l.pause) * (0.7 + 0.6*rand.Float64())))
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
