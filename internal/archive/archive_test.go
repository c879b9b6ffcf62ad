package archive

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/record"
)

// fakeStore is an object store that can be down, or lose its answers to writes.
type fakeStore struct {
	mu          sync.Mutex
	objects     map[string][]byte
	down        bool
	loseAnswers int
	onCall      func() // If set, it is called once, at the start of the next read or write.
}

var errDown = errors.New("down")

func (s *fakeStore) called() {
	s.mu.Lock()
	f := s.onCall
	s.onCall = nil
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

func (s *fakeStore) PutObject(_ context.Context, key string, b []byte) error {
	s.called()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.objects[key] = b
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return errDown
	}
	return nil
}

func (s *fakeStore) GetObject(_ context.Context, key string) ([]byte, error) {
	s.called()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	if b, ok := s.objects[key]; ok {
		return b, nil
	}
	return nil, platform.ErrNotFound
}

func newArchive() (*Archive, *fakeStore, *metrics.Counter) {
	s := &fakeStore{objects: map[string][]byte{}}
	lost := metrics.NewSet().NewCounter("lost")
	return New(s, lost), s, lost
}

func id(n int) string { return fmt.Sprintf("box-1-abc-%x-%d", n/100, n) }

func expectFound(t *testing.T, a *Archive, n int, want error) {
	t.Helper()
	r, err := a.Find(context.Background(), id(n))
	if !errors.Is(err, want) || want == nil && (r == nil || r.ID != id(n)) {
		t.Errorf("record %d: expected %v, got %v, %v", n, want, r, err)
	}
}

// Any box finds records by their ids alone. It does not matter in which parts and minutes the records were written. Any
// box also finds them after the box that wrote them has restarted.
func TestFind(t *testing.T) {
	a, s, _ := newArchive()
	for n := range 250 {
		a.Add(&record.Record{ID: id(n)})
		if n%40 == 0 {
			a.Flush(context.Background())
		}
	}
	a.Flush(context.Background())
	restarted := New(s, nil)
	restarted.Add(&record.Record{ID: id(1000)})
	restarted.Add(&record.Record{ID: id(50)}) // Like a long request that ends after its minute was written.
	restarted.Flush(context.Background())
	for _, n := range []int{0, 39, 40, 99, 100, 249, 1000} {
		expectFound(t, restarted, n, nil)
	}
	expectFound(t, restarted, 250, ErrNotFound)
}

// During an outage of the store, records are kept up to a limit, and dropped records are counted. If the answer to a
// write is lost, no record is lost.
func TestOutage(t *testing.T) {
	a, s, lost := newArchive()
	s.down = true
	for n := range maxPending + 10 {
		a.Add(&record.Record{ID: id(n)})
	}
	a.Flush(context.Background())
	expectFound(t, a, 100, errDown)
	s.down, s.loseAnswers = false, 3
	for range 3 {
		a.Flush(context.Background())
	}
	if lost.Get() != 10 {
		t.Errorf("expected 10 records lost, got %d", lost.Get())
	}
	expectFound(t, a, 9, ErrNotFound)
	for _, n := range []int{10, 500, maxPending + 9} {
		expectFound(t, a, n, nil)
	}
}

// If the answer to a write was lost, the records are stored once. A second copy in another part would use up the parts
// of the minute, and a search reads them one after another.
func TestLostAnswerStoresOnce(t *testing.T) {
	a, s, _ := newArchive()
	s.loseAnswers = 1
	a.Add(&record.Record{ID: id(1)})
	a.Flush(context.Background())
	a.Add(&record.Record{ID: id(2)})
	a.Flush(context.Background())
	expectFound(t, a, 1, nil)
	expectFound(t, a, 2, nil)
	if len(s.objects) != 1 {
		t.Errorf("expected one object, got %d", len(s.objects))
	}
}

// Records of a failed flush are older than those that arrived meanwhile. They must be dropped first.
func TestFailedFlushDropsOldestFirst(t *testing.T) {
	a, s, lost := newArchive()
	byTime := NewTimeArchive(listedStore{s}, "a", lost)
	add := func(n int) {
		a.Add(&record.Record{ID: id(n)})
		byTime.Add(&record.Record{ID: id(n)})
	}
	s.down = true
	for n := range maxPending {
		add(n)
	}
	a.Flush(context.Background())
	byTime.Flush(context.Background())
	for n := range 10 {
		add(maxPending + n)
	}
	for _, pending := range [][]*record.Record{a.pending, byTime.pending} {
		for i, r := range pending {
			if r.ID != id(i+10) {
				t.Errorf("expected %s at position %d, got %s", id(i+10), i, r.ID)
				break
			}
		}
	}
	if lost.Get() != 20 {
		t.Errorf("expected 10 records of each archive lost, got %d", lost.Get())
	}
}

// Records that arrive during a failed write can fill the queue. The records of that write are then the ones to drop.
func TestRecordsDuringFailedFlush(t *testing.T) {
	a, s, lost := newArchive()
	s.down = true
	a.Add(&record.Record{ID: id(0)})
	a.Add(&record.Record{ID: id(1)})
	s.onCall = func() {
		for n := range maxPending - 1 {
			a.Add(&record.Record{ID: id(n + 2)})
		}
	}
	a.Flush(context.Background())
	if len(a.pending) != maxPending || a.pending[0].ID != id(1) || lost.Get() != 1 {
		t.Errorf("expected the oldest record to be dropped, got %d pending from %s on, %d lost", len(a.pending), a.pending[0].ID, lost.Get())
	}
}

