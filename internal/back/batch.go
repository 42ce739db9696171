package back

import (
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// Prepared is a statement that a caller prepared. On endpoint connections it
// has a name derived from its text and types, so that callers share it.
type Prepared struct {
	stmt.Text
	Types []uint32 // parameter type OIDs, 0 where unspecified
	name  string
}

// Op is a kind of message of the extended protocol.
type Op uint8

// The operations of a batch.
const (
	OpParse          Op = iota + 1 // prepare Statement, answered with ParseComplete
	OpBind                         // Raw is a Bind message with Statement's name on endpoint connections
	OpDescribe                     // describe Statement
	OpDescribePortal               // Raw is a Describe message of a portal
	OpExecute                      // Raw is an Execute message
	OpClosePortal                  // Raw is a Close message of a portal
	OpCloseStatement               // close a statement, answered by the proxy itself
)

// Step is one operation with its encoded message.
type Step struct {
	Op        Op
	Statement *Prepared
	Raw       []byte
}

// Batch holds the messages that a caller sent up to a Sync, or one simple
// query. It can be replayed on another endpoint.
type Batch struct {
	Simple *stmt.Text // nil for the extended protocol
	Steps  []Step
}

// Executes reports whether the batch executes a statement.
func (b *Batch) Executes() bool {
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
