package fleet

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Msg is an input of DocumentTracker or of Members: one of the types below.
type Msg interface{ msg() }

// Tick tells that time has passed, and which peers have an open connection.
type Tick struct{ Connected []ident.Instance }

// HeadRead is the result of a ReadHead. Began is from before the read.
// ErrNotFound of the store is a successful read of version 0.
type HeadRead struct {
	Began time.Time
	Head  store.Head
	Err   error
}

// HeadHeard is a head that a peer sent.
type HeadHeard struct {
	From ident.Instance
	Head peer.Head
}

// TextGiven is the result of a ReadText or an AskText. From is empty for the
// object store.
type TextGiven struct {
	From    ident.Instance
	Version ident.Version
	Text    []byte
	Err     error
}

// TextAsked is the question of a peer for a text.
type TextAsked struct {
	From    ident.Instance
	Version ident.Version
}

// Known tells which instances exist, dead ones included, until they are
// removed. The instance itself counts.
type Known struct{ Instances []ident.Instance }

// Announce tells that an operator wants to write Version. Prepared answers it
// once enough instances know.
type Announce struct {
	ID      uint64
	Version ident.Version
}

// Poll asks for a read of the head at once.
type Poll struct{}

func (Tick) msg()      {}
func (HeadRead) msg()  {}
func (HeadHeard) msg() {}
func (TextGiven) msg() {}
func (TextAsked) msg() {}
func (Known) msg()     {}
func (Announce) msg()  {}
func (Poll) msg()      {}

// Cmd is an output of DocumentTracker or of Members: one of the types below.
type Cmd interface{ cmd() }

// ReadHead asks for a read of the environment's head in the store.
type ReadHead struct{}

// ReadText asks for a text from the object store.
type ReadText struct{ Version ident.Version }

// AskText asks a peer for a text.
type AskText struct {
	To      ident.Instance
	Version ident.Version
}

// GiveText sends a text to a peer.
type GiveText struct {
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

// Record puts a record on the time line. Its cause is Cause, or otherwise the
// latest record of kind After, if any.
type Record struct {
	Kind  event.Kind
	Cause event.Ref
	After event.Kind
	Peer  ident.Instance
	Note  string
}

func (ReadHead) cmd() {}
func (ReadText) cmd() {}
func (AskText) cmd()  {}
func (GiveText) cmd() {}
func (SendHead) cmd() {}
func (Apply) cmd()    {}
func (Prepared) cmd() {}
func (Record) cmd()   {}

// The kinds of the records that this package leaves on the time line.
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
