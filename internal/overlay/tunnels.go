package overlay

import (
	"sync"

	"github.com/stoatramp/stoatramp/internal/reach"
)

// otherBoxes caches the list of Others, because it is needed for each connection while paths are lost.
type otherBoxes struct {
	mu      sync.Mutex
	version int64
	list    []reach.Box
}

// Others lists the other boxes of this box's region, through which an endpoint may be reached. The list must not be changed.
func (n *Node) Others() []reach.Box {
	version := n.members.changes.Load()
	s := &n.others
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list != nil && s.version == version {
		return s.list
	}
	s.version, s.list = version, []reach.Box{}
	for _, m := range n.members.list(n.o.Self.Region) {
		if m.Name != n.o.Self.Name {
			s.list = append(s.list, reach.Box{Name: m.Name, Hall: m.Hall, Address: m.Address})
		}
	}
	return s.list
}

// Key returns the key that all boxes share; empty if it is not known yet.
func (n *Node) Key() string { return n.members.sharedKey() }
