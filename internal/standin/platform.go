package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/stoatramp/stoatramp/internal/platform"
)

// Platform is a stand-in for the platform's table, its object store and its list of boxes.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	boxes   []platform.BoxInfo
	// down makes every connection drop. lostAnswers is the number of coming writes that take effect without a response.
	down        bool
	lostAnswers int
	Reads       int
	Writes      int
}

// NewPlatform returns a platform without rows, objects or boxes.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetDown starts an outage, in which every connection is dropped, or ends it.
func (p *Platform) SetDown(v bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = v
}

// DropWriteAnswers makes the next n writes take effect without a response.
func (p *Platform) DropWriteAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAnswers = n
}

// SetBoxes sets the list of boxes.
func (p *Platform) SetBoxes(b []platform.BoxInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes = b
}

// Handler serves the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.TablePath, p.table)
	mux.HandleFunc(platform.ObjectPath, p.object)
	mux.HandleFunc(platform.BoxesPath, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, p.boxes)
	})
	return mux
}

func (p *Platform) table(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), platform.TablePath))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPost {
		p.write(w, r, key)
		return
	}
	p.Reads++
	row, ok := p.rows[key]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Header.Get("If-None-Match") == strconv.FormatInt(row.Version, 10):
		w.WriteHeader(http.StatusNotModified)
	default:
		writeJSON(w, row)
	}
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	var req platform.Write
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	row := p.rows[key]
	if row.Version != req.IfVersion {
		w.WriteHeader(http.StatusConflict)
		return
	}
	row = platform.Row{Key: key, Version: row.Version + 1, Token: req.Token, Value: req.Value}
	p.rows[key] = row
	p.Writes++
	if p.lostAnswers > 0 {
		p.lostAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platform.Row{Key: key, Version: row.Version})
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, platform.ObjectPath)
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPut {
		p.objects[key] = b
		return
	}
	stored, ok := p.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(stored)
}
