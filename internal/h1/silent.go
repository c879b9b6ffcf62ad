package h1

import (
	"context"
	"errors"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file ends requests that get no answer because the direct path to their endpoint is lost.

// ErrSilent means that Pool.EndSilent ended the request.
var ErrSilent = errors.New("no byte arrived, and the direct path to the endpoint is lost")

// watchSlow calls OnSlow unless the returned function is called in time.
func (p *Pool) watchSlow(ctx context.Context, c *conn) (answered func()) {
	if p.OnSlow == nil || c.via != "" {
		return func() {}
	}
	slow := time.AfterFunc(p.SlowAfter, func() { p.OnSlow(c.addr) })
	return func() {
		if slow.Stop() && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.OnSlow(c.addr)
		}
	}
}

// setEndable sets whether EndSilent may end the request that uses a connection.
func (p *Pool) setEndable(c *conn, ask func() bool) {
	if c.via != "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.addr]
	switch {
	case ask == nil:
		delete(h.endable, c)
	case h.endable == nil:
		h.endable = map[*conn]func() bool{c: ask}
	default:
		h.endable[c] = ask
	}
}

// EndSilent ends requests with EndIfSilent on direct connections on which nothing was sent or received for silentFor, to
// endpoints for which lost reports true. It ends at most n requests, so that the retries of those that it ends are taken
// before it asks the next ones, and returns how many it has ended. For the other endpoints it calls OnSlow.
func (p *Pool) EndSilent(silentFor time.Duration, n int, lost func(addr string) bool) (ended int) {
	type silent struct {
		c   *conn
		ask func() bool
	}
	var list []silent
	latest := clock.Now().Add(-silentFor).UnixNano()
	p.mu.Lock()
	for _, h := range p.hosts {
		for c, ask := range h.endable {
			if c.heardAt.Load() < latest {
				list = append(list, silent{c, ask})
			}
		}
	}
	p.mu.Unlock()
	for _, s := range list {
		switch {
		case !lost(s.c.addr):
			if p.OnSlow != nil {
				p.OnSlow(s.c.addr)
			}
		case ended < n && s.ask():
			ended++
			s.c.ended.Store(true)
			_ = s.c.Close()
		}
	}
	return ended
}
