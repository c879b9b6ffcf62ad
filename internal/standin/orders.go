package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/engine"
)

// SetCache sets the capacity of the prefix cache and how many of the newest events are
// not published yet.
func (e *Engine) SetCache(blocks, lag int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.CacheBlocks, e.EventLag = blocks, lag
}

// SetFenced sets whether the engine checks the epoch of an order. Call it before
// the engine listens.
func (e *Engine) SetFenced(v bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fenced = v
}

// Orders returns the orders that the engine carried out, in order.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

// order carries out an order. With fencing, an order of an older epoch than the newest
// seen is refused; without it, every order is carried out, however late.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && o.Epoch < e.epoch {
		writeError(w, http.StatusConflict, engine.CodeOldEpoch, "a newer epoch has given orders")
		return
	}
	e.epoch = max(e.epoch, o.Epoch)
	e.orders = append(e.orders, o)
	writeJSON(w, struct{}{})
}

// maxEvents bounds the cache events kept: a client that asks too late finds a gap.
const maxEvents = 256

// recordEviction records that a block was evicted from the cache.
func (e *Engine) recordEviction(block uint64) {
	e.events = append(e.events, block)
	if over := len(e.events) - maxEvents; over > 0 {
		e.events = e.events[over:]
		e.firstEvent += int64(over)
	}
}

// cacheEvents answers with the blocks evicted since an event, except for the newest
// EventLag of them, which are published later.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "expected after=NUMBER")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	end := max(e.firstEvent, e.firstEvent+int64(len(e.events)-e.EventLag))
	out := engine.CacheEvents{Next: end, Gap: after < e.firstEvent}
	for n := max(after, e.firstEvent); n < end; n++ {
		out.Removed = append(out.Removed, e.events[n-e.firstEvent])
	}
	writeJSON(w, out)
}

// blockHashes returns the chained hashes of a prompt's leading blocks, which identify
// the blocks in the published events.
func blockHashes(text []byte) []uint64 {
	var out []uint64
	h := xxhash.New()
	for i := 0; i+engine.CacheBlockBytes <= len(text); i += engine.CacheBlockBytes {
		_, _ = h.Write(text[i : i+engine.CacheBlockBytes])
		out = append(out, h.Sum64())
	}
	return out
}
