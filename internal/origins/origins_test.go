package origins

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func expectBuild(t *testing.T, d *Directory, now time.Time, k Key, build string) {
	t.Helper()
	if o, ok := d.Get(now, k); ok != (build != "") || o.Build != build && ok {
		t.Errorf("key %d: expected build %q, got %+v, %t", k, build, o, ok)
	}
}

func TestOriginExpires(t *testing.T) {
	var d Directory
	d.Put(start, Origin{Key: 1, Build: "a", Expires: start.Add(3 * time.Second)})
	expectBuild(t, &d, start.Add(2*time.Second), 1, "a")
	expectBuild(t, &d, start.Add(3*time.Second), 1, "")
	d.Put(start.Add(5*time.Second), Origin{Key: 2, Build: "b", Expires: start.Add(9 * time.Second)})
	if n, _ := d.Sizes(); n != 1 {
		t.Errorf("expected the expired origin to be removed, got %d", n)
	}
}

// A message about the first placement may arrive after one about the engine that sent the first event.
func TestLaterRevisionHolds(t *testing.T) {
	var d Directory
	until := start.Add(time.Minute)
	d.Put(start, Origin{Key: 1, Build: "b", Revision: 4, Expires: until})
	d.Put(start, Origin{Key: 1, Build: "a", Revision: 2, Expires: until.Add(time.Second)})
	expectBuild(t, &d, until, 1, "b")
	d.Put(start, Origin{Key: 1, Build: "c", Revision: 5, Expires: start.Add(time.Second)})
	expectBuild(t, &d, until, 1, "c")
}

// Guards against a stream that is not found since its account was moved or renamed, and against one that is taken for an
// earlier release's.
func TestKeyIsThatOfTheAttemptAlone(t *testing.T) {
	if KeyOf("x") == KeyOf("y") || AccountKeyOf("lab", "x") == AccountKeyOf("other", "x") || AccountKeyOf("", "lab\x00x") == AccountKeyOf("lab", "y") {
		t.Error("expected other streams to have other keys")
	}
	if KeyOf("x") == AccountKeyOf("", "x") {
		t.Error("expected the key of an earlier release to be another one")
	}
}

// Guards against a stream that goes on at the build of another caller's stream with the same ID.
func TestIDsOfTwoCallers(t *testing.T) {
	until := start.Add(time.Minute)
	one := Origin{Key: 1, AccountKey: 11, Caller: 7, Service: "llm", Build: "a", Expires: until}
	for _, c := range []struct {
		name      string
		other     Origin
		ambiguous bool
	}{
		{"same build", Origin{Key: 1, Caller: 8, Service: "llm", Build: "a", Expires: until}, false},
		{"another build", Origin{Key: 1, Caller: 8, Service: "llm", Build: "b", Expires: until}, true},
		{"another service", Origin{Key: 1, Caller: 8, Service: "desk", Build: "a", Expires: until}, true},
		{"another build of the same caller", Origin{Key: 1, Caller: 7, Service: "llm", Build: "b", Expires: until}, false},
		{"a caller that is not known", Origin{Key: 1, Service: "llm", Build: "b", Expires: until}, false},
	} {
		for _, order := range [][]Origin{{one, c.other}, {c.other, one}} {
			var d Directory
			for _, o := range order {
				d.Put(start, o)
			}
			if o, ok := d.Get(start, 1); !ok || o.Ambiguous != c.ambiguous || o.Exact(7) == c.ambiguous && o.Caller == 7 {
				t.Errorf("%s: got %+v, %t", c.name, o, ok)
			}
			expectBuild(t, &d, start, 11, "a")
		}
	}
	if one.Exact(8) || !one.Exact(7) || !one.Exact(0) {
		t.Error("expected an origin to be exact for the caller that began it, and for one that has no key")
	}
}

// The directory is bounded. Those that expire first give way.
func TestDirectoryIsBounded(t *testing.T) {
	var d Directory
	for i := range MaxOrigins + 50 {
		d.Put(start, Origin{Key: Key(i + 1), Build: "a", Expires: start.Add(time.Minute + time.Duration(i)*time.Millisecond)})
	}
	n, evicted := d.Sizes()
	if n != MaxOrigins || evicted != 50 {
		t.Errorf("expected %d origins and 50 that gave way, got %d and %d", MaxOrigins, n, evicted)
	}
	expectBuild(t, &d, start, 1, "")
	expectBuild(t, &d, start, MaxOrigins+50, "a")
}

// Guards against a full directory that grows because all origins of the next second expire later by now.
func TestRenewedOriginsAreBounded(t *testing.T) {
	var d Directory
	for s := range 5 {
		for i := range MaxOrigins {
			d.Put(start, Origin{Key: Key(i + 1), Build: "a", Expires: start.Add(time.Duration(60+s) * time.Second)})
		}
	}
	d.Put(start, Origin{Key: MaxOrigins + 1, Build: "a", Expires: start.Add(time.Minute)})
	if n, evicted := d.Sizes(); n != MaxOrigins || evicted != 1 {
		t.Errorf("expected %d origins and one that gave way, got %d and %d", MaxOrigins, n, evicted)
	}
}

// A directory agrees with a plain map, whatever order origins come in.
func TestDirectoryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory
		model := map[Key]Origin{}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond)
			o := Origin{
				Key: Key(rapid.IntRange(1, 5).Draw(t, "key")), Build: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "build"),
				Revision: uint32(rapid.IntRange(0, 3).Draw(t, "revision")), Expires: now.Add(time.Duration(rapid.IntRange(-1, 9000).Draw(t, "for")) * time.Millisecond),
			}
			d.Put(now, o)
			old, known := model[o.Key]
			if known = known && old.Expires.After(now); known && o.Expires.After(now) {
				until := old.Expires
				if o.Expires.After(until) {
					until = o.Expires
				}
				if old.Revision > o.Revision {
					o = old
				}
				o.Expires = until
			}
			if o.Expires.After(now) {
				model[o.Key] = o
			}
			for k := Key(1); k <= 5; k++ {
				want, ok := model[k]
				ok = ok && want.Expires.After(now)
				if got, has := d.Get(now, k); has != ok || ok && got != want {
					t.Fatalf("key %d: expected %+v, %t, got %+v, %t", k, want, ok, got, has)
				}
			}
		}
	})
}
