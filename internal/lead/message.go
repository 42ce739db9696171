// Package lead decides which endpoint is the primary of a database group. On
// the instance that owns the group it also decides when another endpoint is
// promoted. It handles a primary that crashes, hangs, drains, or is cut off
// from this instance or from its replicas. It does no I/O.
//
// No acknowledged commit is lost. A commit is acknowledged once SyncReplicas
// replicas hold it, so among any replicas-SyncReplicas+1 sealed replicas at
// least one holds every acknowledged commit. A sealed replica confirms no later
// commits of the old primary.
package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Endpoint is a server of the group.
type Endpoint struct {
	ID       ident.Endpoint
	Draining bool
	// Evacuated is set while the operator has taken the endpoint's data centre
	// out of service.
	Evacuated bool
	// IsPrimary is set when the server reports itself as primary.
	IsPrimary bool
	// StartedAt is the start time of the server process in Unix milliseconds.
	// It changes with every restart. Seals don't survive a restart.
	StartedAt int64
}

// Message is an input of Elector.Update.
type Message interface{ message() }

// Directory replaces the list of endpoints.
type Directory struct{ Endpoints []Endpoint }

// ReplicationRules sets how many replicas hold a commit before it is
// acknowledged.
type ReplicationRules struct{ SyncReplicas int }

// Ownership reports whether this instance owns the group.
type Ownership struct{ Owner bool }

// PrimaryProof reports that an endpoint proved to be the primary.
type PrimaryProof struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	// Wrote is set when the proof is a commit that was acknowledged at
	// Position, so replicas hold it as well.
	Wrote    bool
	Position ident.LogPosition
}

// PeerProgress is what another instance knows of the group: the latest
// acknowledged commit and the newest term in which an endpoint was primary.
// PromotionPending is set while a promotion that the instance requested in that
// term may still take effect.
type PeerProgress struct {
	From             ident.Instance
	Acked            ident.LogPosition
	Term             ident.Term
	PromotionPending bool
}

// EndpointFailure reports a failure that shows in an endpoint's calls.
type EndpointFailure struct {
	Endpoint ident.Endpoint
	Kind     FailureKind
	// Unfit are the replicas that fail calls themselves. It is set with
	// FailsCalls.
	Unfit []ident.Endpoint
}

// FailureKind is the kind of an endpoint failure.
type FailureKind uint8

// The kinds of endpoint failure.
const (
	// Unanswered means that the endpoint did not answer.
	Unanswered FailureKind = iota + 1
	// NotPrimary means that it refused, as a replica, a request that only a
	// primary runs.
	NotPrimary
	// FailsCalls means that it answers, but fails most calls of several
	// accounts.
	FailsCalls
	// ReplicasLag means that it is overloaded with reads that no replica is
	// recent enough for.
	ReplicasLag
)

// ProbeResult is the answer to a Probe or Seal. Failed is set when there was no
// answer. Refused is set when the endpoint had no free slot or no connection left
// for it: the endpoint lives, and nothing else is known.
type ProbeResult struct {
	Endpoint ident.Endpoint
	// SentAt is when the request was sent.
	SentAt    time.Time
	Failed    bool
	Refused   bool
	IsPrimary bool
	Term      ident.Term
	Received  ident.LogPosition
	// Sealed is set for the answer to a Seal, and SealedTerm is then the term that the
	// endpoint reports to be sealed with, zero if it is not sealed.
	Sealed     bool
	SealedTerm ident.Term
}

// PeerOpinion reports whether another instance reaches the primary. Term is the
// endpoint's own term.
type PeerOpinion struct {
	Endpoint  ident.Endpoint
	Reached   bool
	IsPrimary bool
	Term      ident.Term
}

// EpochAcquired is the answer to AcquireEpoch. Epoch is zero if the request
// failed. SentAt is when the request was sent. Recorded are the servers in the
// group's record before the request, nil if it was never written by RecordServers, and
// Added those of the request.
type EpochAcquired struct {
	Epoch    ident.Epoch
	Recorded []ident.Endpoint
	Added    []ident.Endpoint
	SentAt   time.Time
}

