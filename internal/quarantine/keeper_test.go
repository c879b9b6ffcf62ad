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

func randDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// fakeTable is the table of crashes that the boxes of a test share. Writes may fail, or take effect without a reply.
// While the table is unavailable, no write takes effect. Boxes see changes after propagationDelay.
type fakeTable struct {
	mu               sync.Mutex
	rng              *rand.Rand
	rows             map[string][]byte
	boxes            []*List
	calls            int
	unavailable      bool
	failureRate      float64
	lostReplyRate    float64
	propagationDelay time.Duration
	// version counts the changes of the table. delivered has the version that each box has, guarded by deliveries.
	version    int
	deliveries sync.Mutex
	delivered  map[int]int
}

var errNoAnswer = errors.New("no answer")

func (s *fakeTable) Write(_ context.Context, put map[string][]byte, remove []string) error {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(put)+len(remove) > MaxRowsPerWrite {
		return fmt.Errorf("%d rows in a call", len(put)+len(remove))
	}
	roll := s.rng.Float64()
	if s.unavailable || roll < s.failureRate {
		return errNoAnswer
	}
	maps.Copy(s.rows, put)
	for _, key := range remove {
		delete(s.rows, key)
	}
	s.version++
	version, rows := s.version, maps.Clone(s.rows)
	for n := range s.boxes {
		time.AfterFunc(s.propagationDelay, func() { s.deliver(n, version, rows) })
	}
	if roll < s.failureRate+s.lostReplyRate {
		return errNoAnswer
	}
	return nil
}

// deliver passes a version of the table to a box, unless the box has a later one.
func (s *fakeTable) deliver(box, version int, rows map[string][]byte) {
	s.deliveries.Lock()
	defer s.deliveries.Unlock()
	if version < s.delivered[box] {
		return
	}
	s.delivered[box] = version
	s.boxes[box].SetRows(rows)
}

// newFleet starts boxes that share a table.
func newFleet(ctx context.Context, boxes int, seed uint64) *fakeTable {
	s := &fakeTable{rng: newRNG(seed), rows: map[string][]byte{}, delivered: map[int]int{}, propagationDelay: 300 * time.Millisecond}
	for range boxes {
		l := NewList()
		s.boxes = append(s.boxes, l)
		go (&TableWriter{List: l, Table: s, Failed: func(error) {}}).Run(ctx)
	}
	return s
}

// lateBox returns a list that has just read the table.
func (s *fakeTable) lateBox() *List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := NewList()
	l.SetRows(s.rows)
	return l
}

// counts returns the number of calls to the table and the number of its rows.
func (s *fakeTable) counts() (calls, rows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, len(s.rows)
}

// runStats counts how often requests that crash endpoints were run.
type runStats struct {
	maxRuns  int // The runs of the request that ran most often.
	lateRuns int // The runs that began more than 3 s after the third run of the same request.
	runs     int // The runs of all requests.
}

// runCrashingRequests has a number of requests each crash an endpoint with every run, for a minute. Each request is
// sent to a random box again 0.2 to 3 s after its last run or refusal.
func (s *fakeTable) runCrashingRequests(requests int) (stats runStats) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range requests {
		rng := newRNG(uint64(n))
		wg.Go(func() {
			f, runs, late := fingerprintOf(fmt.Sprint(n)), 0, 0
			var thirdRun time.Time
			for end := time.Now().Add(time.Minute); time.Now().Before(end); {
				l := s.boxes[rng.IntN(len(s.boxes))]
				if !l.Check(f).Quarantined {
					runs++
					if !thirdRun.IsZero() && time.Since(thirdRun) > 3*time.Second {
						late++
					}
					ranFor := 60*time.Millisecond + randDuration(rng, 200*time.Millisecond)
					time.Sleep(ranFor + 30*time.Millisecond) // The run, and the time until the box notices the crash.
					l.RecordCrash(Crash{Request: f, Endpoint: fmt.Sprintf("e%d-%d", n, runs), Caller: fmt.Sprint(n), RunTime: ranFor})
					if runs == 3 {
						thirdRun = time.Now()
					}
				}
				time.Sleep(200*time.Millisecond + randDuration(rng, 2800*time.Millisecond))
			}
			mu.Lock()
			defer mu.Unlock()
			stats.maxRuns, stats.lateRuns, stats.runs = max(stats.maxRuns, runs), stats.lateRuns+late, stats.runs+runs
		})
	}
	wg.Wait()
	return stats
}

// Each box observes only some of the crashes under a request. It quarantines the request by the crashes of all boxes.
// However many boxes there are, the request runs three times. It runs again for each retry that arrives before the
// other boxes have received the crashes, up to six times in total. It does not run later than 3 s after its third run.
func TestBoxesKnowTogether(t *testing.T) {
	for _, boxes := range []int{8, 60, 400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := newFleet(ctx, boxes, 1)
			s.failureRate, s.lostReplyRate = 0.1, 0.1
			stats := s.runCrashingRequests(20)
			cancel()
			calls, _ := s.counts()
			t.Logf("%d boxes: 20 requests ran %d times, one at most %d times; %d calls to the store", boxes, stats.runs, stats.maxRuns, calls)
			if stats.lateRuns > 0 || stats.maxRuns > 6 {
				t.Errorf("%d boxes: expected no run later than 3 s after the third and at most six of one request, got %d and %d", boxes, stats.lateRuns, stats.maxRuns)
			}
			synctest.Wait()
		})
	}
}

// While the store is unavailable, each box decides by the crashes that it observed itself. Afterwards all boxes agree.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 4, 1)
		s.unavailable = true
		for n, l := range s.boxes[:3] {
			recordCrashes(l, "deadly", "a", 0, fmt.Sprint("e", n))
		}
		time.Sleep(30 * time.Second)
		expectQuarantined(t, s.boxes[3], "deadly", false)
		if calls, _ := s.counts(); calls > 60 {
			t.Errorf("expected few calls to an unavailable store, got %d", calls)
		}
		s.mu.Lock()
		s.unavailable = false
		s.mu.Unlock()
		time.Sleep(2 * maxRetryDelay)
		for _, l := range s.boxes {
			expectQuarantined(t, l, "deadly", true)
		}
		cancel()
		synctest.Wait()
	})
}

// When a box removes a crash because its request was answered, the crash disappears from the table and from all boxes.
// This holds even if the write of the crash was still in progress.
func TestRemovalDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFleet(ctx, 3, 1)
		recordCrashes(s.boxes[0], "a", "c", 0, "e1")
		time.Sleep(batchDelay + time.Millisecond) // By then the write is in progress.
		s.boxes[0].RecordServed(fingerprintOf("a"))
		time.Sleep(time.Minute)
		if _, rows := s.counts(); rows != 0 || !s.boxes[0].Empty() || !s.boxes[1].Empty() {
			t.Errorf("expected no row, got %d", rows)
		}
		cancel()
		synctest.Wait()
	})
}
