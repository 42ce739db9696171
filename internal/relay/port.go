// Package relay runs calls: at an endpoint, when this instance holds the
// group's connections, or at the instance that does. It carries out what the
// deciding packages say and holds no policy of its own.
package relay

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ControlStatement is a control statement that an endpoint understands.
type ControlStatement uint8

// The orders.
const (
	NoControl ControlStatement = iota
	// Reset drops the connection's variables and prepared statements.
	Reset
	// Status asks for an EndpointReport.
	Status
	// Seal stops a replica from receiving from primaries below Term.
	Seal
)

// Request is one exchange with an endpoint.
type Request struct {
	Statement engine.Statement
	// PreparedName is the endpoint's name of the prepared statement to run or
	// prepare.
	PreparedName string
	// After is the position that the endpoint must hold, zero for none.
	After ident.LogPosition
	// Control, when set, is sent in place of a statement.
	Control ControlStatement
	Term    ident.Term
}

// EndpointReport is what an endpoint says of itself.
type EndpointReport struct {
	IsPrimary bool
	Term      ident.Term
	Received  ident.LogPosition
	// SealedTerm is the highest term that the endpoint was sealed with.
	SealedTerm ident.Term
	Lag        time.Duration
	Busy       int
	// Conns counts the connections of all callers.
	Conns int
}

// Conn is an open connection to an endpoint. Only one exchange runs at a time.
type Conn interface {
	// Do sends a request and returns the answer. An error means that the
	// connection can't be used any more and that the answer is lost.
	Do(r Request, timeout time.Duration) (engine.Answer, error)
	Close() error
}

// DialError tells why a connection was not opened.
type DialError struct {
	Result sched.DialResult
	Cause  error
}

// Error implements error.
func (e *DialError) Error() string { return "open endpoint connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Dialer opens endpoint connections. Its errors are of type DialError.
type Dialer interface {
	Dial(ctx context.Context, group ident.Group, e sched.Endpoint, account ident.Account) (Conn, error)
}

// Promoter is the platform's service that changes primaries.
type Promoter interface {
	// AcquireEpoch makes this instance the one that may promote in a group, and
	// returns an epoch above all earlier ones.
	AcquireEpoch(ctx context.Context, g ident.Group) (ident.Epoch, error)
	// Promote names the next primary. The result tells what is known of the
	// call; an error explains a result other than Accepted.
	Promote(ctx context.Context, g ident.Group, e ident.Endpoint, epoch ident.Epoch) (lead.PromoteResult, error)
}

// ReportDecoder decodes what an endpoint says of itself.
type ReportDecoder func(row string) (EndpointReport, error)
