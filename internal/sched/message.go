package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// WaiterID identifies one waiting call.
type WaiterID uint64

// ConnID identifies one endpoint connection.
type ConnID uint64

// Endpoint is the directory entry of one server of the group.
type Endpoint struct {
	ID         ident.Endpoint
	Address    string
	DataCentre ident.DataCentre
	Slots      int
	Draining   bool
	// Evacuated is set while the operator has taken the endpoint's data centre
	// out of service. It is not part of the directory.
	Evacuated bool `cbor:"-"`
	// ColdLeft is for how much longer the server said that it is slow after its
	// start, zero if it is not.
	ColdLeft time.Duration `cbor:",omitempty"`
	// IsPrimary is set when the server reports itself as primary.
	IsPrimary bool `cbor:"Leads"`
	// StartedAt is the start time of the server process in Unix milliseconds.
	// It changes with every restart.
	StartedAt int64 `cbor:"Born"`
}

// DirectoryEntry is one entry of the directory of all groups.
type DirectoryEntry struct {
	Group    ident.Group
	Endpoint Endpoint
}

// Message is an input of Scheduler.Update.
type Message interface{ message() }

// Acquire requests a connection for a call. Avoid lists endpoints that have
// already failed to run the call.
type Acquire struct {
	Waiter WaiterID
	Call   *engine.Call
	Avoid  []ident.Endpoint
	// Deadline is when the caller stops waiting for the call.
	Deadline time.Time
}

// CancelAcquire withdraws an Acquire.
type CancelAcquire struct{ Waiter WaiterID }

// DialDone reports the result of a Dial.
type DialDone struct {
	Conn ConnID
	// Result is Connected, ConnLimitReached or Unreachable.
	Result DialResult
}

// DialResult is the result of a dial.
type DialResult uint8

// The dial results.
const (
	Connected DialResult = iota + 1
	ConnLimitReached
	Unreachable
)

// Released reports that a granted connection is idle again, with no transaction
// open.
type Released struct{ Conn ConnID }

// ConnLost reports that a connection is closed or must not be used again.
type ConnLost struct{ Conn ConnID }

// IdleInTx reports that a granted connection is idle inside an open
// transaction.
type IdleInTx struct{ Conn ConnID }

// Resumed reports that a connection that was idle in transaction runs a
// statement again.
type Resumed struct{ Conn ConnID }

// EndpointObserved reports what an answer proved about an endpoint.
type EndpointObserved struct {
	Endpoint ident.Endpoint
	// Began is when the exchange began and Took is its duration.
	Began    time.Time
	Took     time.Duration
	Position ident.LogPosition
	// WasPrimary is set when the answer proved that the endpoint was the
	// primary while it ran the request.
	WasPrimary bool
	// Wrote is set when the endpoint acknowledged a commit.
	Wrote bool
	// UsedSlot is set when the request occupied a slot, so that Took measures
	// the endpoint's latency.
	UsedSlot bool
	// Kind is the kind of the call, if UsedSlot is set.
	Kind CallKind
	// RoundTrips is the number of round trips in Took. It is zero if Took also
	// includes something other than round trips and the endpoint's own work.
	RoundTrips int
	// RoundTrip is the duration of an exchange that waited for no slot, zero if
	// none was measured.
	RoundTrip time.Duration
}

// EndpointFailure reports a call that an endpoint failed to serve.
type EndpointFailure struct {
	Endpoint ident.Endpoint
	Kind     FailureKind
}

// FailureKind is the kind of an endpoint failure.
type FailureKind uint8

// The kinds of endpoint failure.
const (
	Behind FailureKind = iota + 1
	Saturated
	Unresponsive
	// Slow means that a statement is overdue and still running.
	Slow
	// NotPrimary means that the endpoint refused a request that any primary
	// would run.
	NotPrimary
)

// Directory replaces the list of endpoints.
type Directory struct{ Endpoints []Endpoint }

// Limits replaces the limits of the group.
type Limits struct {
	MaxConns int
	// DrainTime is how long a draining endpoint may be used, zero for no limit.
	DrainTime time.Duration
	// EvacuationTime is how long an evacuated endpoint may be used, zero for no
	// limit.
	EvacuationTime time.Duration
	// ColdRate is how many calls a second an endpoint may receive from all
	// instances while it is cold, and ColdTime how long an endpoint that returns
	// from an evacuation may be cold. Zero means no limit.
	ColdRate float64
	ColdTime time.Duration
}

// Weights carries the configured rates of the accounts, in operations a second.
// Accounts share the connections in proportion to their rates. Without rates, all
// accounts have equal shares.
type Weights struct{ Rates map[ident.Account]float64 }

// Primary names the group's primary. Usable is false while the primary can't
// serve. ExpectedAt is then when the next primary is expected, or zero if that
// is not known.
type Primary struct {
	Endpoint ident.Endpoint
	Usable   bool
	// NoWrites is set while the primary can't acknowledge commits.
	NoWrites   bool
	ExpectedAt time.Time
}

// Ownership reports whether this instance owns the group. Other instances open
// few connections and close them early.
type Ownership struct{ Owner bool }

// CloseIdleConn closes an idle connection to an endpoint that has reached its
// connection limit.
type CloseIdleConn struct{ Endpoint ident.Endpoint }

// Tick advances the clock of the model.
type Tick struct{}

func (Acquire) message()          {}
func (CancelAcquire) message()    {}
func (DialDone) message()         {}
func (Released) message()         {}
func (ConnLost) message()         {}
func (IdleInTx) message()         {}
func (Resumed) message()          {}
func (EndpointObserved) message() {}
func (EndpointFailure) message()  {}
func (Directory) message()        {}
func (Limits) message()           {}
func (Weights) message()          {}
func (Primary) message()          {}
func (Ownership) message()        {}
func (CloseIdleConn) message()    {}
func (Tick) message()             {}

// Command is an output of Scheduler.Update.
type Command interface{ command() }

// Grant assigns a connection to a call.
type Grant struct {
	Waiter   WaiterID
	Conn     ConnID
	Endpoint ident.Endpoint
	// After is the log position that the endpoint must hold, or zero for none.
	After ident.LogPosition
	// VerifyPrimary is set when the endpoint must prove that it is the primary
	// while it runs the call.
	VerifyPrimary bool
	Waited        time.Duration
	FloorAge      time.Duration
}

// Reject rejects a call that has not run.
type Reject struct {
	Waiter  WaiterID
	Reason  engine.Reason
	Cause   RejectCause
	RetryIn time.Duration
	Detail  string
	Waited  time.Duration
}

// Dial opens a connection for an account.
type Dial struct {
	Conn     ConnID
	Endpoint Endpoint
	Account  ident.Account
}

// CloseConn closes an idle connection.
type CloseConn struct{ Conn ConnID }

// AbortConn closes a connection in use, because nothing more may be sent to its
// endpoint. The caller is told that its call or transaction is aborted. A commit
// in flight is waited for first. A connection that was idle in transaction is
// forgotten; for one that runs a statement, ConnLost or Released follows.
type AbortConn struct{ Conn ConnID }

func (Grant) command()     {}
func (Reject) command()    {}
func (Dial) command()      {}
func (CloseConn) command() {}
func (AbortConn) command() {}
