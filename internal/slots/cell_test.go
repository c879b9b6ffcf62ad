package slots

import (
	"fmt"
	"testing"
)

// Guards against cells with more endpoints than an owner is designed for.
func TestCells(t *testing.T) {
	for endpoints, want := range map[int]int{0: 0, 1: 1, 32: 1, 33: 2, 64: 2, 65: 3} {
		if got := CellCount(endpoints); got != want {
			t.Errorf("%d endpoints: expected %d cells, got %d", endpoints, want, got)
		}
	}
	counts := map[int]int{}
	for i := range 320 {
		counts[CellIndex(fmt.Sprint("endpoint-", i), CellCount(320))]++
	}
	for index, k := range counts {
		if index < 0 || index >= 10 || k > 64 {
			t.Errorf("cell %d has %d of 320 endpoints, expected about 32", index, k)
		}
	}
}
