// Package peer is the communication between boxes. The platform's list of boxes lags and
// is corrected by direct calls. Boxes pass on only what the platform's table has accepted;
// there is no agreement protocol between them.
package peer

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/platform"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
)

const (
	// listInterval is how often the platform's list of boxes is read when it has up to
	// smallListSize entries. A longer list is read less often in proportion, which keeps
	// the bandwidth per box constant.
	listInterval  = 2 * time.Second
	smallListSize = 8
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the peers called at the same time.
	maxConcurrentCalls = 16
	// maxConfigPeers bounds the peers that one call of Config asks.
	maxConfigPeers = 3
)

// Lister reads the platform's list of boxes.
type Lister interface {
	Boxes(ctx context.Context) ([]platform.BoxInfo, error)
}

// Peers is one box's view of the other boxes.
type Peers struct {
	self   string
	key    string
	lister Lister
	hc     *http.Client

	mu    sync.Mutex
	boxes []platform.BoxInfo
}

// New returns the peers of a box; the list is empty until Run has read it.
func New(self, key string, list Lister, hc *http.Client) *Peers {
	return &Peers{self: self, key: key, lister: list, hc: hc}
}

// Run keeps the list up to date until ctx ends. While the list cannot be read, the last
// one stays in use: calls to a box that is gone just fail.
func (p *Peers) Run(ctx context.Context) {
	for {
		p.Refresh(ctx)
		select {
		case <-time.After(p.refreshInterval()):
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peers) refreshInterval() time.Duration {
	return listInterval * time.Duration(max(1, len(p.Others())/smallListSize))
}

// Refresh reads the list once.
func (p *Peers) Refresh(ctx context.Context) {
	boxes, err := p.lister.Boxes(ctx)
	if err != nil {
		return
	}
	boxes = slices.DeleteFunc(boxes, func(b platform.BoxInfo) bool { return b.Name == p.self })
	slices.SortFunc(boxes, func(a, b platform.BoxInfo) int { return cmp.Compare(a.Name, b.Name) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes = boxes
}

// Others returns the other boxes, sorted by name.
func (p *Peers) Others() []platform.BoxInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.boxes)
}

func (p *Peers) client(b platform.BoxInfo) stoatrampv1connect.PeerClient {
	base := b.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+p.key)
			return next(ctx, r)
		}
	})
	return stoatrampv1connect.NewPeerClient(p.hc, base, connect.WithInterceptors(auth))
}

// ErrNoPeer means that no peer could help.
var ErrNoPeer = errors.New("no peer answered")

// Config asks a few random peers for a configuration newer than known and returns the
// newest. It returns ErrNoPeer if none of them answered or had a newer one.
func (p *Peers) Config(ctx context.Context, known int64) (version int64, text string, err error) {
	boxes := p.Others()
	rand.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	for _, b := range boxes[:min(maxConfigPeers, len(boxes))] {
		got, err := p.passConfig(ctx, b, known)
		if err == nil && got.Version > max(known, version) && got.Text != "" {
			version, text = got.Version, got.Text
		}
	}
	if version == 0 {
		return 0, "", ErrNoPeer
	}
	return version, text, nil
}

func (p *Peers) passConfig(ctx context.Context, b platform.BoxInfo, known int64) (*v1.PassConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.client(b).PassConfig(ctx, connect.NewRequest(&v1.PassConfigRequest{Known: known}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Serving returns the names of the other boxes that are not leaving.
func (p *Peers) Serving() []string {
	var names []string
	for _, b := range p.Others() {
		if !b.Leaving {
			names = append(names, b.Name)
		}
	}
	return names
}

// Behind asks the named boxes and returns those that do not have the version in force.
// A box that does not answer counts as behind, since it may be unreachable but still
// serving.
func (p *Peers) Behind(ctx context.Context, version int64, names []string) []string {
	var mu sync.Mutex
	var behind []string
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, b := range p.Others() {
		if !slices.Contains(names, b.Name) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if p.version(ctx, b) < version {
				mu.Lock()
				defer mu.Unlock()
				behind = append(behind, b.Name)
			}
		})
	}
	wg.Wait()
	slices.Sort(behind)
	return behind
}

func (p *Peers) version(ctx context.Context, b platform.BoxInfo) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.client(b).State(ctx, connect.NewRequest(&v1.StateRequest{}))
	if err != nil {
		return -1
	}
	return resp.Msg.ConfigVersion
}

// Record asks the box named by the prefix of a request id for its record. It returns an
// empty text if that box is gone or does not have the record.
func (p *Peers) Record(ctx context.Context, id string) string {
	for _, b := range p.Others() {
		if !strings.HasPrefix(id, b.Name+"-") {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		resp, err := p.client(b).GetRecord(ctx, connect.NewRequest(&v1.GetRecordRequest{Id: id}))
		if err == nil && resp.Msg.RecordJson != "" {
			return resp.Msg.RecordJson
		}
	}
	return ""
}
