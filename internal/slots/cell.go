package slots

import "github.com/cespare/xxhash/v2"

// Cell is a group of endpoints of one service and region whose slots are granted by one owner.
type Cell struct {
	Service, Region string
	// Index numbers the cells of a service and region from 0.
	Index int
}

// MaxCellEndpoints is the mean number of endpoints of a cell that is not exceeded.
const MaxCellEndpoints = 32

// CellCount returns the number of cells of a service that has this number of endpoints in a region.
func CellCount(endpoints int) int { return (endpoints + MaxCellEndpoints - 1) / MaxCellEndpoints }

// CellIndex returns the index of the cell that an endpoint belongs to. cells is the result of CellCount, at least 1.
func CellIndex(endpoint string, cells int) int {
	return int(xxhash.Sum64String(endpoint) % uint64(cells))
}

// CellSnapshot is the state of a cell for display.
type CellSnapshot struct {
	Cell
	Snapshot
}
