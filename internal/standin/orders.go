package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/engine"
)

// SetCache bounds the prefix cache and says how many of the newest events are held
// back.
func (e *Engine) SetCache(blocks, lag int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.CacheBlocks, e.EventLag = blocks, lag
}

// SetFenced says whether the engine checks the epoch of an order. It is set before
// the engine listens.
func (e *Engine) SetFenced(v bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fenced = v
}

// Orders lists the orders the engine carried out, in turn.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

// order carries out an order. With a fence, one of an older epoch than the newest
// seen is refused; without, any order is carried out, late ones included.
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

// maxEvents bounds the cache events kept: who asks too late finds a gap.
const maxEvents = 256

// evicted notes that a block left the cache.
func (e *Engine) evicted(block uint64) {
	e.events = append(e.events, block)
	if over := len(e.events) - maxEvents; over > 0 {
		e.events = e.events[over:]
		e.eventsFrom += int64(over)
	}
}

// cacheEvents answers with the blocks evicted since an event, but for the newest
// EventLag of them, which it publishes later.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "expected after=NUMBER")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	end := max(e.eventsFrom, e.eventsFrom+int64(len(e.events)-e.EventLag))
	out := engine.CacheEvents{Next: end, Gap: after < e.eventsFrom}
	for n := max(after, e.eventsFrom); n < end; n++ {
		out.Removed = append(out.Removed, e.events[n-e.eventsFrom])
	}
	writeJSON(w, out)
}

// blockHashes chains the hashes of a prompt's leading blocks, as the published
// events name them.
func blockHashes(text []byte) []uint64 {
	var out []uint64
	h := xxhash.New()
	for i := 0; i+engine.CacheBlockBytes <= len(text); i += engine.CacheBlockBytes {
		_, _ = h.Write(text[i : i+engine.CacheBlockBytes])
		out = append(out, h.Sum64())
	}
	return out
}
