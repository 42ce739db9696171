package peer

import "github.com/marjoramrudder/marjoramrudder/internal/event"

// Kind is the number of a message type on the wire. Numbers are never reused.
type Kind uint16

// The message types of protocol version 1.
const (
	HelloKind            Kind = 1
	HeadKind             Kind = 2
	DocumentRequestKind  Kind = 3
	DocumentKind         Kind = 4
	GroupStateKind       Kind = 5
	TokenRequestKind     Kind = 6
	TokenLoanKind        Kind = 7
	LeavingKind          Kind = 8
	LeaseRequestKind     Kind = 9
	LeasePromiseKind     Kind = 10
	CallKind             Kind = 11
	AnswerKind           Kind = 12
	HeartbeatKind        Kind = 13
	ReachRequestKind     Kind = 14
	ReachReplyKind       Kind = 15
	QuotaRequestKind     Kind = 16
	QuotaGrantKind       Kind = 17
	DirectoryRequestKind Kind = 18
	DirectoryKind        Kind = 19
	MemberRequestKind    Kind = 20
	MemberListKind       Kind = 21
	LastKind             Kind = 22
	CallWithdrawnKind    Kind = 25

	kinds = 28
)

// String returns the name of the message type, for metrics and errors.
func (k Kind) String() string {
	names := [kinds]string{
		"Unknown", "Hello", "Head", "DocumentAsk", "Document",
		"GroupState", "TokenAsk", "TokenGive", "Leaving",
		"LeaseAsk", "LeaseHold", "Call", "Answer", "Pulse",
		"ReachAsk", "ReachTold", "GrantAsk", "Grant",
		"DirectoryAsk", "Directory", "MemberRequest", "MemberList", "Last",
		"EvacuationRequest", "EvacuationList", "CallWithdrawn", "Part", "PartReceived",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// expectsReply reports whether the recipient replies to messages of this kind.
func expectsReply(k Kind) bool {
	switch k {
	case CallKind, QuotaRequestKind, DocumentRequestKind, DirectoryRequestKind, MemberRequestKind, EvacuationRequestKind, TokenRequestKind, LeaseRequestKind:
		return true
	}
	return false
}

// KindOf returns the kind of a message, or zero if it is not a wire message.
func KindOf(message Message) Kind {
	switch message.(type) {
	case Hello:
		return HelloKind
	case Head:
		return HeadKind
	case DocumentRequest:
		return DocumentRequestKind
	case Document:
		return DocumentKind
	case GroupState:
		return GroupStateKind
	case TokenRequest:
		return TokenRequestKind
	case TokenLoan:
		return TokenLoanKind
	case Leaving:
		return LeavingKind
	case LeaseRequest:
		return LeaseRequestKind
	case LeasePromise:
		return LeasePromiseKind
	case Call:
		return CallKind
	case Answer:
		return AnswerKind
	case Heartbeat:
		return HeartbeatKind
	case ReachRequest:
		return ReachRequestKind
	case ReachReply:
		return ReachReplyKind
	case QuotaRequest:
		return QuotaRequestKind
	case QuotaGrant:
		return QuotaGrantKind
	case DirectoryRequest:
		return DirectoryRequestKind
	case Directory:
		return DirectoryKind
	case MemberRequest:
		return MemberRequestKind
	case MemberList:
		return MemberListKind
	case Last:
		return LastKind
	case CallWithdrawn:
		return CallWithdrawnKind
	case EvacuationRequest:
		return EvacuationRequestKind
	case EvacuationList:
		return EvacuationListKind
	case Part:
		return PartKind
	case PartReceived:
		return PartReceivedKind
	}
	return 0
}

// stampOf returns the stamp of a message, or the zero stamp if it carries none.
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
