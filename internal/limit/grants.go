package limit

import (
	"time"
)

// A client's limits hold for all boxes together. Each box counts what the client
// asks of it and tells the client's home box, any box that all agree on by hashing;
// the home answers with the box's share. Being wrong about a share for a moment
// lets a client have a little more or less; nothing else depends on it.

// Demand is what a client asked of one box, in requests a second, refused ones
// included.
type Demand struct {
	Client   string
	Requests float64
}

// Share is the part of a client's limits that one box may hand out.
type Share struct {
	Client string
	Part   float64
}

// demandKept is how long a box's last word counts. A box that is gone is forgotten
// after it, and its share goes to the others.
const demandKept = 4 * time.Second

// Home is what one box knows as the home of clients. It is not safe for concurrent use.
type Home struct{ clients map[string]map[string]heard }

type heard struct {
	requests float64
	at       time.Time
}

// NewHome returns a home that has heard nothing.
func NewHome() *Home { return &Home{clients: map[string]map[string]heard{}} }

// Hear takes the demands of a box and returns its shares, in the same order. A box's
// share is its part of all demand heard lately.
func (h *Home) Hear(now time.Time, box string, demands []Demand) []Share {
	out := make([]Share, len(demands))
	for i, d := range demands {
		boxes := h.clients[d.Client]
		if boxes == nil {
			boxes = map[string]heard{}
			h.clients[d.Client] = boxes
		}
		boxes[box] = heard{d.Requests, now}
		total := 0.0
		for name, b := range boxes {
			if now.Sub(b.at) > demandKept {
				delete(boxes, name)
				continue
			}
			total += b.requests
		}
		out[i] = Share{Client: d.Client, Part: 1}
		if total > 0 {
			out[i].Part = d.Requests / total
		}
	}
	return out
}

// Forget drops clients that nobody has asked about lately.
func (h *Home) Forget(now time.Time) {
	for client, boxes := range h.clients {
		for name, b := range boxes {
			if now.Sub(b.at) > demandKept {
				delete(boxes, name)
			}
		}
		if len(boxes) == 0 {
			delete(h.clients, client)
		}
	}
}

// SetDefault sets the part of every client's limits that this box may hand out
// while it has no share from the client's home: one of all boxes' parts.
func (t *Table) SetDefault(part float64) { t.part.Store(&part) }

// Demands returns what clients asked of this box in the time since the last call,
// and begins to count anew.
func (t *Table) Demands(since time.Duration) []Demand {
	var out []Demand
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for name, b := range sh.clients {
			if b.asked > 0 {
				out = append(out, Demand{name, float64(b.asked) / since.Seconds()})
				b.asked = 0
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// SetShare puts a share in force.
func (t *Table) SetShare(s Share) {
	sh := t.shard(s.Client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if b := sh.clients[s.Client]; b != nil {
		b.share = s.Part
	}
}

// Part is the part of a client's limits in force here.
func (t *Table) Part(client string) float64 {
	sh := t.shard(client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if b := sh.clients[client]; b != nil && b.share > 0 {
		return b.share
	}
	return t.defaultPart()
}

// DropShare goes back to the default part, because the home does not answer.
func (t *Table) DropShare(client string) { t.SetShare(Share{Client: client}) }

// scaled is the part of a client's limits that this box hands out. A share of 0
// stands for none: then the default part counts.
func (s Set) scaled(part float64) Set {
	return Set{Requests: s.Requests.scaled(part), Tokens: s.Tokens.scaled(part)}
}

func (r Rule) scaled(part float64) Rule {
	return Rule{Rate: r.Rate * part, Burst: max(1, r.burst()*part)}
}
