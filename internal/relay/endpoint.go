// Package relay runs calls at an endpoint if this instance owns the group, and
// forwards them to the owner otherwise. It executes the decisions of the model
// packages and contains no policy of its own.
package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ControlStatement is a control statement that an endpoint understands.
type ControlStatement uint8

// The control statements.
const (
	NoControl ControlStatement = iota
	// Reset drops the connection's variables and prepared statements.
	Reset
	// Status requests an EndpointReport.
	Status
	// Seal stops a replica from receiving from primaries below Term.
	Seal
)

// Request is one request to an endpoint.
type Request struct {
	Statement engine.Statement
	// PreparedName is the endpoint's name of the prepared statement to prepare
	// or execute.
	PreparedName string
	// After is the log position that the endpoint must hold, zero for none.
	After ident.LogPosition
	// Control is sent instead of Statement unless it is NoControl.
	Control ControlStatement
	Term    ident.Term
}

// EndpointReport is the status that an endpoint reports.
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
	// Do sends a request and returns the answer. An error means that the answer
	// is lost and that the connection can't be used any more.
	Do(r Request, timeout time.Duration) (engine.Answer, error)
	// DoAll sends the requests together and returns their answers in order. The
	// endpoint handles each of them, whatever the others' answers.
	DoAll(requests []Request, timeout time.Duration) ([]engine.Answer, error)
	Close() error
}

// DialError reports why a connection was not opened.
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

// ErrEpochOutdated reports that another instance has acquired a newer epoch.
var ErrEpochOutdated = errors.New("the epoch is outdated")

// Promoter is the platform's service for promotions.
type Promoter interface {
	// AcquireEpoch returns an epoch above all earlier ones. Only the holder of
	// the highest epoch may promote in the group. It adds servers to the group's
	// record and returns those that were in it before, nil if RecordServers has never
	// written it.
	AcquireEpoch(ctx context.Context, g ident.Group, servers []ident.Endpoint) (epoch ident.Epoch, recorded []ident.Endpoint, err error)
	// RecordServers replaces the servers in the group's record, provided that the
	// epoch is the highest one. It returns ErrEpochOutdated otherwise.
	RecordServers(ctx context.Context, g ident.Group, epoch ident.Epoch, servers []ident.Endpoint) error
	// Promote makes an endpoint the next primary. The result states what is
	// known of the promotion; an error explains a result other than Accepted.
	Promote(ctx context.Context, g ident.Group, e ident.Endpoint, epoch ident.Epoch) (lead.PromoteResult, error)
}

// ReportDecoder decodes the status row of an endpoint.
type ReportDecoder func(row string) (EndpointReport, error)