// listedStore is a fakeStore that can also list and delete objects.
type listedStore struct{ *fakeStore }

func (l listedStore) Put(ctx context.Context, name string, b []byte) error {
	return l.PutObject(ctx, name, b)
}

func (l listedStore) Get(ctx context.Context, name string) ([]byte, error) {
	b, err := l.GetObject(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrNotFound
	}
	return b, err
}

func (l listedStore) List(_ context.Context, prefix string) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errDown
	}
	return slices.Sorted(maps.Keys(l.objects)), nil
}

func (l listedStore) Delete(_ context.Context, name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.objects, name)
	return nil
}

// Any box finds a record by an id that the caller chose. This also holds after an outage of the store and after a lost
// answer.
func TestByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := listedStore{&fakeStore{objects: map[string][]byte{}, down: true}}
		lost := metrics.NewSet().NewCounter("lost")
		a, b := NewTimeArchive(s, "a", lost), NewTimeArchive(s, "b", lost)
		ctx, cancel := context.WithCancel(context.Background())
		go a.Run(ctx)
		a.Add(&record.Record{ID: "one"})
		time.Sleep(byTimeInterval + time.Second)
		s.mu.Lock()
		s.down, s.loseAnswers = false, 1
		s.mu.Unlock()
		time.Sleep(2 * byTimeInterval)
		a.Add(&record.Record{ID: "two"})
		time.Sleep(byTimeInterval)
		cancel()
		for _, id := range []string{"one", "two"} {
			if r, err := b.Find(context.Background(), id); err != nil || r.ID != id {
				t.Errorf("%s: expected the other box to find it, got %v, %v", id, r, err)
			}
		}
		if _, err := b.Find(context.Background(), "three"); !errors.Is(err, ErrNotFound) {
			t.Errorf("expected no record, got %v", err)
		}
		time.Sleep(retention)
		b.removeOld(context.Background(), time.Now())
		if n := len(s.objects); n != 0 || lost.Get() != 0 {
			t.Errorf("expected all objects removed and no record lost, got %d and %d", n, lost.Get())
		}
	})
}

// If the answer to a write was lost, the records are stored once. A second object would make searches read more.
func TestByTimeLostAnswerStoresOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := listedStore{&fakeStore{objects: map[string][]byte{}, loseAnswers: 1}}
		a := NewTimeArchive(s, "a", metrics.NewSet().NewCounter("lost"))
		a.Add(&record.Record{ID: "one"})
		a.Flush(context.Background())
		time.Sleep(byTimeInterval)
		a.Add(&record.Record{ID: "two"})
		a.Flush(context.Background())
		for _, id := range []string{"one", "two"} {
			if _, err := a.Find(context.Background(), id); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		if len(s.objects) != 1 {
			t.Errorf("expected one object, got %d", len(s.objects))
		}
	})
}

// A record that is written after a long outage is kept for the whole retention. Under the name of the first failed
// write it would be removed early.
func TestByTimeNameAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := listedStore{&fakeStore{objects: map[string][]byte{}, down: true}}
		a := NewTimeArchive(s, "a", metrics.NewSet().NewCounter("lost"))
		a.Add(&record.Record{ID: "one"})
		for range 20 {
			a.Flush(context.Background())
			time.Sleep(byTimeInterval)
		}
		s.down = false
		a.Flush(context.Background())
		time.Sleep(retention - maxRetryAge)
		a.removeOld(context.Background(), time.Now())
		if _, err := a.Find(context.Background(), "one"); err != nil {
			t.Errorf("expected the record to be kept, got %v", err)
		}
	})
}

// A box may flush twice within a second, at a regular write and when it stops. The second object must not replace the
// first one.
func TestByTimeFlushesWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := listedStore{&fakeStore{objects: map[string][]byte{}}}
		a := NewTimeArchive(s, "a", metrics.NewSet().NewCounter("lost"))
		ids := []string{"one", "two", "three"}
		for _, id := range ids {
			a.Add(&record.Record{ID: id})
			a.Flush(context.Background())
			time.Sleep(400 * time.Millisecond)
		}
		for _, id := range ids {
			if _, err := a.Find(context.Background(), id); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
	})
}

func TestRecordsAreWrittenAgainWhenTheStoreCameBackWithoutThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := listedStore{&fakeStore{objects: map[string][]byte{}}}
		a := NewTimeArchive(s, "a", metrics.NewSet().NewCounter("lost"))
		ctx, cancel := context.WithCancel(context.Background())
		go a.Run(ctx)
		expect := func(what string, after time.Duration, down bool, want error) {
			t.Helper()
			s.mu.Lock()
			clear(s.objects)
			s.down = down
			s.mu.Unlock()
			a.StoreRestored()
			time.Sleep(rewriteSpread)
			s.mu.Lock()
			s.down = false
			s.mu.Unlock()
			time.Sleep(after)
			if _, err := a.Find(context.Background(), "one"); !errors.Is(err, want) {
				t.Errorf("%s: expected %v, got %v", what, want, err)
			}
		}
		a.Add(&record.Record{ID: "one"})
		time.Sleep(byTimeInterval + time.Second)
		expect("lost by a restore a second later", 0, false, nil)
		expect("with the store down again", rewriteSpread, true, nil)
		time.Sleep(lastObjectRetention)
		expect("long after it was written", rewriteSpread, false, ErrNotFound)
		cancel()
		time.Sleep(time.Minute)
	})
}
