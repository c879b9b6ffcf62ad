package slots

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func newTestDispatcher(list ...Endpoint) *Dispatcher {
	d := NewDispatcher(Options{Rand: rand.New(rand.NewPCG(1, 2))})
	d.SetEndpoints(epoch, list)
	return d
}

func request(id string) Request {
	return Request{ID: id, Box: "box1", OnTime: simTarget, Left: simTimeout}
}

// warm has a dispatcher answer n calls of 30 ms one after another, and returns the time after them.
func warm(d *Dispatcher, n int) time.Time {
	now := epoch
	for i := range n {
		id := fmt.Sprint("warm", i)
		if g := d.Acquire(now, request(id)); g.State != Granted {
			panic(fmt.Sprintf("warming: %+v", g))
		}
		now = now.Add(simService)
		d.Release(now, id, Result{Answered, simService})
	}
	return now
}
