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

// Tick lets time pass. It comes every TickEvery.
type Tick struct{}

// LeasesRead brings every lease row as the store returned it.
type LeasesRead struct {
	Began time.Time // when the read was sent
	Rows  []store.Lease
}

// ReadFailed tells that the store gave no rows.
type ReadFailed struct{}

// SwapResult tells how a conditional write ended.
type SwapResult uint8

// The results of a conditional write.
const (
	SwapUnknown  SwapResult = iota // it may take effect, even later
	SwapOK                         // it took effect
	SwapConflict                   // the row differed
)

// SwapDone tells how a SwapLease ended.
type SwapDone struct {
	Fresh  store.Lease
	Result SwapResult
}

// LiveChanged names the live instances, with or without this one.
type LiveChanged struct{ Live []ident.Instance }

// AccountsChanged brings the client accounts of the document in force.
type AccountsChanged struct {
	Version  ident.Version
	Accounts []envdoc.Account
}

// AskReceived is a peer's request for tokens.
type AskReceived struct {
	From ident.Instance
	Ask  peer.TokenRequest
}

// GiveReceived is a peer's answer to a request for tokens.
type GiveReceived struct {
	From ident.Instance
	Give peer.TokenLoan
}

// WitnessAsked is a peer's request to leave it its leases.
type WitnessAsked struct {
	From ident.Instance
	Ask  peer.LeaseRequest
}

// WitnessAnswered is a peer's promise to leave this instance its leases.
type WitnessAnswered struct {
	From ident.Instance
	Hold peer.LeasePromise
}

// TokensShort tells that a request found no token. Its account is noted in the
// Limiter.
type TokensShort struct{}

// StopRequested makes the instance give up every part.
type StopRequested struct{}

func (Tick) quotaMsg()            {}
func (LeasesRead) quotaMsg()      {}
func (ReadFailed) quotaMsg()      {}
func (SwapDone) quotaMsg()        {}
func (LiveChanged) quotaMsg()     {}
func (AccountsChanged) quotaMsg() {}
func (AskReceived) quotaMsg()     {}
func (GiveReceived) quotaMsg()    {}
func (WitnessAsked) quotaMsg()    {}
func (WitnessAnswered) quotaMsg() {}
func (TokensShort) quotaMsg()     {}
func (StopRequested) quotaMsg()   {}

// Cmd is an output of Quota: one of the types below.
type Cmd interface{ quotaCmd() }

// SwapLease replaces a lease row, to be answered by SwapDone.
type SwapLease struct{ Old, Fresh store.Lease }

// ReadLeases reads all rows, to be answered by LeasesRead or ReadFailed.
type ReadLeases struct{}

// SendPeer sends a message to a peer. It may be lost.
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
	LeaseReleased event.Kind = "LeaseReleased" // a part was given up
	LeaseLost     event.Kind = "LeaseLost"     // another instance holds the part
	LeaseLapsed   event.Kind = "LeaseLapsed"   // a part was not renewed in time
	QuotaRecut    event.Kind = "QuotaRecut"    // a document changed rate or burst
	QuotaUsedUp   event.Kind = "QuotaUsedUp"   // requests are refused, at most once in noteEvery
)
