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

func TestAccountsHaveTheirOwnIDs(t *testing.T) {
	if KeyOf("lab", "x") == KeyOf("other", "x") || KeyOf("", "lab\x00x") == KeyOf("lab", "y") {
		t.Error("expected an ID of another account to be another stream")
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
