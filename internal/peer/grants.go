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

// Grants keeps a box's shares of its clients' limits up to date, and gives other
// boxes theirs where this box is the client's home.
type Grants struct {
	peers *Peers
	table *limit.Table

	mu   sync.Mutex
	home *limit.Home
}

// NewGrants returns the grants of a box.
func NewGrants(p *Peers, t *limit.Table) *Grants {
	return &Grants{peers: p, table: t, home: limit.NewHome()}
}

const (
	// grantEvery is how often demands are told, slower in proportion with more than
	// listSmall boxes, up to grantSlowest.
	grantEvery   = time.Second
	grantSlowest = 5
)

// Run exchanges demands for shares until ctx ends.
func (g *Grants) Run(ctx context.Context) {
	last := clock.Now()
	for {
		others := len(g.peers.Others())
		select {
		case <-time.After(grantEvery * time.Duration(min(grantSlowest, max(1, others/listSmall)))):
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		g.Exchange(ctx, now.Sub(last))
		last = now
	}
}

// Exchange tells each home the demands of its clients, and puts the answers in force.
// Where a home does not answer, the careful default stands: one of all boxes' parts.
func (g *Grants) Exchange(ctx context.Context, since time.Duration) {
	boxes := g.peers.Others()
	g.table.SetDefault(1 / float64(1+len(boxes)))
	byHome := map[string][]limit.Demand{}
	for _, d := range g.table.Demands(since) {
		home := homeOf(g.peers.self, boxes, d.Client)
		byHome[home] = append(byHome[home], d)
	}
	var wg sync.WaitGroup
	for _, b := range boxes {
		if demands := byHome[b.Name]; len(demands) > 0 {
			wg.Go(func() { g.ask(ctx, b, demands) })
		}
	}
	for _, s := range g.Hear(g.peers.self, byHome[g.peers.self]) {
		g.table.SetShare(s)
	}
	wg.Wait()
}

// Hear takes the demands of a box as the home of its clients.
func (g *Grants) Hear(box string, demands []limit.Demand) []limit.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.home.Forget(now)
	return g.home.Hear(now, box, demands)
}

func (g *Grants) ask(ctx context.Context, b platform.BoxInfo, demands []limit.Demand) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
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
		g.table.SetShare(limit.Share{Client: d.Client, Part: float64(resp.Msg.Parts[i])})
	}
}

// homeOf picks a client's home by rendezvous hashing: when a box comes or goes only
// its own clients move.
func homeOf(self string, boxes []platform.BoxInfo, client string) string {
	best, most := self, xxhash.Sum64String(self+"\x00"+client)
	for _, b := range boxes {
		if h := xxhash.Sum64String(b.Name + "\x00" + client); h > most {
			best, most = b.Name, h
		}
	}
	return best
}
