package follow

import (
	"cmp"
	"fmt"
)

// Version orders the states of a table. The store may be restored from an older copy. Then the store's own version
// numbers go back and are assigned again, and the store's era rises by one. The zero value is older than any state.
type Version struct {
	Era    int64
	Number int64 // The store's own version number, which grows with every change within an era.
}

// Compare orders versions by era, and within an era by number.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Number, w.Number))
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool { return v.Compare(w) < 0 }

// IsZero reports whether v is the zero value, which is older than any state.
func (v Version) IsZero() bool { return v == Version{} }

func (v Version) String() string { return fmt.Sprintf("%d of era %d", v.Number, v.Era) }
