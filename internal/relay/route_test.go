package relay

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// Guards against a new configuration after which the box has to learn the times of a route's callers again, and against
// memory of routes that are gone.
func TestNewConfigKeepsCallerTimes(t *testing.T) {
	config := func(names ...string) *Config {
		c := &Config{}
		for _, name := range names {
			c.Routes = append(c.Routes, &Route{Name: name})
		}
		return c
	}
	old := keepCallerTimes(nil, config("kept", "removed"))
	for range 40 {
		old["kept"].Observe(clock.Now(), 14*time.Second, true)
	}
	next := keepCallerTimes(&old, config("kept", "new"))
	if next["kept"].SpentBefore(13*time.Second) != time.Second {
		t.Errorf("expected a caller with 13 s to have lost 1 s, got %s", next["kept"].SpentBefore(13*time.Second))
	}
	if next["new"] == nil || next["new"].SpentBefore(time.Second) != 0 || len(next) != 2 {
		t.Errorf("expected nothing to be known of a new route, and only the configured routes, got %d", len(next))
	}
}

// Guards against a range of first attempts that is learned from callers who come back: after a refusal of this box, to a
// contended service, or to resume a stream.
func TestCallersWhoComeBackAreNotLearned(t *testing.T) {
	for name, c := range map[string]struct {
		lastEvent string
		before    func(r *Relay, x *exchange)
		learned   bool
	}{
		"first attempts":    {learned: true},
		"resumed streams":   {lastEvent: "7"},
		"contended service": {before: func(r *Relay, x *exchange) { r.signContention(x.place(), false) }},
		"refused with a delay": {before: func(_ *Relay, x *exchange) {
			x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.SlotsFull, RetryAfter: time.Second})
		}},
		"refused for good": {before: func(_ *Relay, x *exchange) { x.refuse(outcome.Refuse(outcome.TooLarge, "")) }, learned: true},
		"may have run": {before: func(_ *Relay, x *exchange) {
			x.refuse(outcome.Outcome{Kind: outcome.MayHaveRun, Reason: outcome.EndpointLost})
		}, learned: true},
		"refused before that": {before: func(_ *Relay, x *exchange) { x.callers.Refused(clock.Now().Add(-time.Minute)) }, learned: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := cellRelay(1)
			r.o.Recorder.Records, r.o.Recorder.Archive = record.NewRing(1), noArchive{}
			cfg := *r.cfg.Load()
			cfg.Routes = []*Route{{Name: "x"}}
			r.SetConfig(&cfg)
			arrive := func(timeout time.Duration) *exchange {
				x := &exchange{
					r: r, w: httptest.NewRecorder(), route: cfg.Routes[0], service: cfg.Services["s-0"], region: "r", arrived: clock.Now(),
					meta: RequestMeta{Timeout: timeout, LastEvent: c.lastEvent}, trace: r.o.Recorder.Open(&record.Record{}),
				}
				x.observeCaller()
				return x
			}
			x := arrive(14 * time.Second)
			if c.before != nil {
				c.before(r, x)
			}
			for range 40 {
				arrive(12 * time.Second)
			}
			// Learned as first attempts, 12 s are the lower end. Otherwise it is 0.8 of 14 s.
			if got := arrive(11500 * time.Millisecond).isReturning(); got != c.learned {
				t.Errorf("expected a caller with 11.5 s to return: %t, got %t", c.learned, got)
			}
		})
	}
}

type noArchive struct{}

func (noArchive) Add(*record.Record) {}
