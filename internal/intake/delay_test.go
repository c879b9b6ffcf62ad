package intake

import (
	"fmt"
	"testing"
	"time"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// connectAll records a connect to each of n addresses each 50 ms, for a duration.
func connectAll(d *Delays, n int, from, length time.Duration, took func(address int) time.Duration) {
	for t := from; t < from+length; t += 50 * time.Millisecond {
		for a := range n {
			d.Connected(at(t), fmt.Sprint("10.0.0.", a), took(a))
		}
	}
}

func usual(int) time.Duration { return 2 * time.Millisecond }

// Guards against a full link that nobody notices, and against a slow endpoint that is taken for one.
func TestLinkDelayIsWhatAllAddressesHaveInCommon(t *testing.T) {
	for name, c := range map[string]struct {
		addresses int
		took      func(address int) time.Duration
		want      time.Duration
	}{
		"all are slow":                  {3, func(int) time.Duration { return 102 * time.Millisecond }, 100 * time.Millisecond},
		"all but one are slow":          {3, func(a int) time.Duration { return 2*time.Millisecond + time.Duration(a)*50*time.Millisecond }, 0},
		"the only address is slow":      {1, func(int) time.Duration { return 102 * time.Millisecond }, 0},
		"the least slow one is counted": {2, func(a int) time.Duration { return time.Duration(52+50*a) * time.Millisecond }, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var d Delays
			connectAll(&d, c.addresses, 0, 5*time.Second, usual)
			if got := d.Link(at(5 * time.Second)); got > time.Millisecond {
				t.Errorf("expected no delay before, got %s", got)
			}
			connectAll(&d, c.addresses, 5*time.Second, time.Second, c.took)
			if got := d.Link(at(6 * time.Second)); got < c.want*9/10-time.Millisecond || got > c.want+time.Millisecond {
				t.Errorf("expected %s, got %s", c.want, got)
			}
			if got := d.Link(at(8 * time.Second)); got != 0 {
				t.Errorf("expected no delay without connects, got %s", got)
			}
		})
	}
}

// Guards against a single stall that counts as a lack of processor time, and against a lasting lack that does not.
func TestProcessorDelayIsALastingOne(t *testing.T) {
	var d Delays
	for i := range 100 {
		late := time.Duration(0)
		if i == 80 {
			late = 200 * time.Millisecond
		}
		d.Ticked(at(time.Duration(i)*20*time.Millisecond), late)
		if got := d.Processor(at(time.Duration(i) * 20 * time.Millisecond)); got > 20*time.Millisecond {
			t.Fatalf("tick %d: expected less than 20ms after one stall, got %s", i, got)
		}
	}
	for i := range 20 {
		d.Ticked(at(2*time.Second+time.Duration(i)*80*time.Millisecond), 60*time.Millisecond)
	}
	if got := d.Processor(at(3600 * time.Millisecond)); got < 50*time.Millisecond {
		t.Errorf("expected about 60ms, got %s", got)
	}
	if got := d.Processor(at(10 * time.Second)); got != 0 {
		t.Errorf("expected no delay long after the last tick, got %s", got)
	}
}

// Guards against memory that grows with the addresses of endpoints that are gone.
func TestAddressesAreBounded(t *testing.T) {
	var d Delays
	for i := range 3 * maxAddresses {
		d.Connected(at(time.Duration(i)*time.Second), fmt.Sprint("10.0.", i), time.Millisecond)
	}
	if n := len(d.byAddress); n > maxAddresses {
		t.Errorf("expected at most %d addresses, got %d", maxAddresses, n)
	}
}
