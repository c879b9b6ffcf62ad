package limit

import (
	"time"
)

// A client's limits hold for all boxes together. Each client has an owner: a box that all boxes agree on by hashing the
// client's name. Each box counts the requests of the client and sends their rate to the owner. The owner responds with
// the part of the limits that the box may grant, its share. If a share is wrong for a moment, the client gets slightly
// more or less than its limits. Nothing else depends on shares.

// Demand is the rate at which a client sent requests to one box, in requests per second. Refused requests count too.
type Demand struct {
	Client   string
	Requests float64
}

// Share is the part of a client's limits that one box may grant, between 0 and 1.
type Share struct {
	Client   string
	Fraction float64
}

// demandTTL is how long the latest demand of a box counts. When a box is gone, its demand is forgotten after this time.
// Its share then goes to the other boxes.
const demandTTL = 4 * time.Second

// Owner is the state that a box keeps for the clients that it owns. The box divides the limits of these clients among
// all boxes. An Owner is not safe for concurrent use.
type Owner struct {
	clients map[string]map[string]demandReport
}

type demandReport struct {
	requests   float64
	receivedAt time.Time
}

// NewOwner returns an owner that has not received any demand yet.
func NewOwner() *Owner { return &Owner{clients: map[string]map[string]demandReport{}} }

// Update records the demands of a box. It returns the share of that box for each demand, in the same order. The share
// is the box's demand divided by the recent demand of all boxes for that client.
func (h *Owner) Update(now time.Time, box string, demands []Demand) []Share {
	out := make([]Share, len(demands))
	for i, d := range demands {
		boxes := h.clients[d.Client]
		if boxes == nil {
			boxes = map[string]demandReport{}
			h.clients[d.Client] = boxes
		}
		boxes[box] = demandReport{d.Requests, now}
		total := 0.0
		for name, b := range boxes {
			if now.Sub(b.receivedAt) > demandTTL {
				delete(boxes, name)
				continue
			}
			total += b.requests
		}
		out[i] = Share{Client: d.Client, Fraction: 1}
		if total > 0 {
			out[i].Fraction = d.Requests / total
		}
	}
	return out
}

// Forget drops clients without recent demand: no box has reported demand for them in the last demandTTL.
func (h *Owner) Forget(now time.Time) {
	for client, boxes := range h.clients {
		for name, b := range boxes {
			if now.Sub(b.receivedAt) > demandTTL {
				delete(boxes, name)
			}
		}
		if len(boxes) == 0 {
			delete(h.clients, client)
		}
	}
}

// SetDefault sets the default part. This is the part of a client's limits that this box may grant while the client's
// owner has given it no share. It should be 1 divided by the number of boxes.
func (t *Table) SetDefault(part float64) { t.defaultShare.Store(&part) }

// Demands returns the demand of each client since the last call, and resets the counts. since is the time that has
// passed since the last call.
func (t *Table) Demands(since time.Duration) []Demand {
	var out []Demand
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for name, b := range sh.clients {
			if b.requestsSeen > 0 {
				out = append(out, Demand{name, float64(b.requestsSeen) / since.Seconds()})
				b.requestsSeen = 0
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// SetShare sets the part of a client's limits that this box may grant, as decided by the client's owner. It does
// nothing if this box keeps no buckets for the client.
func (t *Table) SetShare(s Share) {
	sh := t.shard(s.Client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if b := sh.clients[s.Client]; b != nil {
		b.share = s.Fraction
	}
}

// ShareOf returns the part of a client's limits that this box may grant now.
func (t *Table) ShareOf(client string) float64 {
	sh := t.shard(client)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if b := sh.clients[client]; b != nil && b.share > 0 {
		return b.share
	}
	return t.defaultPart()
}

// DropShare removes the share for a client, because the client's owner does not respond. The default part applies then.
func (t *Table) DropShare(client string) { t.SetShare(Share{Client: client}) }

// scaled returns the limits that this box enforces if it may grant only the given part of the client's limits.
func (s Set) scaled(part float64) Set {
	return Set{Requests: s.Requests.scaled(part), Tokens: s.Tokens.scaled(part)}
}

func (r Rule) scaled(part float64) Rule {
	return Rule{Rate: r.Rate * part, Burst: max(1, r.burst()*part)}
}
