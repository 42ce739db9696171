// Package peer exchanges messages between the instances of an environment, with
// one WebSocket connection per pair and CBOR encoding. Messages are typed.
// Unknown types are skipped, sizes are limited, and messages carry durations
// instead of clock times.
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

// Hello is the first message of both sides of a connection.
type Hello struct {
	Instance    ident.Instance
	Environment ident.Environment
	Protocol    int // highest protocol version the sender supports
	Start       ident.Incarnation
	Stamp       event.Stamp
	// Unordered is set if the dialer may have the greater name, because it uses
	// a seed address or the recipient need not know of the link.
	Unordered bool `cbor:"Introduces"`
}

// Head announces the sender's document version and how old its evidence is that
// no later version was in force. The age counts from the start of the last
// successful read of the store, by the sender or by the peer that it got the
// evidence from. Heads are sent as heartbeats. Each has its own sequence number
// and echoes the latest sequence received from the recipient, so that the
// recipient knows that its own head was answered.
type Head struct {
	Version     ident.Version
	Change      ident.Change
	Digest      string // SHA-256 of the text, hexadecimal
	EvidenceAge time.Duration
	Known       bool // false until the sender has evidence
	// Announced is the highest version that an instance may be about to write,
	// and AnnouncedAge is the time since it was last announced.
	Announced    ident.Version
	AnnouncedAge time.Duration
	// Settled is true if the sender knows every announcement that may still
	// lead to a write. It is false shortly after a start.
	Settled bool
	// Sequence counts the heads that the sender sent to the recipient. Echo is
	// the highest sequence that the sender received from the recipient.
	Sequence uint64
	Echo     uint64
	// Start identifies the sender's process start. EchoStart identifies the
	// process start of the recipient that Echo refers to.
	Start     uint64
	EchoStart uint64
	Stamp     event.Stamp
	// Cause is the sender's event record of applying Version.
	Cause event.Ref
}

// DocumentRequest requests the text of a version: the whole text if Length is zero,
// otherwise a piece of it, or of its delta against the text of Base.
type DocumentRequest struct {
	Version ident.Version
	Base    ident.Version `cbor:",omitempty"`
	Offset  int           `cbor:",omitempty"`
	Length  int           `cbor:",omitempty"`
}

// Document carries the text of an accepted document, or a piece of the compressed
// text if Size is not zero. The piece begins at Offset of Size bytes. If Base is not
// zero, the compressed bytes are the delta against the text of that version. Digest is
// the SHA-256 digest of the whole text.
type Document struct {
	Version ident.Version
	Text    []byte
	Base    ident.Version `cbor:",omitempty"`
	Digest  []byte        `cbor:",omitempty"`
	Size    int           `cbor:",omitempty"`
	Offset  int           `cbor:",omitempty"`
}

// GroupState announces the primary of a group.
type GroupState struct {
	Group   ident.Group
	Term    ident.Term
	Primary ident.Endpoint
	Stamp   event.Stamp
	Cause   event.Ref
}

// TokenRequest requests tokens from the holder of a part. Nonce distinguishes
// repeats. Settled, if not zero, is the nonce of an earlier request whose
// tokens the sender no longer spends, and Unspent is how many of them were
// left. A Count of zero only settles the earlier request.
type TokenRequest struct {
	Account ident.Account
	Count   ident.Tokens
	Nonce   uint64
	Settled uint64
	Unspent ident.Tokens
}

// TokenLoan is the reply to a TokenRequest. Count tokens may be spent until
// EndsIn after the requester sent the request.
type TokenLoan struct {
	Account ident.Account
	Part    ident.Part
	Count   ident.Tokens
	EndsIn  time.Duration
	Nonce   uint64
}

// LeaseRequest asks the witness of the sender's quota leases not to take them
// over. Nonce distinguishes repeats.
type LeaseRequest struct {
	Nonce  uint64
	Leases []LeaseRef
}

// LeaseRef identifies a lease as its holder knows it.
type LeaseRef struct {
	Account ident.Account
	Part    ident.Part
	Epoch   ident.Epoch
}

// LeasePromise is the reply to a LeaseRequest: the sender has not taken over
// any of the leases and will not do so for Length. The requester counts Length
// from when it sent the request.
type LeasePromise struct {
	Nonce  uint64
	Length time.Duration
}

// DirectoryRequest requests the directory. Revision is the sender's revision,
// which is older than the recipient's.
type DirectoryRequest struct{ Revision ident.Revision }

// Directory carries the whole directory.
type Directory struct {
	Revision ident.Revision
	Listings []sched.DirectoryEntry
}

// Call asks the recipient to run a call at an endpoint of a group that the
// recipient owns. Number identifies the call among the sender's calls.
type Call struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Call   engine.Call
}

