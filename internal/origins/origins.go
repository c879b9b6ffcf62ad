// Package origins remembers at which build of a service each stream began. A build is a version of the endpoints' software.
// A caller whose stream broke off takes it up at any box, and only endpoints of the same build may go on with it.
//
// Each box has a directory with the streams that it began itself, and with those that other boxes keep there (package
// overlay). A directory is memory alone. An origin is needed for as long as its caller may come back, which is seconds.
package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Key identifies a stream by the client account and the ID of the attempt that began it. An ID that a caller makes up is
// found only among the caller's own.
type Key uint64

// KeyOf returns the key of a stream. The account is empty if the request has none.
func KeyOf(account, id string) Key { return Key(xxhash.Sum64String(account + "\x00" + id)) }

// Origin is what is known of the beginning of a stream.
type Origin struct {
	Key     Key
	Service string
	Build   string
	// Revision orders what one box says of a stream. The first event may come from another build than the one that the
	// stream was first sent to.
	Revision uint32
	// Expires is when the caller can't come back any more.
	Expires time.Time
}

// MaxOrigins bounds a directory. At 100 streams a second that are kept for 14 s, three holders of each have 4,200 of them in
// all.
const MaxOrigins = 16384

// Directory holds origins until they expire. Its zero value is empty and ready for use.
type Directory struct {
	mu    sync.Mutex
	byKey map[Key]Origin
	// due has the keys by the second in which their origins expire. An origin whose expiry has changed is listed again.
	due map[int64][]Key
	// swept is the last second whose keys were removed.
	swept int64
	// evicted counts the origins that were removed before they expired, because there were MaxOrigins.
	evicted uint64
}

// Put adds an origin. It replaces one with the same key, unless that has a higher revision. The later expiry holds.
func (d *Directory) Put(now time.Time, o Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKey == nil {
		d.byKey, d.due, d.swept = map[Key]Origin{}, map[int64][]Key{}, now.Unix()-1
	}
	d.sweep(now)
	if !o.Expires.After(now) {
		return
	}
	old, known := d.byKey[o.Key]
	if known && old.Expires.After(now) {
		o = merge(old, o)
	}
	if !known && len(d.byKey) >= MaxOrigins {
		d.evictOne()
	}
	d.byKey[o.Key] = o
	if second := o.Expires.Unix(); !known || old.Expires.Unix() != second {
		d.due[second] = append(d.due[second], o.Key)
	}
}

// merge returns what two origins of the same stream say together; b came last.
func merge(a, b Origin) Origin {
	out := b
	if a.Revision > b.Revision {
		out = a
	}
	out.Expires = b.Expires
	if a.Expires.After(b.Expires) {
		out.Expires = a.Expires
	}
	return out
}

// sweep removes expired origins. d.mu is held.
func (d *Directory) sweep(now time.Time) {
	for ; d.swept < now.Unix()-1; d.swept++ {
		if len(d.due) == 0 {
			d.swept = now.Unix() - 1
			return
		}
		second := d.swept + 1
		for _, k := range d.due[second] {
			if o, ok := d.byKey[k]; ok && o.Expires.Unix() <= second {
				delete(d.byKey, k)
			}
		}
		delete(d.due, second)
	}
}

// evictOne removes an origin of those that expire first. d.mu is held.
func (d *Directory) evictOne() {
	for _, first := range slices.Sorted(maps.Keys(d.due)) {
		keys := d.due[first]
		for len(keys) > 0 {
			k := keys[0]
			keys = keys[1:]
			if o, ok := d.byKey[k]; ok && o.Expires.Unix() == first {
				delete(d.byKey, k)
				d.evicted++
				d.due[first] = keys
				return
			}
		}
		delete(d.due, first) // All of them expire later by now.
	}
}

// Get returns the origin of a stream.
func (d *Directory) Get(now time.Time, k Key) (o Origin, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok = d.byKey[k]
	return o, ok && o.Expires.After(now)
}

// Live returns all origins that have not expired.
func (d *Directory) Live(now time.Time) (out []Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.byKey {
		if o.Expires.After(now) {
			out = append(out, o)
		}
	}
	return out
}

// Sizes returns the number of origins, and how many were removed before they expired.
func (d *Directory) Sizes() (n int, evicted uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byKey), d.evicted
}

// PublishOrigin adds an origin, for a box without other boxes.
func (d *Directory) PublishOrigin(o Origin) { d.Put(clock.Now(), o) }

// FindOrigin returns the origin of a stream, for a box without other boxes.
func (d *Directory) FindOrigin(_ context.Context, k Key) (o Origin, by string, ok bool) {
	o, ok = d.Get(clock.Now(), k)
	return o, "", ok
}
