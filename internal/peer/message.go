// Package peer carries messages between the instances of an environment, over
// one WebSocket with CBOR for each pair. The messages are typed; unknown types
// are skipped, sizes are bounded, and durations are sent in place of clock
// times.
package peer

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Message is one of the types below.
type Message interface{ message() }

// Hello opens a connection in both directions.
type Hello struct {
	Instance    ident.Instance
	Environment ident.Environment
	Protocol    int // highest protocol version the sender speaks
	Start       uint64
	Stamp       event.Stamp
	// Introduces is set when the dialer knows no instance yet, and may therefore
	// be the one with the greater name.
	Introduces bool
}

// Head tells the sender's document version and how old its evidence is that
// no later one was in force: the time since it, or the peer it heard from,
// began a successful read of the store. Heads go out as heartbeats, each with
// its own sequence number and the latest one heard from the recipient, so that
// the recipient knows its question to have been answered.
type Head struct {
	Version     ident.Version
	Change      ident.Change
	Digest      string // SHA-256 of the text, hexadecimal
	EvidenceAge time.Duration
	Known       bool // false before the sender has any evidence
	// Announced is the highest version that an instance may be about to
	// write, and AnnouncedAge is the time since that was last announced.
	Announced    ident.Version
	AnnouncedAge time.Duration
	// Settled is true when the sender remembers every announcement that may
	// still lead to a write, which it does not shortly after a start.
	Settled bool
	// Sequence counts the sender's heads to the recipient. Echo is the
	// highest sequence that the sender received from the recipient.
	Sequence uint64
	Echo     uint64
	// Start is the sender's start and EchoStart the recipient's start that
	// Echo refers to.
	Start     uint64
	EchoStart uint64
	Stamp     event.Stamp
	// Cause is the sender's record of having put Version in force.
	Cause event.Ref
}

// DocumentRequest asks for the text of a version.
type DocumentRequest struct{ Version ident.Version }

// Document carries the text of an accepted document.
type Document struct {
	Version ident.Version
	Text    []byte
}

// GroupState tells who is the primary of a group.
type GroupState struct {
	Group   ident.Group
	Term    ident.Term
	Primary ident.Endpoint
	Stamp   event.Stamp
	Cause   event.Ref
}

// TokenRequest asks the holder of a part for tokens. Nonce tells repeats apart.
// Settled, when not zero, is the nonce of an earlier ask whose tokens the
// sender spends no more; Unspent of them were left. A Count of zero only
// settles.
type TokenRequest struct {
	Account ident.Account
	Count   ident.Tokens
	Nonce   uint64
	Settled uint64
	Unspent ident.Tokens
}

// TokenLoan answers a TokenRequest. Count tokens may be spent until EndsIn
// after the asker sent the question.
type TokenLoan struct {
	Account ident.Account
	Part    ident.Part
	Count   ident.Tokens
	EndsIn  time.Duration
	Nonce   uint64
}

// LeaseRequest asks the witness of the sender's quota leases to leave them to
// it. Nonce tells repeats apart.
type LeaseRequest struct {
	Nonce  uint64
	Leases []LeaseRef
}

// LeaseRef names one lease as its holder knows it.
type LeaseRef struct {
	Account ident.Account
	Part    ident.Part
	Epoch   ident.Epoch
}

// LeasePromise answers a LeaseRequest: the sender has taken none of the leases
// and takes none for Length from now on. The asker counts it from its question.
type LeasePromise struct {
	Nonce  uint64
	Length time.Duration
}

// DirectoryRequest asks for the directory, as the recipient has it in a later
// revision than the sender.
type DirectoryRequest struct{ Revision ident.Revision }

// Directory carries the whole directory.
type Directory struct {
	Revision ident.Revision
	Listings []sched.Listing
}

// Call asks the recipient to run a call at an endpoint of its group. Number
// tells the sender's calls apart.
type Call struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Call   engine.Call
}

// Answer answers a Call. Tx names the transaction that holds a connection at
// the sender, zero if none does.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Answer engine.Answer
	Tx     engine.TxID
}

// Heartbeat tells what the sender knows and can do. It is sent regularly and
// upon each change.
type Heartbeat struct {
	// Version is the configuration in force at the sender.
	Version ident.Version
	// Directory is the revision of the directory that the sender has.
	Directory ident.Revision
	// Serving is set once the sender can serve groups, Leaving while it stops.
	Serving bool
	Leaving bool
	// UnreachableGroups lists the groups whose primary the sender alone can't
	// reach.
	UnreachableGroups []ident.Group `cbor:"Unfit"`
	// Members are instances that the sender knows to exist: all of them in the
	// first pulse on a link, after that those it has just heard of.
	Members []Member
	// Groups is what the sender knows of the primaries: of all groups in the
	// first pulse on a link, after that what the recipient may not know.
	Groups []GroupProgress
}

// GroupProgress is what an instance knows of a group: the latest commit that
// was acknowledged, and the newest term that an endpoint led. PromotionPending
// is set while a promotion that the sender ordered may still be carried out.
type GroupProgress struct {
	_                struct{} `cbor:",toarray"`
	Group            ident.Group
	Acked            ident.LogPosition
	Term             ident.Term
	PromotionPending bool
}

// Member is one instance as its peers know it.
type Member struct {
	_          struct{} `cbor:",toarray"`
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Address    string
	Start      int64
	Capacity   float64
}

// ReachRequest asks whether the recipient reaches an endpoint.
type ReachRequest struct {
	Group    ident.Group
	Endpoint ident.Endpoint
}

// ReachReply answers a ReachRequest. IsPrimary and Term are what the endpoint
// says of itself.
type ReachReply struct {
	Group     ident.Group
	Endpoint  ident.Endpoint
	Reached   bool
	IsPrimary bool `cbor:"Leads"`
	Term      ident.Term
}

// QuotaRequest asks the instance that keeps an account's quota for operations.
// Count is how many the sender expects to need soon.
type QuotaRequest struct {
	_       struct{} `cbor:",toarray"`
	Account ident.Account
	Count   ident.Tokens
}

// QuotaGrant answers a QuotaRequest. The operations may be spent until Length
// after the question was sent. RetryIn is when more is expected.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Account ident.Account
	Count   ident.Tokens
	Length  time.Duration
	RetryIn time.Duration
}

// Leaving tells that the sender stops and takes no more asks.
type Leaving struct{}

func (Hello) message()            {}
func (Head) message()             {}
func (DocumentRequest) message()  {}
func (DirectoryRequest) message() {}
func (Directory) message()        {}
func (Document) message()         {}
func (GroupState) message()       {}
func (TokenRequest) message()     {}
func (TokenLoan) message()        {}
func (LeaseRequest) message()     {}
func (LeasePromise) message()     {}
func (Leaving) message()          {}
func (Call) message()             {}
func (Answer) message()           {}
func (Heartbeat) message()        {}
func (ReachRequest) message()     {}
func (ReachReply) message()       {}
func (QuotaRequest) message()     {}
func (QuotaGrant) message()       {}

// Handler takes what arrives. It is called from one goroutine for each peer
// and must not block.
type Handler interface {
	Receive(from ident.Instance, message Message, now time.Time)
}

// Sender sends without blocking; a message to a peer that is gone or slow is
// dropped and counted.
type Sender interface {
	Send(to ident.Instance, message Message)
	Broadcast(message Message)
	// Connected returns the peers with an open connection.
	Connected() []ident.Instance
}
