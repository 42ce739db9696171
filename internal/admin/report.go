// Package admin is the administration server of an instance: HTTP with JSON
// for operators and their commands, and the client that the commands use. It
// decides nothing; what it shows comes from the ports in this file. No answer
// ever contains a key.
package admin

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Source tells about the running instance. Its methods do not block.
type Source interface {
	Version() Version
	Report(now time.Time) Report
	// Ready returns nil when the instance serves callers, or why it does not.
	Ready(now time.Time) error
}

// Control carries out what operators ask of the running instance.
type Control interface {
	// Drain asks for a graceful stop and returns at once. A repeat changes
	// nothing.
	Drain(reason string)
	// Prepare announces that version may be written now. It returns an error
	// when too few instances could be told of it.
	Prepare(ctx context.Context, version ident.Version) error
}

// Version is the configuration that an instance has in force. Version 0 says
// that there is none yet.
type Version struct {
	Instance    ident.Instance
	Environment ident.Environment
	Version     ident.Version
	Change      ident.Change
}

// Report is the state of an instance as operators see it.
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
	Busy        int // lent to a transaction
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

// Events is a page of the instance's time line.
type Events struct {
	Instance ident.Instance
	// Dropped counts the records that the ring has lost since the start.
	Dropped uint64
	Records []event.Record
}

// Invariants tells which assertions of the program did not hold.
type Invariants struct {
	Broken  uint64
	Reports []string
}

// Drain is the body of a request for a graceful stop.
type Drain struct{ Reason string }

// Prepare is the body of an announcement: the version that an operator is about
// to write.
type Prepare struct{ Version ident.Version }

// Code tells the errors of the server apart.
type Code string

// The codes of errors.
const (
	BadRequest   Code = "BadRequest"
	Unauthorised Code = "Unauthorised"
	NotFound     Code = "NotFound"
	NotReady     Code = "NotReady"
	OutOfTouch   Code = "OutOfTouch"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }
