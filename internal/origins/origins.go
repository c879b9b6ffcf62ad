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

// Key identifies a stream by the ID of the attempt that began it. The platform's clients give each attempt an ID of its own. The
// account and the API key are not part of it: an operator may move or rename an account, and a caller may replace its key,
// while the stream runs.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// AccountKeyOf returns the key by which boxes of earlier releases know a stream. The account is empty if the request has none.
func AccountKeyOf(account, id string) Key { return Key(xxhash.Sum64String(account + "\x00" + id)) }

// Stream identifies a stream to boxes of this release and of earlier ones.
type Stream struct {
	// Key is 0 if the caller does not name the stream, or if a box of an earlier release asks.
	Key Key
	// AccountKeys are made of the names that the account of the caller's API key has, and has had lately; the present name
	// comes first.
	AccountKeys []Key
	// Caller identifies the API key of the caller; 0 if it has none.
	Caller uint64
}

// IsZero reports whether the caller does not name the stream.
func (s Stream) IsZero() bool { return s.Key == 0 && len(s.AccountKeys) == 0 }

// AccountKey returns the key for the present name of the account; 0 if there is none.
func (s Stream) AccountKey() Key {
	if len(s.AccountKeys) == 0 {
		return 0
	}
	return s.AccountKeys[0]
}

// Origin is what is known of the beginning of a stream.
type Origin struct {
	Key Key
	// AccountKey is the key by which boxes of earlier releases know the stream; 0 in what they publish themselves.
	AccountKey Key
	// Caller identifies the API key of the caller that began the stream; 0 if it had none or is not known.
	Caller  uint64
	Service string
	Build   string
	// Revision orders what one box says of a stream. The first event may come from another build than the one that the
	// stream was first sent to.
	Revision uint32
	// Ambiguous is set if two callers have used the ID for streams that began at different builds.
	Ambiguous bool
	// Expires is when the caller can't come back any more.
	Expires time.Time
}

// byOther reports whether another caller began the stream, as far as the callers are known.
func (o *Origin) byOther(caller uint64) bool {
	return caller != 0 && o.Caller != 0 && o.Caller != caller
}

// Exact reports whether the origin is that of a caller's own stream. The origin of a caller with another API key may be that
// of another stream with the same ID.
func (o *Origin) Exact(caller uint64) bool { return !o.Ambiguous && !o.byOther(caller) }

// Combine returns what two boxes say of the stream with an ID. b came last.
func Combine(a, b Origin) Origin {
	out := b
	if a.Revision > b.Revision {
		out = a
	}
	out.Ambiguous = a.Ambiguous || b.Ambiguous || a.byOther(b.Caller) && (a.Build != b.Build || a.Service != b.Service)
	out.Expires = b.Expires
	if a.Expires.After(b.Expires) {
		out.Expires = a.Expires
	}
	return out
}

// MaxOrigins bounds a directory. At 100 streams a second that are kept for 14 s, three holders of each have 8,400 entries in
// all, under both keys.
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

// Put adds an origin under both of its keys. It replaces one with the same key, unless that has a higher revision. The later
// expiry holds.
func (d *Directory) Put(now time.Time, o Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(now, o)
	if o.AccountKey != 0 {
		o.Key, o.AccountKey = o.AccountKey, 0
		d.put(now, o)
	}
}

// put adds an origin under its key. d.mu is held.
func (d *Directory) put(now time.Time, o Origin) {
	if d.byKey == nil {
		d.byKey, d.due, d.swept = map[Key]Origin{}, map[int64][]Key{}, now.Unix()-1
	}
	d.sweep(now)
	if !o.Expires.After(now) {
		return
	}
	old, known := d.byKey[o.Key]
	if known && old.Expires.After(now) {
		o = Combine(old, o)
	}
	if !known && len(d.byKey) >= MaxOrigins {
		d.evictOne()
	}
	d.byKey[o.Key] = o
	if second := o.Expires.Unix(); !known || old.Expires.Unix() != second {
		d.due[second] = append(d.due[second], o.Key)
	}
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
func (d *Directory) FindOrigin(_ context.Context, s Stream) (o Origin, by string, ok bool) {
	o, ok = d.Get(clock.Now(), s.Key)
	return o, "", ok
}
