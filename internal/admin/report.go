// Package admin is the administration server of an instance, HTTP with JSON for
// operators and their commands, and the client that the commands use. The
// server takes its data from the interfaces in this file and contains no logic
// of its own. No response ever contains a key.
package admin

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Source provides the state of the running instance. Its methods do not block.
type Source interface {
	Version() Version
	Report(now time.Time) Report
	// Ready returns nil if the instance serves callers, or else the reason why
	// it does not.
	Ready(now time.Time) error
}

// Control carries out operators' requests on the running instance.
type Control interface {
	// Drain requests a graceful stop and returns immediately. Further calls
	// have no effect.
	Drain(reason string)
	// Prepare announces to the other instances that version may be written now.
	// It returns an error if it reached too few of them.
	Prepare(ctx context.Context, version ident.Version) error
}

// Version identifies the configuration in force at an instance. Version 0 means
// that there is none yet.
type Version struct {
	Instance    ident.Instance
	Environment ident.Environment
	Version     ident.Version
	Change      ident.Change
}

// Report is the state of an instance as shown to operators.
type Report struct {
	Version
	DataCentre ident.DataCentre
	Draining   bool
	Sessions   int
	Groups     []GroupReport
	Accounts   []AccountReport
	Peers      []PeerReport
}

// GroupReport is one database group as the instance sees it.
type GroupReport struct {
	Group     ident.Group
	Term      ident.Term
	Primary   ident.Endpoint
	Endpoints []EndpointReport
}

// EndpointReport is one endpoint as the instance sees it.
type EndpointReport struct {
	Endpoint    ident.Endpoint
	Role        group.Role
	Position    ident.Position
	Leaving     bool
	Connections int // open from this instance
	Busy        int // in use by a transaction
}

// AccountReport is the instance's share of one client account's quota.
type AccountReport struct {
	Account ident.Account
	Parts   []ident.Part
	Tokens  ident.Tokens
	Queued  int
}

// PeerReport is one peer of the instance.
type PeerReport struct {
	Instance  ident.Instance
	Connected bool
	Version   ident.Version
}

// Events is a page of an instance's event records.
type Events struct {
	Instance ident.Instance
	// Dropped is the number of records that the ring has dropped since the
	// start.
	Dropped uint64
	Records []event.Record
}

// Invariants lists the invariant violations of the process.
type Invariants struct {
	Broken  uint64
	Reports []string
}

// Drain is the body of a request for a graceful stop.
type Drain struct{ Reason string }

// Prepare is the body of an announcement. Version is the version that an
// operator is about to write.
type Prepare struct{ Version ident.Version }

// Code identifies an error of the server.
type Code string

// The error codes.
const (
	BadRequest      Code = "BadRequest"
	Unauthorised    Code = "Unauthorised"
	NotFound        Code = "NotFound"
	NotReady        Code = "NotReady"
	TooFewConnected Code = "OutOfTouch"
)

// Error is the body of every response that reports a failure.
type Error struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }
