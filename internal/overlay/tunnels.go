package overlay

import (
	"github.com/stoatramp/stoatramp/internal/reach"
)

// Others lists the other boxes of this box's region, through which an endpoint may be reached.
func (n *Node) Others() (out []reach.Box) {
	for _, m := range n.members.list(n.o.Self.Region) {
		if m.Name != n.o.Self.Name {
			out = append(out, reach.Box{Name: m.Name, Hall: m.Hall, Address: m.Address})
		}
	}
	return out
}

// Key returns the key that all boxes share; empty if it is not known yet.
func (n *Node) Key() string { return n.members.sharedKey() }
