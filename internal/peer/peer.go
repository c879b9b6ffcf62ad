// Package peer is the communication between boxes (machines that run the router). The platform's list of boxes is
// often out of date, so a box learns by direct calls which boxes answer. A box passes on only configurations that the
// platform's table has accepted. So the boxes need no agreement protocol between them.
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

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/platform"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/transfer"
)

const (
	// listInterval is how often a box reads the platform's list of boxes, if the list has up to smallListSize entries.
	// A longer list is read less often in proportion to its length, which keeps the bandwidth per box constant.
	listInterval  = 2 * time.Second
	smallListSize = 8
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the peers called at the same time.
	maxConcurrentCalls = 16
	// maxConfigPeers is the maximum number of peers that one call of Peers.Config asks.
	maxConfigPeers = 3
	// missingRetention is how long a box that is missing in the platform's list may still serve callers. It is longer
	// than the rollout of a configuration, which takes up to 5 s, and than some reads of the list.
	missingRetention = 10 * time.Second
)

// Lister reads the platform's list of boxes.
type Lister interface {
	Boxes(ctx context.Context) ([]platform.BoxInfo, error)
}

// Peers is what one box knows of the other boxes.
type Peers struct {
	self   string
	key    string
	lister Lister
	hc     *http.Client

	mu    sync.Mutex
	boxes []platform.BoxInfo
	// reads is the number of reads of the list that have begun. listRead is the number of the read whose list is in use.
	reads, listRead int
	// missing has the boxes that were in the list before and are not in it now, until their retention is over.
	missing map[string]missingBox
}

// missingBox is a box as it was last listed, with the time of the first list without it.
type missingBox struct {
	platform.BoxInfo
	since time.Time
}

// New returns the Peers of the box with the name self. Its list of boxes is empty until Run has read the list. It calls
// the other boxes by hc, whose transport it wraps.
func New(self, key string, list Lister, hc *http.Client) *Peers {
	counted := *hc
	if counted.Transport == nil {
		counted.Transport = httphead.NewTransport(&http.Transport{}, nil)
	}
	counted.Transport = transfer.RoundTripper{Base: counted.Transport}
	hc = &counted
	return &Peers{self: self, key: key, lister: list, hc: hc}
}

// Run keeps the list of boxes up to date until ctx ends. If the list cannot be read, the previous list stays in use.
// That list may name a box that no longer runs; a call to that box fails.
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

func (p *Peers) refreshInterval() time.Duration { return listIntervalFor(len(p.Others())) }

// listIntervalFor returns how often a list of the given length is read.
func listIntervalFor(length int) time.Duration {
	return listInterval * time.Duration(max(1, length/smallListSize))
}

// Refresh reads the list once. If several reads overlap, the list of the one that began last stays in use.
func (p *Peers) Refresh(ctx context.Context) {
	p.mu.Lock()
	p.reads++
	read := p.reads
	p.mu.Unlock()
	boxes, err := p.lister.Boxes(ctx)
	if err != nil {
		return
	}
	boxes = slices.DeleteFunc(boxes, func(b platform.BoxInfo) bool { return b.Name == p.self })
	slices.SortFunc(boxes, func(a, b platform.BoxInfo) int { return cmp.Compare(a.Name, b.Name) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if read < p.listRead {
		return
	}
	p.listRead = read
	p.recordMissing(boxes, clock.Now())
	p.boxes = boxes
}

// recordMissing updates the missing boxes before a new list is set. p.mu must be held.
func (p *Peers) recordMissing(next []platform.BoxInfo, now time.Time) {
	missing := map[string]missingBox{}
	for _, b := range p.boxes {
		missing[b.Name] = missingBox{b, now}
	}
	for name, b := range p.missing {
		if p.retained(b, now) {
			missing[name] = b
		}
	}
	for _, b := range next {
		delete(missing, b.Name)
	}
	p.missing = missing
}

// retained reports whether a missing box may still serve callers. Long lists are read less often, so a box is then
// missing for longer. p.mu must be held.
func (p *Peers) retained(b missingBox, now time.Time) bool {
	return now.Sub(b.since) < max(missingRetention, 3*listIntervalFor(len(p.boxes)))
}

// withMissing returns the other boxes, followed by the missing boxes whose retention is not over. listed is the number
// of the former.
func (p *Peers) withMissing() (boxes []platform.BoxInfo, listed int) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes = slices.Clone(p.boxes)
	for _, b := range p.missing {
		if p.retained(b, now) {
			boxes = append(boxes, b.BoxInfo)
		}
	}
	return boxes, len(p.boxes)
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

// ErrNoPeer means that no other box returned what it was asked for.
var ErrNoPeer = errors.New("no peer answered")

// Config asks a few random peers for a configuration newer than version known, and returns the newest that it gets. It
// returns ErrNoPeer if no peer returned a newer configuration.
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
	ctx, _, cancel := transfer.WithIdleTimeout(ctx, callTimeout, callTimeout, nil, nil)
	defer cancel()
	resp, err := p.client(b).PassConfig(ctx, connect.NewRequest(&v1.PassConfigRequest{Known: known}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Serving returns the names of the other boxes that are not leaving. It includes boxes that have been missing in the
// list for a short time, since they may still serve callers.
func (p *Peers) Serving() []string {
	var names []string
	boxes, _ := p.withMissing()
	for _, b := range boxes {
		if !b.Leaving {
			names = append(names, b.Name)
		}
	}
	return names
}

// Behind asks the named boxes which configuration version they use. It returns the names of the boxes whose version is
// older than the given version. It also returns the names of the boxes that do not answer, since these boxes may still
// serve callers. It does not return a box that announced that it is leaving, is not listed any more and does not answer.
func (p *Peers) Behind(ctx context.Context, version int64, names []string) []string {
	var mu sync.Mutex
	var behind []string
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	boxes, listed := p.withMissing()
	for i, b := range boxes {
		if !slices.Contains(names, b.Name) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			got := p.version(ctx, b)
			left := i >= listed && b.Leaving && got == noAnswer
			if got < version && !left {
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

// noAnswer is the version of a box that does not answer. It is older than all versions.
const noAnswer = -1

// version asks a box for the version of its configuration. It returns noAnswer if the box does not answer.
func (p *Peers) version(ctx context.Context, b platform.BoxInfo) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.client(b).State(ctx, connect.NewRequest(&v1.StateRequest{}))
	if err != nil {
		return noAnswer
	}
	return resp.Msg.ConfigVersion
}

// Record returns the record of a request as JSON, from the box whose name the request id starts with. It returns an
// empty text if that box does not answer or does not have the record.
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
