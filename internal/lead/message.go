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
	// Leads is the server's own opinion of being the primary.
	Leads bool
	// Born tells starts of one server apart, in Unix milliseconds. A seal does
	// not outlast a start.
	Born int64
}

// Message is an input of Keeper.Update.
type Message interface{ message() }

// Directory replaces the list of endpoints.
type Directory struct{ Endpoints []Endpoint }

// Rules sets how many replicas hold an acknowledged commit.
type Rules struct{ SyncReplicas int }

// Role tells whether this instance holds the group's connections.
type Role struct{ Home bool }

// Led is a proof that an endpoint was the primary.
type Led struct {
	Endpoint ident.Endpoint
	Term     ident.Term
	// Wrote is set when the proof is a commit that replicas hold as well, at
	// Mark.
	Wrote bool
	Mark  ident.Mark
}

// News is what another instance knows: the latest commit that was acknowledged,
// and the newest term that an endpoint led. Ordered is set while a promotion
// that it ordered in that term may still be carried out.
type News struct {
	From    ident.Instance
	Acked   ident.Mark
	Term    ident.Term
	Ordered bool
}

// Trouble reports that an endpoint did not answer, or refused as a replica
// what only a primary runs.
type Trouble struct {
	Endpoint   ident.Endpoint
	NotLeading bool
}

// Report is the answer to Probe or Seal. Failed is set when there was none.
type Report struct {
	Endpoint ident.Endpoint
	// Asked is when the question was sent.
	Asked    time.Time
	Failed   bool
	Leads    bool
	Term     ident.Term
	Received ident.Mark
	// Sealed is the term that the endpoint was sealed with, zero for a Probe.
	Sealed ident.Term
}

// Reached is what another instance says of the primary. Term is the one that
// the endpoint holds.
type Reached struct {
	Endpoint ident.Endpoint
	Reached  bool
	Leads    bool
	Term     ident.Term
}

// Claimed is the answer to Claim. Epoch is zero when it failed.
type Claimed struct{ Epoch ident.Epoch }

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

func (Directory) message() {}
func (Rules) message()     {}
func (Role) message()      {}
func (Led) message()       {}
func (News) message()      {}
func (Trouble) message()   {}
func (Report) message()    {}
func (Reached) message()   {}
func (Claimed) message()   {}
func (Promoted) message()  {}
func (Tick) message()      {}

// Command is an output of Keeper.Update.
type Command interface{ command() }

// Probe asks an endpoint for a Report.
type Probe struct{ Endpoint ident.Endpoint }

// Seal stops a replica from receiving from primaries below Term, and asks for
// a Report. Nothing takes a seal back but the next promotion: another instance
// may count on it.
type Seal struct {
	Endpoint ident.Endpoint
	Term     ident.Term
}

// AskOthers asks the other instances whether they reach an endpoint.
type AskOthers struct{ Endpoint ident.Endpoint }

// Claim asks for the right to promote, with a new epoch.
type Claim struct{}

// Promote makes an endpoint the primary of the next term.
type Promote struct {
	Endpoint ident.Endpoint
	Epoch    ident.Epoch
}

// Announce tells who leads. Back is when a primary is expected, if there is
// none that can be used.
type Announce struct {
	Endpoint ident.Endpoint
	Usable   bool
	// NoWrites is set while no replica receives from the primary, so that no
	// commit could be acknowledged.
	NoWrites bool
	Back     time.Time
}

// Unfit tells the others whether this instance alone can't reach the primary.
type Unfit struct{ Unfit bool }

// Spread tells the other instances at once what Keeper.News returns.
type Spread struct{}

// Note is a change of belief for the log.
type Note struct {
	State    State
	Endpoint ident.Endpoint
	Term     ident.Term
	Why      string
}

func (Probe) command()     {}
func (Seal) command()      {}
func (AskOthers) command() {}
func (Claim) command()     {}
func (Promote) command()   {}
func (Announce) command()  {}
func (Unfit) command()     {}
func (Spread) command()    {}
func (Note) command()      {}
