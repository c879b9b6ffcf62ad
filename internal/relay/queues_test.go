package relay

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// What boxes publish is added up, replaced by later messages and dropped after a second. Guards against an account that
// counts for ever after its box is gone.
func TestRemoteQueuesAddUpAndExpire(t *testing.T) {
	q, now := remoteQueues{}, time.Now()
	expect := func(waiting, told int, accounts ...decide.AccountQueue) {
		t.Helper()
		got, _ := q.totals(now)
		slices.SortFunc(got.accounts, func(a, b decide.AccountQueue) int { return strings.Compare(a.Client, b.Client) })
		if got.waiting != waiting || got.told != told || len(got.accounts) != len(accounts) || len(accounts) > 0 && !reflect.DeepEqual(got.accounts, accounts) {
			t.Errorf("expected %d waiting, %d told and %+v, got %+v", waiting, told, accounts, got)
		}
	}
	a := overlay.AccountStreams{Pool: "p", Account: "a", Weight: 2, Waiting: 1, Running: 3}
	b := overlay.AccountStreams{Pool: "p", Account: "b", Rank: 1, Waiting: 2}
	q.receive("x", overlay.StreamsWaiting{Streams: 3, Told: 4, HasTold: true, Accounts: []overlay.AccountStreams{a, b}}, now)
	q.receive("y", overlay.StreamsWaiting{Streams: 1, HasTold: true, Accounts: []overlay.AccountStreams{a}}, now)
	expect(4, 4, decide.AccountQueue{Pool: "p", Client: "a", Weight: 2, Waiting: 2, Running: 6}, decide.AccountQueue{Pool: "p", Client: "b", Rank: 1, Waiting: 2})
	if _, changed := q.totals(now); changed {
		t.Error("expected no change without a message")
	}
	now = now.Add(600 * time.Millisecond)
	q.receive("x", overlay.StreamsWaiting{Streams: 2, HasTold: true}, now) // Without accounts, those from before stay valid.
	expect(3, 0, decide.AccountQueue{Pool: "p", Client: "a", Weight: 2, Waiting: 2, Running: 6}, decide.AccountQueue{Pool: "p", Client: "b", Rank: 1, Waiting: 2})
	now = now.Add(600 * time.Millisecond)
	expect(2, 0)
	q.receive("x", overlay.StreamsWaiting{Streams: 2, Accounts: []overlay.AccountStreams{a}}, now)
	expect(2, 0, decide.AccountQueue{Pool: "p", Client: "a", Weight: 2, Waiting: 1, Running: 3})
	q.receive("x", overlay.StreamsWaiting{HasTold: true}, now)
	expect(0, 0)
}

// A fleet with waiting streams sends a bounded number of messages with accounts, and none while no stream waits.
func TestWaitingMessagesAreBounded(t *testing.T) {
	for _, boxes := range []int{4, 83, 986} {
		s, now := waitingPublisher{}, time.Now()
		messages, withAccounts := 0, 0
		const seconds = 200
		for i := range int(seconds * time.Second / waitingPublishInterval) {
			now = now.Add(waitingPublishInterval)
			msg, send := s.next(now, boxes, 5, 3+i%2, i, []decide.AccountQueue{{Pool: "p", Client: "a", Waiting: 3 + i%2, Running: i}})
			if !send {
				continue
			}
			messages++
			if len(msg.Accounts) > 0 {
				withAccounts++
			}
		}
		most := min(10, 50/float64(boxes))
		if rate := float64(withAccounts) / seconds; rate > most*1.1 || rate < most/2 || messages > 10*seconds {
			t.Errorf("%d boxes: expected %g messages with accounts a second from each and 10 in all, got %g and %d in %d s", boxes, most, rate, messages, seconds)
		}
		if msg, send := s.next(now.Add(time.Second), boxes, 0, 0, 9, nil); !send || msg.Streams != 0 {
			t.Errorf("%d boxes: expected a message that none waits, got %+v (%t)", boxes, msg, send)
		}
		for range 50 {
			now = now.Add(waitingPublishInterval)
			if msg, send := s.next(now.Add(time.Second), boxes, 0, 0, 9, nil); send {
				t.Fatalf("%d boxes: expected no message while no stream waits, got %+v", boxes, msg)
			}
		}
	}
}

// A box where no stream waits reports the running streams of accounts that wait elsewhere.
func TestRunningStreamsOfAccountsThatWaitElsewhere(t *testing.T) {
	s, now := waitingPublisher{}, time.Now()
	accounts := []decide.AccountQueue{{Pool: "p", Client: "a", Running: 3}}
	msg, send := s.next(now, 4, 5, 0, 0, accounts)
	if !send || len(msg.Accounts) != 1 || msg.Accounts[0].Running != 3 {
		t.Errorf("expected the running streams, got %+v (%t)", msg, send)
	}
	if _, send := s.next(now.Add(waitingPublishInterval), 4, 5, 0, 0, accounts); send {
		t.Error("expected no second message at once")
	}
	if _, send := s.next(now.Add(waitingTTL), 4, 0, 0, 0, accounts); send {
		t.Error("expected no message once no stream waits elsewhere")
	}
}
