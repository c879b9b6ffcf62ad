package slots

// CellSnapshot is the state of a cell for display.
type CellSnapshot struct {
	Cell
	Snapshot
}
