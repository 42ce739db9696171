package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Msg is one of the inputs of Elector below.
type Msg interface{ msg() }

// Tick lets time pass.
type Tick struct{}

// DocumentChanged gives the group as the document in force describes it.
type DocumentChanged struct{ Group envdoc.Group }

// LeavingChanged gives the endpoints that are listed as leaving.
type LeavingChanged struct{ Endpoints []ident.Endpoint }

// RankChanged gives the instance's place, from 0, among Of instances.
type RankChanged struct{ Place, Of int }

// StatusSeen is the answer to a Probe that began at Began.
type StatusSeen struct {
	Endpoint ident.Endpoint
	Status   Status
	Began    time.Time
}

// ProbeFailed tells that a Probe was not answered in time. Refused is true
// when the connection was refused, as by a machine whose server process ended.
type ProbeFailed struct {
	Endpoint ident.Endpoint
	Began    time.Time
	Refused  bool
}

// Observed is a status that came along with an answer to other work.
type Observed struct {
	Endpoint ident.Endpoint
	Status   Status
}

// WorkFailed tells that a request lost an endpoint, or was refused for its
// term.
type WorkFailed struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// SealDone is the answer to a Seal. Err is nil when the server sealed the term.
type SealDone struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Status   Status
	Err      error
}

// PromoteDone is the answer to a Promote.
type PromoteDone struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Status   Status
	Err      error
}

// FollowDone is the answer to a Follow.
type FollowDone struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	Err      error
}

// PeerStateReceived is the state of the group as a peer knows it.
type PeerStateReceived struct{ State peer.GroupState }

func (Tick) msg()              {}
func (DocumentChanged) msg()   {}
func (LeavingChanged) msg()    {}
func (RankChanged) msg()       {}
func (StatusSeen) msg()        {}
func (ProbeFailed) msg()       {}
func (Observed) msg()          {}
func (WorkFailed) msg()        {}
func (SealDone) msg()          {}
func (PromoteDone) msg()       {}
func (FollowDone) msg()        {}
func (PeerStateReceived) msg() {}
