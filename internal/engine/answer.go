package engine

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Outcome says what is known about a statement.
type Outcome uint8

const (
	// Answered means that the endpoint's own answer follows, good or bad.
	Answered Outcome = iota + 1
	// NotRun means that nothing of the statement, nor of the transaction that
	// it belongs to, is or will be kept.
	NotRun
	// Unknown means that the statement may have taken effect.
	Unknown
)

// Outcomes and Reasons bound the values of both types, for tables by them.
const (
	Outcomes = int(Unknown) + 1
	Reasons  = len(reasonNames)
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "Answered"
	case NotRun:
		return "NotRun"
	case Unknown:
		return "Unknown"
	}
	return "Invalid"
}

// Reason says why a statement failed, in the product's own terms. The codec of
// the caller's protocol gives each its code.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	Overloaded
	OverQuota
	NoPrimary
	NoEndpoint
	Lost
	TimedOut
	BadKey
	NoRoute
	UnknownStatement
	ReadOnly
	Aborted
	Malformed
	Lagging
	Failed
	NotPrimary
)

var reasonNames = [...]string{
	"None", "Overloaded", "OverQuota", "NoLeader", "NoEndpoint", "Lost", "TimedOut", "BadKey", "NoRoute",
	"UnknownStatement", "ReadOnly", "Aborted", "Malformed", "Lagging", "Failed", "WrongServer",
}

// String returns the reason for logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "Invalid"
}

// TxState is what a session or an endpoint connection is in.
type TxState uint8

// The transaction states.
const (
	Idle TxState = iota
	InTx
	FailedTx
)

// Answer is what became of a statement.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Outcome Outcome
	// Reason is NoReason for a statement that succeeded.
	Reason Reason
	// Detail is the endpoint's own error text, or a few words of the proxy's.
	Detail string
	// RetryIn is when to come back after a refusal; zero when it is not known.
	RetryIn time.Duration
	Rows    []string
	// Signature is the endpoint's proof that it ran the statement.
	Signature string
	State     TxState
	// Position is the endpoint's log position with the answer.
	Position ident.LogPosition
	Endpoint ident.Endpoint
	// Waited is how long the statement stood in the queue, FloorAge how old
	// the proof of the freshness floor was, and Tries how many endpoints were
	// asked.
	Waited   time.Duration
	FloorAge time.Duration
	Tries    int
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool { return a.Outcome == Answered && a.Reason == NoReason }

// Refuse returns an answer for a statement that did not run.
func Refuse(reason Reason, retryIn time.Duration, detail string) Answer {
	return Answer{Outcome: NotRun, Reason: reason, RetryIn: retryIn, Detail: detail}
}

// Indeterminate returns an answer for a statement that may have run.
func Indeterminate(reason Reason, detail string) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Detail: detail}
}
