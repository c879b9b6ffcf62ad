package box

import "github.com/stoatramp/stoatramp/internal/relay"

// This file says which rows of the list name endpoints to use. Another program may write rows. Some of them differ from those of
// endpoints only in that they have, or lack, a start time.

// startCount counts the rows of a service, and those that say when the endpoint started.
type startCount struct{ rows, started int }

// statesStarts reports whether the endpoints of the service say when they started. One row alone is no sign of that: another
// program may have written it, or one endpoint may run newer software than the others.
func (c startCount) statesStarts() bool { return c.rows > 1 && 2*c.started > c.rows }

// usable returns the endpoints to use. A foreign row names no endpoint. A row without a start time names none if the endpoints of
// its service state theirs, unless it has been in use since before: software that states it may be rolled out.
func usable(rows map[string]listedEndpoint) []relay.Endpoint {
	counts := map[string]*startCount{}
	for _, l := range rows {
		if l.foreign {
			continue
		}
		c := counts[l.endpoint.Service]
		if c == nil {
			c = &startCount{}
			counts[l.endpoint.Service] = c
		}
		c.rows++
		if l.endpoint.Started > 0 {
			c.started++
		}
	}
	out := make([]relay.Endpoint, 0, len(rows))
	for key, l := range rows {
		if l.foreign || l.endpoint.Started == 0 && !l.usedWithoutStart && counts[l.endpoint.Service].statesStarts() {
			continue
		}
		out = append(out, l.endpoint)
		if l.endpoint.Started == 0 && !l.usedWithoutStart {
			l.usedWithoutStart = true
			rows[key] = l // The key exists, so the iteration goes on as before.
		}
	}
	return out
}
