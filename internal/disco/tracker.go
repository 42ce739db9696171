// Package disco decides which endpoints are in the directory after the store
// that lists them was unavailable. Meanwhile servers can't renew their entries,
// so the entries of servers that are alive lapse. The package does no I/O.
package disco

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// keepTime is how long an endpoint without an entry is kept after the store's
// return. A server that is alive writes its entry within about 2 s.
const keepTime = 3 * time.Second

// Tracker holds the entries of the store and the endpoints that are kept without
// one. It is not safe for concurrent use.
type Tracker struct {
	lost      bool // the store has failed since the last read
	revision  ident.Revision
	entries   []sched.DirectoryEntry
	kept      []sched.DirectoryEntry
	keepUntil time.Time
}

// NewTracker returns a tracker that has read no entries and keeps nothing.
func NewTracker() *Tracker { return &Tracker{} }

// Update handles a message.
func (t *Tracker) Update(now time.Time, m Message) []Command {
	switch m := m.(type) {
	case StoreLost:
		t.lost = true
	case EntriesRead:
		return t.read(now, m)
	case Tick:
		if !t.lost && len(t.kept) > 0 && !now.Before(t.keepUntil) {
			t.kept = nil
			return []Command{t.publish()}
		}
	}
	return nil
}

func (t *Tracker) read(now time.Time, m EntriesRead) []Command {
	returned := t.lost
	t.lost = false
	t.revision, t.entries = m.Revision, slices.Clone(m.Entries)
	if returned {
		t.kept = slices.DeleteFunc(slices.Clone(m.InForce), func(e sched.DirectoryEntry) bool { return e.Endpoint.Draining })
		t.keepUntil = now.Add(keepTime)
	} else if !now.Before(t.keepUntil) {
		t.kept = nil
	}
	t.kept = slices.DeleteFunc(t.kept, t.isListed)
	commands := []Command{t.publish()}
	if returned && len(t.kept) > 0 {
		commands = append(commands, Wake{At: t.keepUntil})
	}
	return commands
}

// isListed reports whether the store has an entry for an endpoint, or one for
// another endpoint at its address.
func (t *Tracker) isListed(kept sched.DirectoryEntry) bool {
	return slices.ContainsFunc(t.entries, func(e sched.DirectoryEntry) bool {
		return e.Endpoint.ID == kept.Endpoint.ID || e.Group == kept.Group && e.Endpoint.Address == kept.Endpoint.Address
	})
}

// publish returns the directory. While endpoints are kept, its revision is one
// less than the store's. The directory without them, which has the store's
// revision, then replaces it here and at the peers, also if the store does not
// change again. The removal of an entry has raised the store's revision by one
// at least, so the lower one is not older than what was published before the
// removal.
func (t *Tracker) publish() Publish {
	p := Publish{Revision: t.revision, Entries: slices.Concat(t.entries, t.kept)}
	for _, e := range t.kept {
		p.Kept = append(p.Kept, e.Endpoint.ID)
	}
	if len(t.kept) > 0 && p.Revision > 0 {
		p.Revision--
	}
	return p
}
