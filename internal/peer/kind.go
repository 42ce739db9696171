package peer

import "github.com/marjoramrudder/marjoramrudder/internal/event"

// Kind numbers a message type on the wire. Numbers are never reused.
type Kind uint16

// The message types of protocol version 1.
const (
	HelloKind        Kind = 1
	HeadKind         Kind = 2
	DocumentAskKind  Kind = 3
	DocumentKind     Kind = 4
	GroupStateKind   Kind = 5
	TokenAskKind     Kind = 6
	TokenGiveKind    Kind = 7
	LeavingKind      Kind = 8
	LeaseAskKind     Kind = 9
	LeaseHoldKind    Kind = 10
	CallKind         Kind = 11
	AnswerKind       Kind = 12
	PulseKind        Kind = 13
	ReachAskKind     Kind = 14
	ReachToldKind    Kind = 15
	GrantAskKind     Kind = 16
	GrantKind        Kind = 17
	DirectoryAskKind Kind = 18
	DirectoryKind    Kind = 19

	kinds = 20
)

// String returns the name of the message type, for metrics and errors.
func (k Kind) String() string {
	names := [kinds]string{
		"Unknown", "Hello", "Head", "DocumentAsk", "Document",
		"GroupState", "TokenAsk", "TokenGive", "Leaving",
		"LeaseAsk", "LeaseHold", "Call", "Answer", "Pulse",
		"ReachAsk", "ReachTold", "GrantAsk", "Grant",
		"DirectoryAsk", "Directory",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// asks reports whether a message of this kind is answered by the recipient.
func asks(k Kind) bool {
	switch k {
	case CallKind, GrantAskKind, DocumentAskKind, DirectoryAskKind, TokenAskKind, LeaseAskKind:
		return true
	}
	return false
}

// KindOf returns the kind of a message, zero for one that is not on the wire.
func KindOf(message Message) Kind {
	switch message.(type) {
	case Hello:
		return HelloKind
	case Head:
		return HeadKind
	case DocumentAsk:
		return DocumentAskKind
	case Document:
		return DocumentKind
	case GroupState:
		return GroupStateKind
	case TokenAsk:
		return TokenAskKind
	case TokenGive:
		return TokenGiveKind
	case Leaving:
		return LeavingKind
	case LeaseAsk:
		return LeaseAskKind
	case LeaseHold:
		return LeaseHoldKind
	case Call:
		return CallKind
	case Answer:
		return AnswerKind
	case Pulse:
		return PulseKind
	case ReachAsk:
		return ReachAskKind
	case ReachTold:
		return ReachToldKind
	case GrantAsk:
		return GrantAskKind
	case Grant:
		return GrantKind
	case DirectoryAsk:
		return DirectoryAskKind
	case Directory:
		return DirectoryKind
	}
	return 0
}

// stampOf returns the stamp that a message carries, the zero stamp otherwise.
func stampOf(message Message) event.Stamp {
	switch m := message.(type) {
	case Hello:
		return m.Stamp
	case Head:
		return m.Stamp
	case GroupState:
		return m.Stamp
	}
	return event.Stamp{}
}
