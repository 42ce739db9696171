package engine

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Phase is the position of a call in its transaction.
type Phase uint8

const (
	// Single is a statement outside a transaction.
	Single Phase = iota + 1
	// First opens a transaction at an endpoint and runs its first statement.
	First
	// Next runs a further statement of an open transaction.
	Next
	// End rolls the transaction back.
	End
)

// TxID identifies an open transaction on the instance that holds its
// connection. Zero means none.
type TxID uint64

// Call is a statement together with everything that is needed to run it at an
// endpoint of its group.
type Call struct {
	_       struct{} `cbor:",toarray"`
	Group   ident.Group
	Account ident.Account
	// Session identifies the session in logs.
	Session ident.Session
	Phase   Phase
	Tx      TxID
	// Begin is the statement that opened the transaction. It is set with First.
	Begin     Statement
	Statement Statement
	// Variables are the session variables that have to be set at the endpoint.
	Variables []Variable
	// PrimaryOnly is set when the call may run only on the primary.
	PrimaryOnly bool
	// MaxLag limits the age of the data that a read returns, unless PrimaryOnly
	// is set.
	MaxLag time.Duration
	// LastWrite is the log position of the session's latest commit.
	LastWrite ident.LogPosition
	// Timeout is the remaining time of the caller's statement. Target is the
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

// MayCommit reports whether the effect of the call is unknown when its answer
// is lost. A transaction is rolled back if its connection closes before the
// commit was sent, so only a commit or a write outside a transaction can be
// indeterminate.
func (c Call) MayCommit() bool {
	return c.Statement.Op == Commit || c.Phase == Single && c.Statement.Writes()
}

// LostAnswer returns the answer for the caller when the endpoint's answer to
// the call is lost.
func (c Call) LostAnswer(detail string) Answer {
	a := Refuse(Aborted, 0, detail)
	if c.MayCommit() {
		a = Indeterminate(Lost, detail)
	}
	if c.Phase != Single && c.Statement.Op != Commit {
		a.State = FailedTx
	}
	return a
}
