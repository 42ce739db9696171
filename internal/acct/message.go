package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Msg is an input of Quota: one of the types below.
type Msg interface{ quotaMsg() }

// Tick advances time. It is sent every TickInterval.
type Tick struct{}

// LeasesRead carries all lease rows, as the store returned them.
type LeasesRead struct {
	StartedAt time.Time // when the read was sent
	Rows      []store.Lease
}

// ReadFailed reports that a ReadLeases failed.
type ReadFailed struct{}

// SwapResult is the result of a conditional write.
type SwapResult uint8

// The results of a conditional write.
const (
	SwapUnknown  SwapResult = iota // no reply; it may still take effect later
	SwapOK                         // it took effect
	SwapConflict                   // the row was different
)

// SwapDone reports the result of a SwapLease.
type SwapDone struct {
	New    store.Lease
	Result SwapResult
}

// LiveChanged carries the live instances. It may include this one.
type LiveChanged struct{ Live []ident.Instance }

// AccountsChanged carries the client accounts of the document in force.
type AccountsChanged struct {
	Version  ident.Version
	Accounts []envdoc.Account
}

// TokenRequestReceived is a peer's request for tokens.
type TokenRequestReceived struct {
	From    ident.Instance
	Request peer.TokenRequest
}

// TokenLoanReceived is a peer's reply to a request for tokens.
type TokenLoanReceived struct {
	From ident.Instance
	Loan peer.TokenLoan
}

// LeaseRequestReceived is a peer's request that this instance, as the witness,
// not take over its leases.
type LeaseRequestReceived struct {
	From    ident.Instance
	Request peer.LeaseRequest
}

// LeasePromiseReceived is a witness's promise not to take over the leases of
// this instance.
type LeasePromiseReceived struct {
	From    ident.Instance
	Promise peer.LeasePromise
}

// TokensShort reports that a request found no token. The Limiter records for
// which account.
type TokensShort struct{}

// StopRequested makes the instance release every part.
type StopRequested struct{}

func (Tick) quotaMsg()                 {}
func (LeasesRead) quotaMsg()           {}
func (ReadFailed) quotaMsg()           {}
func (SwapDone) quotaMsg()             {}
func (LiveChanged) quotaMsg()          {}
func (AccountsChanged) quotaMsg()      {}
func (TokenRequestReceived) quotaMsg() {}
func (TokenLoanReceived) quotaMsg()    {}
func (LeaseRequestReceived) quotaMsg() {}
func (LeasePromiseReceived) quotaMsg() {}
func (TokensShort) quotaMsg()          {}
func (StopRequested) quotaMsg()        {}

// Cmd is an output of Quota: one of the types below.
type Cmd interface{ quotaCmd() }

// SwapLease replaces a lease row on condition that it is still Old. Quota
// expects a SwapDone.
type SwapLease struct{ Old, New store.Lease }

// ReadLeases reads all rows. Quota expects a LeasesRead or a ReadFailed.
type ReadLeases struct{}

// SendPeer sends a message to a peer. The message may be lost.
type SendPeer struct {
	To      ident.Instance
	Message peer.Message
}

// Record is an entry for the event log.
type Record struct {
	Kind    event.Kind
	Account ident.Account
	Peer    ident.Instance
	Note    string
}

func (SwapLease) quotaCmd()  {}
func (ReadLeases) quotaCmd() {}
func (SendPeer) quotaCmd()   {}
func (Record) quotaCmd()     {}

// The kinds of events that Quota records.
const (
	LeaseTaken    event.Kind = "LeaseTaken"    // a part is held and confirmed
	LeaseReleased event.Kind = "LeaseReleased" // a part was released
	LeaseLost     event.Kind = "LeaseLost"     // another instance holds the part
	LeaseLapsed   event.Kind = "LeaseLapsed"   // a part was not renewed in time
	QuotaRecut    event.Kind = "QuotaRecut"    // a document changed rate or burst
	QuotaUsedUp   event.Kind = "QuotaUsedUp"   // requests are refused; recorded at most once per refusalRecordInterval
)
