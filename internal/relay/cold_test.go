package relay

import (
	"testing"
	"time"
)

// A new list repeats the entries of endpoints that have not written theirs again. Such an entry does not count down, and
// must not lengthen the endpoint's cold period.
func TestRepeatedEntryKeepsColdPeriod(t *testing.T) {
	cold := Endpoint{ID: "e", ColdLeft: time.Minute}
	var f fleet
	f.replaceEndpoints([]Endpoint{cold})
	first := f.cold["e"].endsAt
	time.Sleep(time.Millisecond) // The clock must have advanced.
	f.replaceEndpoints([]Endpoint{{ID: "new"}, cold})
	if got := f.cold["e"].endsAt; !got.Equal(first) {
		t.Errorf("expected the cold period to end as before, got %s later", got.Sub(first))
	}
	cold.ColdLeft += time.Second
	f.replaceEndpoints([]Endpoint{cold})
	if got := f.cold["e"].endsAt; !got.After(first) {
		t.Error("expected an entry with a longer cold period to lengthen it")
	}
}
