package slots

import (
	"fmt"
	"testing"
)

// Guards against an account that gets less than its weight, and against an order within an account other than that of
// arrival.
func TestWeightedFairOrder(t *testing.T) {
	var q queue
	for i := range 40 {
		q.push(&waiter{Request: Request{ID: fmt.Sprint("a", i), Account: "a"}, seq: uint64(i)})
	}
	for i := range 40 {
		q.push(&waiter{Request: Request{ID: fmt.Sprint("b", i), Account: "b", Weight: 3}, seq: uint64(40 + i)})
	}
	next := map[string]int{}
	for range 40 {
		w := q.first(func(*waiter) bool { return true })
		if want := fmt.Sprint(w.Account, next[w.Account]); w.ID != want {
			t.Errorf("%s is served before %s", w.ID, want)
		}
		next[w.Account]++
		q.serve(w)
	}
	if next["b"] < 29 || next["b"] > 31 {
		t.Errorf("an account of weight 3 got %d of 40 slots beside one of weight 1, want 30", next["b"])
	}
	if v := q.victim(); v.ID != "a39" {
		t.Errorf("%s would be refused, want the newest request of the account with the most work per weight", v.ID)
	}
}
