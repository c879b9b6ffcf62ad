package box

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// neverClosed is a server whose Stop returns only when its context ends.
type neverClosed struct{}

func (neverClosed) Start(context.Context) error { return nil }

func (neverClosed) Stop(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// All phases of a stop together must fit the total time, or exceed it by minClosing at most. In an earlier version each
// phase had its own limit. The limits added up to 1.4 s more than the total time.
func TestPartsOfAStopFitItsTime(t *testing.T) {
	for _, total := range []time.Duration{time.Second, 6 * time.Second, 7500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var p stopPlan
			began := time.Now()
			requests := p.begin(began, total)
			if minRequestTime := total / 4 * 3; requests.Sub(began) < minRequestTime {
				t.Errorf("%s: expected requests to have most of it, got %s", total, requests.Sub(began))
			}
			time.Sleep(time.Until(requests))
			time.Sleep(min(finalFlushTimeout, time.Until(began.Add(total))-minClosing)) // Writing the last records uses all the time that it has.
			_ = plannedServer{neverClosed{}, &p}.Stop(context.Background())
			if took := time.Since(began); took > total+minClosing {
				t.Errorf("expected a stop of %s, got %s", total, took)
			}
		})
	}
}

func TestListenersHaveMoreTimeWhereRequestsEndEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p stopPlan
		began := time.Now()
		p.begin(began, 6*time.Second)
		time.Sleep(time.Second)
		_ = plannedServer{neverClosed{}, &p}.Stop(context.Background())
		if took := time.Since(began) - time.Second; took != maxClosing {
			t.Errorf("expected %s for the listeners, got %s", maxClosing, took)
		}
	})
}