// ServersRecorded is the answer to RecordServers. It is left out if the request
// failed.
type ServersRecorded struct{ Servers []ident.Endpoint }

// EpochOutdated reports that an epoch is not the newest one any more.
type EpochOutdated struct{ Epoch ident.Epoch }

// RecordLost reports that the group's record may have been lost or become older: the
// platform's store has come back from a copy.
type RecordLost struct{}

// Promoted is the answer to Promote.
type Promoted struct {
	Endpoint ident.Endpoint
	Result   PromoteResult
}

// PromoteResult is the result of a promotion request.
type PromoteResult uint8

const (
	// Accepted means that the endpoint will become the primary.
	Accepted PromoteResult = iota + 1
	// Refused means that the epoch is outdated or the endpoint is not running.
	Refused
	// NoAnswer means that the promotion may or may not take effect.
	NoAnswer
)

// Tick advances the clock of the model.
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
func (ServersRecorded) message()  {}
func (EpochOutdated) message()    {}
func (RecordLost) message()       {}
func (Promoted) message()         {}
func (Tick) message()             {}

// Command is an output of Elector.Update.
type Command interface{ command() }

// Probe requests a ProbeResult from an endpoint.
type Probe struct{ Endpoint ident.Endpoint }

// Seal stops a replica from receiving from primaries below Term and requests a
// ProbeResult. Only the next promotion removes a seal, because another instance
// may depend on it.
type Seal struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// AskPeers asks the other instances whether they reach an endpoint.
type AskPeers struct{ Endpoint ident.Endpoint }

// AcquireEpoch requests a new epoch, which is required for a promotion. Servers
// are added to the group's record.
type AcquireEpoch struct{ Servers []ident.Endpoint }

// RecordServers replaces the servers in the group's record, provided that Epoch is
// the newest one.
type RecordServers struct {
	Epoch   ident.Epoch
	Servers []ident.Endpoint
}

// Promote makes an endpoint the primary of the next term.
type Promote struct {
	Endpoint ident.Endpoint
	Epoch    ident.Epoch
}

// PrimaryChanged announces the primary. ExpectedAt is when a usable primary is
// expected if there is none now.
type PrimaryChanged struct {
	Endpoint ident.Endpoint
	Usable   bool
	// NoWrites is set while the primary can't acknowledge commits, because no
	// replica receives from it or because a promotion is pending.
	NoWrites   bool
	ExpectedAt time.Time
}

// PrimaryUnreachable reports to the other instances whether this instance alone
// can't reach the primary.
type PrimaryUnreachable struct{ Unreachable bool }

// BroadcastProgress sends the result of Elector.Progress to the other instances
// immediately.
type BroadcastProgress struct{}

// StateChanged is a log record of a state transition.
type StateChanged struct {
	State    State
	Endpoint ident.Endpoint
	Term     ident.Term
	Reason   string
}

// PromotionDecided is a log record of the evidence for a promotion: how many
// replicas are sealed, how many are needed, and which servers count and are
// recorded.
type PromotionDecided struct {
	Endpoint ident.Endpoint
	Sealed   int
	Needed   int
	Servers  []ident.Endpoint
	Recorded []ident.Endpoint
}

// SwitchPauseChanged reports the minimum time to the next change of a primary that
// serves badly.
type SwitchPauseChanged struct{ Pause time.Duration }

func (Probe) command()              {}
func (Seal) command()               {}
func (AskPeers) command()           {}
func (AcquireEpoch) command()       {}
func (RecordServers) command()      {}
func (Promote) command()            {}
func (PrimaryChanged) command()     {}
func (PrimaryUnreachable) command() {}
func (BroadcastProgress) command()  {}
func (StateChanged) command()       {}
func (PromotionDecided) command()   {}
func (SwitchPauseChanged) command() {}
