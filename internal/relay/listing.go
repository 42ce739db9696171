package relay

import "github.com/marjoramrudder/marjoramrudder/internal/sched"

// Directory returns the endpoints of all groups. The caller must not change
// them.
func (n *Node) Directory() []sched.DirectoryEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directoryEntries
}
