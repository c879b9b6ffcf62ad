package slots

// simOwner is a box with a Dispatcher.
type simOwner struct {
	*sim
	d       *Dispatcher
	decided map[string]func(Decision)
	// observe, if set, is called with each decision on a new request, and the endpoints that had a free slot before.
	observe func(d Decision, free map[string]bool)
}

func newOwner(s *sim, endpoints []*simEndpoint) *simOwner {
	o := &simOwner{sim: s, decided: map[string]func(Decision){}}
	o.d = NewDispatcher(Options{Rand: s.rand})
	o.d.SetEndpoints(s.now, entries(endpoints))
	return o
}

func entries(endpoints []*simEndpoint) []Endpoint {
	var list []Endpoint
	for _, e := range endpoints {
		list = append(list, Endpoint{ID: e.id, Hall: e.hall, Slots: e.slots, Usable: true})
	}
	return list
}

func (o *simOwner) acquire(r Request, decided func(Decision)) {
	free := map[string]bool{}
	for _, e := range o.d.Snapshot(o.now).Endpoints {
		free[e.ID] = e.InUse < e.Limit && e.Usable && !e.SetAside
	}
	d := o.d.Acquire(o.now, r)
	if o.observe != nil {
		o.observe(d, free)
	}
	if d.State != Queued {
		decided(d)
	} else {
		o.decided[r.ID] = decided
	}
	o.step()
}

func (o *simOwner) release(id string, res Result) {
	o.d.Release(o.now, id, res)
	o.step()
}

func (o *simOwner) step() {
	for _, c := range o.d.Step(o.now) {
		f := o.decided[c.ID]
		delete(o.decided, c.ID)
		f(c.Decision)
	}
	if at, ok := o.d.Next(o.now); ok {
		o.at(at, func() {
			if next, ok := o.d.Next(o.now); ok && !next.After(o.now) {
				o.step()
			}
		})
	}
}
