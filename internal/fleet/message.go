package fleet

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Msg is an input of DocumentTracker or Members: one of the types below.
type Msg interface{ msg() }

// Tick advances time and carries the peers with an open connection.
type Tick struct{ Connected []ident.Instance }

// HeadRead is the result of a ReadHead. StartedAt is from before the read.
// store.ErrNotFound counts as a successful read of version 0.
type HeadRead struct {
	StartedAt time.Time
	Head      store.Head
	Err       error
}

// HeadReceived is a head sent by a peer.
type HeadReceived struct {
	From ident.Instance
	Head peer.Head
}

// TextReceived is the result of a ReadText or a RequestText. From is empty for
// the object store.
type TextReceived struct {
	From    ident.Instance
	Version ident.Version
	Text    []byte
	Err     error
}

// TextRequested is a peer's request for a text.
type TextRequested struct {
	From    ident.Instance
	Version ident.Version
}

// KnownChanged carries the instances that exist, including this one and dead
// ones that have not been removed yet.
type KnownChanged struct{ Instances []ident.Instance }

// Announce reports that an operator wants to write Version. It is answered by
// Prepared once enough instances know of the version.
type Announce struct {
	ID      uint64
	Version ident.Version
}

// Poll requests a read of the head at once.
type Poll struct{}

func (Tick) msg()          {}
func (HeadRead) msg()      {}
func (HeadReceived) msg()  {}
func (TextReceived) msg()  {}
func (TextRequested) msg() {}
func (KnownChanged) msg()  {}
func (Announce) msg()      {}
func (Poll) msg()          {}

// Cmd is an output of DocumentTracker or Members: one of the types below.
type Cmd interface{ cmd() }

// ReadHead reads the environment's head from the store.
type ReadHead struct{}

// ReadText reads a text from the object store.
type ReadText struct{ Version ident.Version }

// RequestText requests a text from a peer.
type RequestText struct {
	To      ident.Instance
	Version ident.Version
}

// SendText sends a text to a peer.
type SendText struct {
	To      ident.Instance
	Version ident.Version
	Text    []byte
}

// SendHead sends a head to a peer.
type SendHead struct {
	To   ident.Instance
	Head peer.Head
}

// Apply puts a document in force. Versions only rise.
type Apply struct {
	Version  ident.Version
	Change   ident.Change
	Document *envdoc.Document
}

// Prepared answers an Announce: the document may be written now, within the
// bound Announce.
type Prepared struct{ ID uint64 }

// Record adds a record to the event log. Its cause is Cause if that is set,
// otherwise the latest record of kind CauseKind, if there is one.
type Record struct {
	Kind      event.Kind
	Cause     event.Ref
	CauseKind event.Kind
	Peer      ident.Instance
	Note      string
}

func (ReadHead) cmd()    {}
func (ReadText) cmd()    {}
func (RequestText) cmd() {}
func (SendText) cmd()    {}
func (SendHead) cmd()    {}
func (Apply) cmd()       {}
func (Prepared) cmd()    {}
func (Record) cmd()      {}

// The kinds of events that this package records.
const (
	MemberSeen       event.Kind = "MemberSeen"
	MemberLost       event.Kind = "MemberLost"
	DocumentSeen     event.Kind = "DocumentSeen"
	DocumentApplied  event.Kind = "DocumentApplied"
	DocumentRefused  event.Kind = "DocumentRefused"
	ChangeAnnounced  event.Kind = "ChangeAnnounced"
	EvidenceLost     event.Kind = "EvidenceLost"
	EvidenceRegained event.Kind = "EvidenceRegained"
	ProcessPaused    event.Kind = "ProcessPaused"
)
