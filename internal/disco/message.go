package disco

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Message is an input of Tracker.Update.
type Message interface{ message() }

// StoreLost reports that a call to the store about the entries failed.
type StoreLost struct{}

// EntriesRead reports the entries of the store at Revision. InForce is the
// directory in force before the read, which may come from a peer.
type EntriesRead struct {
	Revision ident.Revision
	Entries  []sched.DirectoryEntry
	InForce  []sched.DirectoryEntry
}

// Tick reports that the time of a Wake has come.
type Tick struct{}

func (StoreLost) message()   {}
func (EntriesRead) message() {}
func (Tick) message()        {}

// Command is an output of Tracker.Update.
type Command interface{ command() }

// Publish makes Entries the directory. Kept are the endpoints among them that
// have no entry in the store.
type Publish struct {
	Revision ident.Revision
	Entries  []sched.DirectoryEntry
	Kept     []ident.Endpoint
}

// Wake requests a Tick at a time.
type Wake struct{ At time.Time }

func (Publish) command() {}
func (Wake) command()    {}
