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

// Ticket names one waiting call.
type Ticket uint64

// ConnID names one endpoint connection.
type ConnID uint64

// Endpoint is what the directory says of one server of the group.
type Endpoint struct {
	ID         ident.Endpoint
	Address    string
	DataCentre ident.DataCentre
	Slots      int
	Draining   bool
	// Leads is the server's own opinion of being the primary.
	Leads bool
	// Born tells starts of one server apart, in Unix milliseconds.
	Born int64
}

// Listing is one entry of the directory of all groups.
type Listing struct {
	Group    ident.Group
	Endpoint Endpoint
}

// Message is an input of Group.Update.
type Message interface{ message() }

// Ask wants a connection for a call. Avoid lists endpoints that have just
// failed to run it.
type Ask struct {
	Ticket Ticket
	Call   *engine.Call
	Avoid  []ident.Endpoint
	// Until is when the caller's time is over.
	Until time.Time
}

// Cancel takes an Ask back.
type Cancel struct{ Ticket Ticket }

// Opened reports the end of a Dial.
type Opened struct {
	Conn ConnID
	// Result is Connected, CapReached or Unreachable.
	Result DialResult
}

// DialResult is how a dial ended.
type DialResult uint8

// The dial results.
const (
	Connected DialResult = iota + 1
	CapReached
	Unreachable
)

// Freed reports that a granted connection is idle and clean again.
type Freed struct{ Conn ConnID }

// Broken reports that a connection is gone, or must not be used again.
type Broken struct{ Conn ConnID }

// Rested reports that a granted connection waits inside a transaction.
type Rested struct{ Conn ConnID }

// Resumed reports that a rested connection works again.
type Resumed struct{ Conn ConnID }

// Heard reports what an answer proved about an endpoint.
type Heard struct {
	Endpoint ident.Endpoint
	// Began is when the exchange began, Took how long it lasted.
	Began time.Time
	Took  time.Duration
	Mark  ident.Mark
	// Led is set when the endpoint proved to be the primary while it answered.
	Led bool
	// Wrote is set when it acknowledged a commit.
	Wrote bool
	// Ran is set when the answer took a slot, so that Took tells of its speed.
	Ran bool
}

// Trouble reports a call that an endpoint did not serve.
type Trouble struct {
	Endpoint ident.Endpoint
	Kind     TroubleKind
}

// TroubleKind says what was wrong.
type TroubleKind uint8

// The kinds of trouble.
const (
	Behind TroubleKind = iota + 1
	Full
	Silent
	// Slow is a statement that has had no answer for a while.
	Slow
	// NotLeading is a refusal that only a primary would not give.
	NotLeading
)

// Directory replaces the list of endpoints.
type Directory struct{ Endpoints []Endpoint }

// Limits replaces the limits of the group.
type Limits struct {
	MaxConns int
	// DrainTime is how long a draining endpoint may be used, zero for no limit.
	DrainTime time.Duration
}

// Leader names the primary. Usable is false while it can't serve; Back is then
// when the next one is expected, zero if that is not known.
type Leader struct {
	Endpoint ident.Endpoint
	Usable   bool
	// NoWrites is set while it could acknowledge no commit.
	NoWrites bool
	Back     time.Time
}

// Role tells whether this instance is the one that serves the group. Another
// opens few connections and closes them soon.
type Role struct{ Home bool }

// Yield closes an idle connection to an endpoint that has no room for others.
type Yield struct{ Endpoint ident.Endpoint }

// Tick lets time pass.
type Tick struct{}

func (Ask) message()       {}
func (Cancel) message()    {}
func (Opened) message()    {}
func (Freed) message()     {}
func (Broken) message()    {}
func (Rested) message()    {}
func (Resumed) message()   {}
func (Heard) message()     {}
func (Trouble) message()   {}
func (Directory) message() {}
func (Limits) message()    {}
func (Leader) message()    {}
func (Role) message()      {}
func (Yield) message()     {}
func (Tick) message()      {}

// Command is an output of Group.Update.
type Command interface{ command() }

// Grant lends a connection to a call.
type Grant struct {
	Ticket   Ticket
	Conn     ConnID
	Endpoint ident.Endpoint
	// After is the log position that the endpoint must hold; zero is none.
	After ident.Mark
	// Strict is set when the endpoint must prove its lead while it runs.
	Strict   bool
	Waited   time.Duration
	FloorAge time.Duration
}

// Deny refuses a call that has not run.
type Deny struct {
	Ticket  Ticket
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

// Drop closes an idle connection.
type Drop struct{ Conn ConnID }

func (Grant) command() {}
func (Deny) command()  {}
func (Dial) command()  {}
func (Drop) command()  {}
