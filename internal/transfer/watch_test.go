package transfer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// The timeouts of the tests below. A renewal comes long before the watch ends, so that a busy machine fails no test.
const (
	testIdle  = 500 * time.Millisecond
	testRenew = 20 * time.Millisecond
)

func expectEnd(t *testing.T, ctx context.Context, want bool) {
	t.Helper()
	select {
	case <-ctx.Done():
		if !want {
			t.Fatalf("expected the transfer to go on, it ended: %v", context.Cause(ctx))
		}
		if !errors.Is(context.Cause(ctx), ErrStalled) {
			t.Errorf("expected ErrStalled, got %v", context.Cause(ctx))
		}
	case <-time.After(30 * time.Second):
		if want {
			t.Fatal("expected the transfer to end")
		}
	}
}

func TestSlowTransferOutlastsItsTimeout(t *testing.T) {
	renewals := 0
	ctx, p, cancel := WithIdleTimeout(context.Background(), testIdle, testIdle, nil, func() { renewals++ })
	defer cancel()
	for end := time.Now().Add(3 * testIdle); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(testRenew) {
		FromContext(ctx).Add(MinBytes)
	}
	if ctx.Err() != nil {
		t.Fatalf("expected the transfer to go on, it ended: %v", context.Cause(ctx))
	}
	if renewals == 0 || p.Bytes() < 2*MinBytes {
		t.Errorf("expected renewals, got %d with %d bytes", renewals, p.Bytes())
	}
	expectEnd(t, ctx, true)
}

func TestTrickleIsNoProgress(t *testing.T) {
	ctx, cancelAll := context.WithTimeout(context.Background(), time.Minute)
	defer cancelAll()
	ctx, p, cancel := WithIdleTimeout(ctx, testIdle, testIdle, nil, nil)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			p.Add(1)
			time.Sleep(testRenew)
		}
	}()
	expectEnd(t, ctx, true)
}

func TestSilentPeerEndsTheTransfer(t *testing.T) {
	ctx, _, cancel := WithIdleTimeout(context.Background(), testRenew, testIdle, nil, nil)
	defer cancel()
	expectEnd(t, ctx, true)
}

func TestMessagesWithFewBytesAreProgress(t *testing.T) {
	ended := make(chan struct{})
	w := NewWatch(testIdle, testIdle, func() { close(ended) })
	defer w.Stop()
	for end := time.Now().Add(3 * testIdle); time.Now().Before(end); time.Sleep(testRenew) {
		w.Renew()
	}
	select {
	case <-ended:
		t.Error("expected the watch to go on")
	default:
	}
}

func TestWriteTimeoutGrowsWithTheMessage(t *testing.T) {
	if got := WriteTimeout(time.Second, 0); got != time.Second {
		t.Errorf("expected 1 s for nothing, got %v", got)
	}
	if got := WriteTimeout(time.Second, 10*minBytesPerSecond); got != 11*time.Second {
		t.Errorf("expected 11 s for ten seconds at the slowest rate, got %v", got)
	}
}

// Guards against a process that was suspended or had no processor time, and ends the transfers whose bytes it had no time
// to read.
func TestLateTimerEndsNoTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := 0
		w := NewWatch(testIdle, testIdle, func() { ended++ })
		resumed := time.Now().Add(testIdle + 2*stallSlack)
		if w.expired(resumed) {
			t.Error("expected the transfer to go on after a timer that fired late")
		}
		if !w.expired(resumed.Add(testIdle + 2*stallSlack)) {
			t.Error("expected a silent transfer to end at the second timer, also a late one")
		}

		w = NewWatch(testIdle, testIdle, func() { ended++ })
		defer w.Stop()
		w.expired(resumed)
		w.Renew()
		if w.expired(time.Now()) {
			t.Error("expected a renewed transfer to go on when its earlier timer fires")
		}
		if w.expired(resumed) {
			t.Error("expected a renewed transfer to outlast another late timer")
		}
		time.Sleep(10 * testIdle)
		synctest.Wait()
		if ended != 1 {
			t.Errorf("expected the transfer to end once, by its own timer, got %d", ended)
		}
	})
}
