package engine

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Phase is the place of a call in its transaction.
type Phase uint8

const (
	// Single is a statement outside any transaction.
	Single Phase = iota + 1
	// First opens a transaction at an endpoint and runs its first statement.
	First
	// Next runs a further statement of an open transaction.
	Next
	// End rolls the transaction back.
	End
)

// TxID names an open transaction within the instance that holds its
// connection. Zero is none.
type TxID uint64

// Call is one statement with all that is needed to run it at an endpoint of
// its group.
type Call struct {
	_       struct{} `cbor:",toarray"`
	Group   ident.Group
	Account ident.Account
	// Session tells sessions apart in logs.
	Session ident.Session
	Phase   Phase
	Tx      TxID
	// Begin is the transaction's own opening statement, with First.
	Begin     Statement
	Statement Statement
	// Variables are the session's variables, which the endpoint must show.
	Variables []Variable
	// PrimaryOnly is set when only the primary may run the call.
	PrimaryOnly bool
	// MaxLag bounds how old the data of a read may be, when PrimaryOnly is not
	// set.
	MaxLag time.Duration
	// LastWrite is the position of the session's own last commit.
	LastWrite ident.LogPosition
	// Timeout is how long the caller's statement may still take, and Target the
	// latency objective of its operation.
	Timeout  time.Duration
	Target   time.Duration
	Priority int
}

// Repeatable reports whether the call may be sent again when its answer is
// lost: it changes nothing and belongs to no open transaction.
func (c Call) Repeatable() bool {
	return (c.Phase == Single || c.Phase == First) && !c.Statement.Writes()
}

// MayCommit reports whether a lost answer of the call leaves its effect open.
// A transaction whose connection is closed before its commit was sent is
// rolled back, so only a commit or a write of its own can be in doubt.
func (c Call) MayCommit() bool {
	return c.Statement.Op == Commit || c.Phase == Single && c.Statement.Writes()
}

// LostAnswer is what the caller of c is told when its answer is lost.
func (c Call) LostAnswer(detail string) Answer {
	if c.MayCommit() {
		return Indeterminate(Lost, detail)
	}
	return Refuse(Aborted, 0, detail)
}
