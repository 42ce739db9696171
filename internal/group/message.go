package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Msg is one of the messages that Elector processes.
type Msg interface{ msg() }

// Tick advances the time.
type Tick struct{}

// DocumentChanged carries the group's definition in the document in force.
type DocumentChanged struct{ Group envdoc.Group }

// LeavingChanged carries the endpoints that are listed as leaving.
type LeavingChanged struct{ Endpoints []ident.Endpoint }

// RankChanged carries the instance's rank, from 0, among Total instances.
type RankChanged struct{ Rank, Total int }

// ProbeAnswered is the answer to a Probe that began at Began.
type ProbeAnswered struct {
	Endpoint ident.Endpoint
	Status   Status
	Began    time.Time
}

// ProbeFailed reports that a Probe was not answered in time. Refused is true
// when the connection was refused, as by a machine whose server process has
// ended.
type ProbeFailed struct {
	Endpoint ident.Endpoint
	Began    time.Time
	Refused  bool
}

// StatusObserved is a status that arrived with the answer to a request.
type StatusObserved struct {
	Endpoint ident.Endpoint
	Status   Status
}

// RequestFailed reports that a request lost its connection to an endpoint, or
// that the endpoint refused it because of its term.
type RequestFailed struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// SealDone is the result of a Seal. Err is nil when the server sealed the term.
type SealDone struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Status   Status
	Err      error
}

// PromoteDone is the result of a Promote.
type PromoteDone struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Status   Status
	Err      error
}

// FollowDone is the result of a Follow.
type FollowDone struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Err      error
}

// PeerStateReceived carries the state of the group that a peer sent.
type PeerStateReceived struct{ State peer.GroupState }

func (Tick) msg()              {}
func (DocumentChanged) msg()   {}
func (LeavingChanged) msg()    {}
func (RankChanged) msg()       {}
func (ProbeAnswered) msg()     {}
func (ProbeFailed) msg()       {}
func (StatusObserved) msg()    {}
func (RequestFailed) msg()     {}
func (SealDone) msg()          {}
func (PromoteDone) msg()       {}
func (FollowDone) msg()        {}
func (PeerStateReceived) msg() {}
