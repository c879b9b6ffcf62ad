package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/limit"
	"github.com/stoatramp/stoatramp/internal/platform"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Grants divides the clients' limits among the boxes. Each client has one owner. The owner is a box that grants every
// box its share of the client's limits. A box reports its demand to the owner: the rate of requests that the box
// receives from the client. Grants does both tasks. It fetches the shares of its own box, and it grants shares for the
// clients that its box owns.
type Grants struct {
	peers *Peers
	table *limit.Table

	mu    sync.Mutex
	owner *limit.Owner
}

// NewGrants returns the Grants of a box with the given peers. The Grants keeps the shares in t up to date.
func NewGrants(p *Peers, t *limit.Table) *Grants {
	return &Grants{peers: p, table: t, owner: limit.NewOwner()}
}

const (
	// grantInterval is how often a box reports its demands. If there are more than smallListSize boxes, the interval
	// grows in proportion to their number. It grows to at most maxGrantSlowdown times grantInterval.
	grantInterval    = time.Second
	maxGrantSlowdown = 5
)

// Run reports demands to the owners and applies the shares that they return, at intervals, until ctx ends.
func (g *Grants) Run(ctx context.Context) {
	last := clock.Now()
	for {
		others := len(g.peers.Others())
		select {
		case <-time.After(grantInterval * time.Duration(min(maxGrantSlowdown, max(1, others/smallListSize)))):
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		g.Exchange(ctx, now.Sub(last))
		last = now
	}
}

// Exchange reports this box's demand for each client to the client's owner, and applies the share that the owner
// returns. If the owner does not answer, this box uses the default share of 1/(number of boxes).
func (g *Grants) Exchange(ctx context.Context, since time.Duration) {
	boxes := g.peers.Others()
	g.table.SetDefault(1 / float64(1+len(boxes)))
	demandsByOwner := map[string][]limit.Demand{}
	for _, d := range g.table.Demands(since) {
		owner := ownerOf(g.peers.self, boxes, d.Client)
		demandsByOwner[owner] = append(demandsByOwner[owner], d)
	}
	var wg sync.WaitGroup
	for _, b := range boxes {
		if demands := demandsByOwner[b.Name]; len(demands) > 0 {
			wg.Go(func() { g.requestShares(ctx, b, demands) })
		}
	}
	for _, s := range g.HandleDemands(g.peers.self, demandsByOwner[g.peers.self]) {
		g.table.SetShare(s)
	}
	wg.Wait()
}

// HandleDemands records the demands of one box for clients that this box owns. It returns the shares granted to that
// box.
func (g *Grants) HandleDemands(box string, demands []limit.Demand) []limit.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.owner.Forget(now)
	return g.owner.Update(now, box, demands)
}

func (g *Grants) requestShares(ctx context.Context, b platform.BoxInfo, demands []limit.Demand) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &v1.GrantRequest{Box: g.peers.self}
	for _, d := range demands {
		req.Demands = append(req.Demands, &v1.ClientDemand{Client: d.Client, Requests: float32(d.Requests)})
	}
	resp, err := g.peers.client(b).Grant(ctx, connect.NewRequest(req))
	for i, d := range demands {
		if err != nil || i >= len(resp.Msg.Parts) {
			g.table.DropShare(d.Client)
			continue
		}
		g.table.SetShare(limit.Share{Client: d.Client, Fraction: float64(resp.Msg.Parts[i])})
	}
}

// ownerOf returns the box that owns a client. It uses rendezvous hashing. If a box is added, only the clients
// that it then owns change their owner. If a box is removed, only the clients that it owned change their owner.
func ownerOf(self string, boxes []platform.BoxInfo, client string) string {
	best, bestHash := self, xxhash.Sum64String(self+"\x00"+client)
	for _, b := range boxes {
		if h := xxhash.Sum64String(b.Name + "\x00" + client); h > bestHash {
			best, bestHash = b.Name, h
		}
	}
	return best
}
