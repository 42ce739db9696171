// Package sched decides, for one database group, which waiting call runs on
// which endpoint connection, and which is refused. It answers three loads: more
// work than the endpoints' slots, one account that floods, and endpoints that
// lag, hang or lose the lead. It does no I/O; its owner carries the commands
// out and reports back.
package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// WaiterID names one waiting call.
type WaiterID uint64

// ConnID names one endpoint connection.
type ConnID uint64

// Endpoint is what the directory says of one server of the group.
type Endpoint struct {
	ID         ident.Endpoint
	Address    string
	DataCentre ident.DataCentre
	Slots      int
	Draining   bool
	// IsPrimary is the server's own opinion of being the primary.
	IsPrimary bool `cbor:"Leads"`
	// StartedAt tells starts of one server apart, in Unix milliseconds.
	StartedAt int64 `cbor:"Born"`
}

// Listing is one entry of the directory of all groups.
type Listing struct {
	Group    ident.Group
	Endpoint Endpoint
}

// Message is an input of Scheduler.Update.
type Message interface{ message() }

// Acquire wants a connection for a call. Avoid lists endpoints that have just
// failed to run it.
type Acquire struct {
	Waiter WaiterID
	Call   *engine.Call
	Avoid  []ident.Endpoint
	// Deadline is when the caller's time is over.
	Deadline time.Time
}

// CancelAcquire takes an Acquire back.
type CancelAcquire struct{ Waiter WaiterID }

// DialDone reports the end of a Dial.
type DialDone struct {
	Conn ConnID
	// Result is Connected, ConnLimitReached or Unreachable.
	Result DialResult
}

// DialResult is how a dial ended.
type DialResult uint8

// The dial results.
const (
	Connected DialResult = iota + 1
	ConnLimitReached
	Unreachable
)

// Released reports that a granted connection is idle and clean again.
type Released struct{ Conn ConnID }

// ConnLost reports that a connection is gone, or must not be used again.
type ConnLost struct{ Conn ConnID }

// IdleInTx reports that a granted connection waits inside a transaction.
type IdleInTx struct{ Conn ConnID }

// Resumed reports that a rested connection works again.
type Resumed struct{ Conn ConnID }

// EndpointObserved reports what an answer proved about an endpoint.
type EndpointObserved struct {
	Endpoint ident.Endpoint
	// Began is when the exchange began, Took how long it lasted.
	Began    time.Time
	Took     time.Duration
	Position ident.LogPosition
	// WasPrimary is set when the endpoint proved to be the primary while it
	// answered.
	WasPrimary bool
	// Wrote is set when it acknowledged a commit.
	Wrote bool
	// UsedSlot is set when the answer took a slot, so that Took tells of its
	// speed.
	UsedSlot bool
}

// EndpointFailure reports a call that an endpoint did not serve.
type EndpointFailure struct {
	Endpoint ident.Endpoint
	Kind     FailureKind
}

// FailureKind says what was wrong.
type FailureKind uint8

// The kinds of trouble.
const (
	Behind FailureKind = iota + 1
	Saturated
	Unresponsive
	// Slow is a statement that has had no answer for a while.
	Slow
	// NotPrimary is a refusal that only a primary would not give.
	NotPrimary
)

// Directory replaces the list of endpoints.
type Directory struct{ Endpoints []Endpoint }

// Limits replaces the limits of the group.
type Limits struct {
	MaxConns int
	// DrainTime is how long a draining endpoint may be used, zero for no limit.
	DrainTime time.Duration
}

// Primary names the primary. Usable is false while it can't serve; ExpectedAt
// is then when the next one is expected, zero if that is not known.
type Primary struct {
	Endpoint ident.Endpoint
	Usable   bool
	// NoWrites is set while it could acknowledge no commit.
	NoWrites   bool
	ExpectedAt time.Time
}

// Ownership tells whether this instance is the one that serves the group.
// Another opens few connections and closes them soon.
type Ownership struct{ Owner bool }

// CloseIdleConn closes an idle connection to an endpoint that has no room for
// others.
type CloseIdleConn struct{ Endpoint ident.Endpoint }

// Tick lets time pass.
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
func (Primary) message()          {}
func (Ownership) message()        {}
func (CloseIdleConn) message()    {}
func (Tick) message()             {}

// Command is an output of Scheduler.Update.
type Command interface{ command() }

// Grant lends a connection to a call.
type Grant struct {
	Waiter   WaiterID
	Conn     ConnID
	Endpoint ident.Endpoint
	// After is the log position that the endpoint must hold; zero is none.
	After ident.LogPosition
	// VerifyPrimary is set when the endpoint must prove its lead while it runs.
	VerifyPrimary bool
	Waited        time.Duration
	FloorAge      time.Duration
}

// Reject refuses a call that has not run.
type Reject struct {
	Waiter  WaiterID
	Reason  engine.Reason
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

func (Grant) command()     {}
func (Reject) command()    {}
func (Dial) command()      {}
func (CloseConn) command() {}
