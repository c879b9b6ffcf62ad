package quarantine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

// tableOf is the boxes' table: writes may fail, or be done without an answer, and while it is away
// nothing is done. Boxes hear of changes after a while.
type tableOf struct {
	mu     sync.Mutex
	rng    *rand.Rand
	rows   map[string][]byte
	boxes  []*List
	calls  int
	away   bool
	failed float64
	lost   float64
	tells  time.Duration
}

var errNoAnswer = errors.New("no answer")

func (s *tableOf) Write(_ context.Context, put map[string][]byte, remove []string) error {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(put)+len(remove) > MostWritten {
		return fmt.Errorf("%d rows in a call", len(put)+len(remove))
	}
	draw := s.rng.Float64()
	if s.away || draw < s.failed {
		return errNoAnswer
	}
	maps.Copy(s.rows, put)
	for _, key := range remove {
		delete(s.rows, key)
	}
	rows := maps.Clone(s.rows)
	for _, l := range s.boxes {
		time.AfterFunc(s.tells, func() { l.SetRows(rows) })
	}
	if draw < s.failed+s.lost {
		return errNoAnswer
	}
	return nil
}

// fleet is some boxes before a table, in virtual time.
func fleet(ctx context.Context, boxes int, seed uint64) *tableOf {
	s := &tableOf{rng: newRNG(seed), rows: map[string][]byte{}, tells: 300 * time.Millisecond}
	for range boxes {
		l := NewList()
		s.boxes = append(s.boxes, l)
		go (&Keeper{List: l, Table: s, Failed: func(error) {}}).Run(ctx)
	}
	return s
}

// counts returns how many calls were made and how many rows there are.
func (s *tableOf) counts() (calls, rows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, len(s.rows)
}

// played is what came of requests that end endpoints.
type played struct {
	most int // Runs of one request.
	late int // Of these, more than 3 s after its third.
	runs int
}

// play has some requests come again for a minute, each 0.2 to 3 s after its last return, at any box.
func (s *tableOf) play(requests int) (p played) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := range requests {
		rng := newRNG(uint64(n))
		all.Go(func() {
			f, runs, late := of(fmt.Sprint(n)), 0, 0
			var third time.Time
			for end := time.Now().Add(time.Minute); time.Now().Before(end); {
				l := s.boxes[rng.IntN(len(s.boxes))]
				if !l.Check(f).Held {
					runs++
					if !third.IsZero() && time.Since(third) > 3*time.Second {
						late++
					}
					ran := 60*time.Millisecond + upTo(rng, 200*time.Millisecond)
					time.Sleep(ran + 30*time.Millisecond) // And what finding out takes.
					l.Ended(End{Request: f, Endpoint: fmt.Sprintf("e%d-%d", n, runs), Caller: fmt.Sprint(n), Ran: ran})
					if runs == 3 {
						third = time.Now()
					}
				}
				time.Sleep(200*time.Millisecond + upTo(rng, 2800*time.Millisecond))
			}
			mu.Lock()
			defer mu.Unlock()
			p.most, p.late, p.runs = max(p.most, runs), p.late+late, p.runs+runs
		})
	}
	all.Wait()
	return p
}

// The boxes know together what no box sees alone, whatever their number: a request runs three times,
// and once more for each time that it comes back before the others have heard. None runs later than
// 3 s after its third.
func TestBoxesKnowTogether(t *testing.T) {
	for _, boxes := range []int{8, 60, 400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := fleet(ctx, boxes, 1)
			s.failed, s.lost = 0.1, 0.1
			p := s.play(20)
			cancel()
			calls, _ := s.counts()
			t.Logf("%d boxes: 20 requests ran %d times, one %d times at the most; %d calls to the store", boxes, p.runs, p.most, calls)
			if p.late > 0 || p.most > 6 {
				t.Errorf("%d boxes: expected no run later than 3 s after the third and six of one at the most, got %d and %d", boxes, p.late, p.most)
			}
			synctest.Wait()
		})
	}
}

// While the store is away each box knows what it saw itself; once it is back all know.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fleet(ctx, 4, 1)
		s.away = true
		for n, l := range s.boxes[:3] {
			ends(l, "deadly", "a", 0, fmt.Sprint("e", n))
		}
		time.Sleep(30 * time.Second)
		expectHeld(t, s.boxes[3], "deadly", false)
		if calls, _ := s.counts(); calls > 60 {
			t.Errorf("expected few calls to a store that is away, got %d", calls)
		}
		s.mu.Lock()
		s.away = false
		s.mu.Unlock()
		time.Sleep(2 * longestPause)
		for _, l := range s.boxes {
			expectHeld(t, l, "deadly", true)
		}
		cancel()
		synctest.Wait()
	})
}

// What a box takes back is gone everywhere, also where the write was still under way.
func TestTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fleet(ctx, 3, 1)
		ends(s.boxes[0], "a", "c", 0, "e1")
		time.Sleep(gather + time.Millisecond) // The write has begun.
		s.boxes[0].Served(of("a"))
		time.Sleep(time.Minute)
		if _, rows := s.counts(); rows != 0 || !s.boxes[0].Empty() || !s.boxes[1].Empty() {
			t.Errorf("expected no row, got %d", rows)
		}
		cancel()
		synctest.Wait()
	})
}