// CallWithdrawn reports that the caller of a Call has left. The recipient still
// answers the call. It need not run it if it has not begun.
type CallWithdrawn struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Answer is the reply to a Call. Tx is the transaction that holds a connection
// at the sender, or zero if there is none.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Answer engine.Answer
	Tx     engine.TxID
}

// Heartbeat carries the sender's state. It is sent regularly and after each
// change.
type Heartbeat struct {
	// Version is the version of the configuration in force at the sender.
	Version ident.Version
	// Directory is the revision of the sender's directory.
	Directory ident.Revision
	// Serving is set once the sender is ready to own groups, Leaving while it
	// shuts down.
	Serving bool
	Leaving bool
	// UnreachableGroups lists the groups whose primary the sender cannot reach
	// although other instances can.
	UnreachableGroups []ident.Group `cbor:"Unfit"`
	// Store is how the sender follows the platform's store, a
	// roster.StoreState.
	Store uint8
	// Roster is the revision of the sender's list of members.
	Roster ident.Revision
	// Evacuations is the revision of the sender's set of evacuated data centres,
	// zero if it knows none.
	Evacuations ident.Revision `cbor:",omitempty"`
	// Returned are the data centres that returned from an evacuation a short time
	// ago. They are part of the first heartbeat on a link, because an instance that
	// has just started can't know them.
	Returned []DataCentreReturn `cbor:",omitempty"`
	// Members are instances that are missing from the list of members: the
	// sender in the first heartbeat on a link, and others that the sender has
	// learned of from their heartbeats only.
	Members []Member
	// Groups is the progress of the database groups that the sender knows: all
	// groups in the first heartbeat on a link, afterwards what the recipient
	// may not know.
	Groups []GroupProgress
}

// GroupProgress is what an instance knows of a group's progress: the latest
// commit that was acknowledged and the newest term in which an endpoint was
// primary. PromotionPending is set while a promotion that the sender requested
// in that term may still take effect.
type GroupProgress struct {
	_                struct{} `cbor:",toarray"`
	Group            ident.Group
	Acked            ident.LogPosition
	Term             ident.Term
	PromotionPending bool
}

// Member describes an instance to its peers.
type Member struct {
	_          struct{} `cbor:",toarray"`
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Address    string
	Start      int64
	Capacity   float64
}

// MemberRequest requests the list of members. Revision is the sender's revision,
// which is older than the recipient's.
type MemberRequest struct{ Revision ident.Revision }

// MemberList carries the whole list of members.
type MemberList struct {
	Revision ident.Revision
	Members  []Member
}

// ReachRequest asks whether the recipient can reach an endpoint.
type ReachRequest struct {
	Group    ident.Group
	Endpoint ident.Endpoint
}

// ReachReply is the reply to a ReachRequest. IsPrimary and Term are what the
// endpoint reports about itself.
type ReachReply struct {
	Group     ident.Group
	Endpoint  ident.Endpoint
	Reached   bool
	IsPrimary bool `cbor:"Leads"`
	Term      ident.Term
}

// QuotaRequest requests operations from the quota owner of an account. Count is
// the number of operations that the sender expects to need soon.
type QuotaRequest struct {
	_       struct{} `cbor:",toarray"`
	Account ident.Account
	Count   ident.Tokens
}

// QuotaGrant is the reply to a QuotaRequest. Count operations may be spent
// until Length after the request was sent. If Count is zero, RetryIn is when the
// sender of the request finds an operation. In a grant, RetryIn above zero means
// that the account is short, so that nothing should be requested ahead of need.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Account ident.Account
	Count   ident.Tokens
	Length  time.Duration
	RetryIn time.Duration
}

// Leaving announces that the sender is shutting down and accepts no more
// requests.
type Leaving struct{}

// Last is the last message that a side sends before it closes a link. The other
// side sends what it has queued and its own Last.
type Last struct{}

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
func (Last) message()             {}
func (Call) message()             {}
func (Answer) message()           {}
func (CallWithdrawn) message()    {}
func (Heartbeat) message()        {}
func (MemberRequest) message()    {}
func (MemberList) message()       {}
func (ReachRequest) message()     {}
func (ReachReply) message()       {}
func (QuotaRequest) message()     {}
func (QuotaGrant) message()       {}

// Process returns the process that sent the message.
func (h Hello) Process() ident.Process {
	return ident.Process{Instance: h.Instance, Incarnation: h.Start}
}

// Handler receives messages. It is called from one goroutine per peer and must
// not block.
type Handler interface {
	Receive(from ident.Process, message Message, now time.Time)
}

// Sender sends messages without blocking. A message to a peer that is
// disconnected or too slow is dropped and counted.
type Sender interface {
	Send(to ident.Instance, message Message)
	Broadcast(message Message)
	// Connected returns the peers with an open connection.
	Connected() []ident.Instance
}
