package back

import (
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// Prepared is a statement that a caller prepared. It is known on endpoint
// connections under a name made from its text, so that callers share it.
type Prepared struct {
	stmt.Text
	Types []uint32 // parameter type identifiers, 0 where left open
	name  string
}

// Op is one message of the extended protocol that a batch replays.
type Op uint8

// The operations of a batch.
const (
	OpParse    Op = iota + 1 // prepare Statement, answered with ParseComplete
	OpBind                   // Raw is a Bind message with Statement's endpoint name
	OpDescribe               // describe Statement
	OpPortal                 // Raw is a Describe message of a portal
	OpExecute                // Raw is an Execute message
	OpClose                  // Raw is a Close message of a portal
	OpForget                 // Close of a statement, answered by the proxy itself
)

// Step is one operation with its encoded message.
type Step struct {
	Op        Op
	Statement *Prepared
	Raw       []byte
}

// Batch is what a caller sent up to a Sync, or one simple query. It can be
// replayed on another endpoint.
type Batch struct {
	Simple *stmt.Text // nil for the extended protocol
	Steps  []Step
}

// Runs reports whether the batch executes anything.
func (b *Batch) Runs() bool {
	if b.Simple != nil {
		return true
	}
	for i := range b.Steps {
		if b.Steps[i].Op == OpExecute {
			return true
		}
	}
	return false
}
