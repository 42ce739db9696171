// Package lead decides who is the primary of one database group and, at the
// instance that holds the group's connections, when another endpoint takes
// over. It answers a primary that crashes, hangs, is cut off from this instance
// alone or from its replicas, or is to be replaced. It does no I/O.
//
// No acknowledged commit is lost: a commit is acknowledged once SyncReplicas
// replicas hold it, so among any replicas-SyncReplicas+1 sealed ones at least
// one holds every commit that was acknowledged, and a sealed replica lets no
// later one be acknowledged.
package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Endpoint is a server of the group.
type Endpoint struct {
	ID       ident.Endpoint
	Draining bool
	// IsPrimary is the server's own opinion of being the primary.
	IsPrimary bool
	// StartedAt tells starts of one server apart, in Unix milliseconds. A seal
	// does not outlast a start.
	StartedAt int64
}

// Message is an input of Elector.Update.
type Message interface{ message() }

// Directory replaces the list of endpoints.
type Directory struct{ Endpoints []Endpoint }

// ReplicationRules sets how many replicas hold an acknowledged commit.
type ReplicationRules struct{ SyncReplicas int }

// Ownership tells whether this instance holds the group's connections.
type Ownership struct{ Owner bool }

// PrimaryProof is a proof that an endpoint was the primary.
type PrimaryProof struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	// Wrote is set when the proof is a commit that replicas hold as well, at
	// Position.
	Wrote    bool
	Position ident.LogPosition
}

// PeerProgress is what another instance knows: the latest commit that was
// acknowledged, and the newest term that an endpoint led. PromotionPending is
// set while a promotion that it ordered in that term may still be carried out.
type PeerProgress struct {
	From             ident.Instance
	Acked            ident.LogPosition
	Term             ident.Term
	PromotionPending bool
}

// EndpointFailure reports that an endpoint did not answer, or refused as a
// replica what only a primary runs.
type EndpointFailure struct {
	Endpoint   ident.Endpoint
	NotPrimary bool
}

// ProbeResult is the answer to Probe or Seal. Failed is set when there was
// none.
type ProbeResult struct {
	Endpoint ident.Endpoint
	// Asked is when the question was sent.
	Asked     time.Time
	Failed    bool
	IsPrimary bool
	Term      ident.Term
	Received  ident.LogPosition
	// SealedTerm is the term that the endpoint was sealed with, zero for a
	// Probe.
	SealedTerm ident.Term
}

// PeerOpinion is what another instance says of the primary. Term is the one
// that the endpoint holds.
type PeerOpinion struct {
	Endpoint  ident.Endpoint
	Reached   bool
	IsPrimary bool
	Term      ident.Term
}

// EpochAcquired is the answer to AcquireEpoch. Epoch is zero when it failed.
type EpochAcquired struct{ Epoch ident.Epoch }

// Promoted is the answer to Promote.
type Promoted struct {
	Endpoint ident.Endpoint
	Result   PromoteResult
}

// PromoteResult is how a promotion call ended.
type PromoteResult uint8

const (
	// Accepted means that the endpoint will lead.
	Accepted PromoteResult = iota + 1
	// Refused means that the epoch is outdated or the endpoint not running.
	Refused
	// NoAnswer leaves open whether the call is carried out.
	NoAnswer
)

// Tick lets time pass.
type Tick struct{}

func (Directory) message()        {}
func (ReplicationRules) message() {}
func (Ownership) message()        {}
func (PrimaryProof) message()     {}
func (PeerProgress) message()     {}
func (EndpointFailure) message()  {}
func (ProbeResult) message()      {}
func (PeerOpinion) message()      {}
func (EpochAcquired) message()    {}
func (Promoted) message()         {}
func (Tick) message()             {}

// Command is an output of Elector.Update.
type Command interface{ command() }

// Probe asks an endpoint for a ProbeResult.
type Probe struct{ Endpoint ident.Endpoint }

// Seal stops a replica from receiving from primaries below Term, and asks for
// a ProbeResult. Nothing takes a seal back but the next promotion: another
// instance may count on it.
type Seal struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// AskPeers asks the other instances whether they reach an endpoint.
type AskPeers struct{ Endpoint ident.Endpoint }

// AcquireEpoch asks for the right to promote, with a new epoch.
type AcquireEpoch struct{}

// Promote makes an endpoint the primary of the next term.
type Promote struct {
	Endpoint ident.Endpoint
	Epoch    ident.Epoch
}

// PrimaryChanged tells who leads. ExpectedAt is when a primary is expected, if
// there is none that can be used.
type PrimaryChanged struct {
	Endpoint ident.Endpoint
	Usable   bool
	// NoWrites is set while no replica receives from the primary, so that no
	// commit could be acknowledged.
	NoWrites   bool
	ExpectedAt time.Time
}

// PrimaryUnreachable tells the others whether this instance alone can't reach
// the primary.
type PrimaryUnreachable struct{ Unreachable bool }

// BroadcastProgress tells the other instances at once what Elector.Progress
// returns.
type BroadcastProgress struct{}

// StateChanged is a change of belief for the log.
type StateChanged struct {
	State    State
	Endpoint ident.Endpoint
	Term     ident.Term
	Reason   string
}

func (Probe) command()              {}
func (Seal) command()               {}
func (AskPeers) command()           {}
func (AcquireEpoch) command()       {}
func (Promote) command()            {}
func (PrimaryChanged) command()     {}
func (PrimaryUnreachable) command() {}
func (BroadcastProgress) command()  {}
func (StateChanged) command()       {}
