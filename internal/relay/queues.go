package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file publishes which streams wait on this box, and adds up what the other boxes publish.

const (
	// waitingPublishInterval is the interval at which a box checks how many streams wait on it. It publishes the number
	// if the number has changed. waitingTTL is how long a received number is valid. A number above zero is published
	// again after half of waitingTTL.
	waitingPublishInterval = 100 * time.Millisecond
	waitingTTL             = time.Second
	// accountsIntervalPerBox is the interval at which a box publishes accounts, divided by the number of boxes. All boxes
	// together then send at most 50 messages with accounts a second. With more than 50 boxes, a box knows the accounts of
	// some of the others only. All accounts are then counted too low by about the same share.
	accountsIntervalPerBox = 20 * time.Millisecond
	// maxRemoteAccounts bounds the accounts of other boxes that a box remembers.
	maxRemoteAccounts = 1024
)

// remoteQueues adds up the streams that wait on other boxes.
type remoteQueues struct {
	mu    sync.Mutex
	byBox map[string]boxQueue
	// accounts are the sums over byBox. changed is set if they differ from those of last, which totals last returned.
	accounts map[accountKey]accountSum
	changed  bool
	last     remoteTotals
}

// boxQueue is what a box published last. Accounts are not part of each message, so they have a time of their own.
type boxQueue struct {
	overlay.StreamsWaiting
	at         time.Time
	accountsAt time.Time
}

// accountKey identifies the streams of an account and rank in a pool.
type accountKey struct {
	pool, account string
	rank          int
}

type accountSum struct {
	weight                  float64
	waiting, running, boxes int
}

// receive records what a box published.
func (q *remoteQueues) receive(box string, w overlay.StreamsWaiting, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byBox == nil {
		q.byBox, q.accounts = map[string]boxQueue{}, map[accountKey]accountSum{}
	}
	before := q.byBox[box]
	next := boxQueue{StreamsWaiting: w, at: at, accountsAt: at}
	if len(w.Accounts) == 0 {
		next.Accounts, next.accountsAt = before.Accounts, before.accountsAt
	} else {
		q.add(before.Accounts, -1)
		q.add(w.Accounts, 1)
	}
	if w.Streams == 0 && w.Told == 0 && len(w.Accounts) == 0 {
		q.add(next.Accounts, -1)
		delete(q.byBox, box)
		return
	}
	q.byBox[box] = next
}

// add adds the accounts of a box to the sums, or subtracts them if sign is -1.
func (q *remoteQueues) add(list []overlay.AccountStreams, sign int) {
	for _, a := range list {
		key := accountKey{a.Pool, a.Account, a.Rank}
		s, known := q.accounts[key]
		if !known && (sign < 0 || len(q.accounts) >= maxRemoteAccounts) {
			continue
		}
		q.changed = true
		s.waiting, s.running, s.boxes = max(0, s.waiting+sign*a.Waiting), max(0, s.running+sign*a.Running), s.boxes+sign
		if sign > 0 {
			s.weight = a.Weight
		}
		if s.boxes <= 0 {
			delete(q.accounts, key)
			continue
		}
		q.accounts[key] = s
	}
}

// remoteTotals are the sums over all other boxes.
type remoteTotals struct {
	waiting, told int
	accounts      []decide.AccountQueue
}

// totals drops what is older than waitingTTL, and returns the sums and whether they changed since the last call.
func (q *remoteQueues) totals(now time.Time) (t remoteTotals, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for box, on := range q.byBox {
		if len(on.Accounts) > 0 && now.Sub(on.accountsAt) > waitingTTL {
			q.add(on.Accounts, -1)
			on.Accounts = nil
			q.byBox[box] = on
		}
		if now.Sub(on.at) > waitingTTL {
			q.add(on.Accounts, -1)
			delete(q.byBox, box)
			continue
		}
		t.waiting, t.told = t.waiting+on.Streams, t.told+on.Told
	}
	t.accounts = q.last.accounts
	if q.changed {
		t.accounts = nil
		for key, s := range q.accounts {
			t.accounts = append(t.accounts, decide.AccountQueue{Pool: key.pool, Client: key.account, Rank: key.rank, Weight: s.weight, Waiting: s.waiting, Running: s.running})
		}
	}
	changed = q.changed || t.waiting != q.last.waiting || t.told != q.last.told
	q.changed, q.last = false, t
	return t, changed
}

// PublishWaiting runs until ctx ends. It publishes the number of streams that wait on this box. It tells the decision
// core the number of streams that wait on other boxes. It pauses while this box has no requests: no stream waits here
// then, and there is nothing to decide.
func (r *Relay) PublishWaiting(ctx context.Context) {
	var s waitingPublisher
	r.runWhileBusy(ctx, waitingPublishInterval, func() (pending bool) {
		s.step(r, clock.Now())
		return s.published.Streams > 0
	})
}

// runWhileBusy calls step at an interval until ctx ends. It pauses while this box has no requests and the last step left
// nothing pending.
func (r *Relay) runWhileBusy(ctx context.Context, interval time.Duration, step func() (pending bool)) {
	busy := r.NotifyBusy()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if pending := step(); !pending && r.Running() == 0 {
			t.Stop()
			select {
			case <-busy:
				t.Reset(interval)
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// waitingPublisher has what was last sent to the other boxes and to the decision core.
type waitingPublisher struct {
	published   overlay.StreamsWaiting // As sent to the other boxes; Accounts are those sent last.
	publishedAt time.Time
	accountsAt  time.Time // When accounts were last sent.
}

func (s *waitingPublisher) step(r *Relay, now time.Time) {
	remote, changed := r.remoteQueues.totals(now)
	if changed {
		r.disp.Step(decide.RemoteQueue{Waiting: remote.waiting, Told: remote.told, Accounts: remote.accounts})
	}
	waiting, told, accounts := r.disp.Queues(overlay.MaxAccountStreams)
	size := 1
	if r.o.Peers != nil {
		size = r.o.Peers.RegionSize()
	}
	if msg, send := s.next(now, size, remote.waiting, waiting, told, accounts); send {
		r.publish(overlay.Message{At: now, Waiting: &msg})
	}
}

// next returns the message that is to be sent now. boxes is the number of boxes that exchange messages, and remoteWaiting
// how many streams wait on the others. Nothing is sent while no stream waits on any box, but for the message that none waits
// here any more.
func (s *waitingPublisher) next(now time.Time, boxes, remoteWaiting, waiting, told int, accounts []decide.AccountQueue) (msg overlay.StreamsWaiting, send bool) {
	msg = overlay.StreamsWaiting{Streams: waiting, Told: told, HasTold: true}
	list := make([]overlay.AccountStreams, len(accounts))
	for i, a := range accounts {
		list[i] = overlay.AccountStreams{Pool: a.Pool, Account: a.Client, Rank: a.Rank, Weight: a.Weight, Waiting: a.Waiting, Running: a.Running}
	}
	repeat := now.Sub(s.publishedAt) > waitingTTL/2
	mayList := len(list) > 0 && now.Sub(s.accountsAt) >= max(waitingPublishInterval, time.Duration(boxes)*accountsIntervalPerBox)
	listChanged := waiting > 0 && mayList && !slices.Equal(list, s.published.Accounts)
	someWait := waiting > 0 || remoteWaiting > 0
	send = waiting != s.published.Streams || listChanged || someWait && repeat && (waiting > 0 || told > 0 || mayList)
	if !send {
		return msg, false
	}
	s.published.Streams, s.publishedAt = waiting, now
	if mayList && someWait {
		msg.Accounts = list
		s.published.Accounts, s.accountsAt = list, now
	}
	return msg, true
}
