package engine

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Outcome states what is known about the effect of a statement.
type Outcome uint8

const (
	// Answered means that the answer contains the endpoint's own result, which
	// may be an error.
	Answered Outcome = iota + 1
	// NotRun means that neither the statement nor its transaction has or will
	// have any effect.
	NotRun
	// Unknown means that the statement may have taken effect.
	Unknown
)

// Outcomes and Reasons are the table sizes for arrays indexed by Outcome and
// Reason.
const (
	Outcomes = int(Unknown) + 1
	Reasons  = len(reasonNames)
)

// String returns the name of the outcome for logs.
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

// Reason states why a statement failed. Each caller protocol maps it to its own
// error codes.
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

// String returns the name of the reason for logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "Invalid"
}

// TxState is the transaction state of a session or an endpoint connection.
type TxState uint8

// The transaction states.
const (
	Idle TxState = iota
	InTx
	FailedTx
)

// Answer is the result of a statement.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Outcome Outcome
	// Reason is NoReason for a statement that succeeded.
	Reason Reason
	// Detail is the endpoint's error text or a short description by the proxy.
	Detail string
	// RetryIn is the recommended delay before a retry, zero if it is not known.
	RetryIn time.Duration
	Rows    []string
	// Signature is the endpoint's proof that it ran the statement.
	Signature string
	State     TxState
	// Position is the endpoint's log position at the time of the answer.
	Position ident.LogPosition
	Endpoint ident.Endpoint
	// Waited is the time in the wait queue, FloorAge the age of the floor proof
	// that the read used, and Tries the number of endpoints tried.
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
