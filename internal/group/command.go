package group

import (
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Cmd is one of the commands that Elector returns. The runner answers each
// Probe, Seal, Promote and Follow with exactly one message, within the call
// timeout.
type Cmd interface{ cmd() }

// Probe requests the status of an endpoint.
type Probe struct{ Endpoint ident.Endpoint }

// Seal requests that an endpoint refuse lower terms.
type Seal struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// Promote requests that an endpoint that sealed the term become its primary.
type Promote struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// Follow requests that an endpoint replicate from the primary of the term.
type Follow struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Address  string
}

// Announce broadcasts the primary of a term to the other instances.
type Announce struct {
	Term    ident.Term
	Primary ident.Endpoint
}

// Publish replaces the View that requests read.
type Publish struct{ View *View }

// EmitEvent records an event. Its cause is Cause, or, when that is zero, the
// latest event of kind After that the same Elector emitted.
type EmitEvent struct {
	Kind     event.Kind
	Endpoint ident.Endpoint
	Note     string
	After    event.Kind
	Cause    event.Ref
}

// The kinds of events that record the steps of a change of primary.
const (
	PrimaryLost     event.Kind = "PrimaryLost"
	HandOverBegun   event.Kind = "HandOverBegun"
	SealAsked       event.Kind = "SealAsked"
	SealRefused     event.Kind = "SealRefused"
	Sealed          event.Kind = "Sealed"
	Promoted        event.Kind = "Promoted"
	PromoteFailed   event.Kind = "PromoteFailed"
	Followed        event.Kind = "Followed"
	PrimaryChanged  event.Kind = "PrimaryChanged"
	SealedTermStuck event.Kind = "SealedTermStuck"
)

func (Probe) cmd()     {}
func (Seal) cmd()      {}
func (Promote) cmd()   {}
func (Follow) cmd()    {}
func (Announce) cmd()  {}
func (Publish) cmd()   {}
func (EmitEvent) cmd() {}
