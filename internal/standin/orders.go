package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/engine"
)

// SetCache sets the capacity of the prefix cache in blocks, and how many of the newest cache events are held back
// (lag).
func (e *Engine) SetCache(blocks, lag int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.CacheBlocks, e.EventLag = blocks, lag
}

// SetFenced sets whether the engine refuses orders of an old epoch. It must be called before the engine listens.
func (e *Engine) SetFenced(v bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fenced = v
}

// Orders returns the orders that the engine carried out, oldest first.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

// order carries out an order. An epoch is a number for the sender's right to give orders. With fencing, the engine
// refuses an order whose epoch is below the highest epoch it has seen. Without fencing, it carries out every order.
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

// maxEvents is how many cache events are kept. If a client asks for an event that is no longer kept, the answer tells
// the client of the gap.
const maxEvents = 256

// recordEviction adds an event for a block that was evicted from the prefix cache.
func (e *Engine) recordEviction(block uint64) {
	e.events = append(e.events, block)
	if over := len(e.events) - maxEvents; over > 0 {
		e.events = e.events[over:]
		e.firstEvent += int64(over)
	}
}

// cacheEvents answers with the blocks that were evicted after a given event. It holds back the newest EventLag events,
// because the real engines publish evictions late.
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

// blockHashes returns one hash for each whole block at the start of a prompt. Each hash covers all blocks up to and
// including its own. Published events name blocks by these hashes.
func blockHashes(text []byte) []uint64 {
	var out []uint64
	h := xxhash.New()
	for i := 0; i+engine.CacheBlockBytes <= len(text); i += engine.CacheBlockBytes {
		_, _ = h.Write(text[i : i+engine.CacheBlockBytes])
		out = append(out, h.Sum64())
	}
	return out
}
