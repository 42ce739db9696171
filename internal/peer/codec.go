package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the highest protocol version that this build supports.
const ProtocolVersion = 2

const (
	// MaxDocument limits the text of a document, in bytes.
	MaxDocument = 1 << 20
	// MaxFrame limits every frame, in bytes.
	MaxFrame = MaxDocument + maxSmallFrame
	// maxListFrame limits a frame that lists leases or data centres. It has room for
	// about 1500 of them.
	maxListFrame = 64 << 10
	// maxPartFrame limits a frame that carries a Part.
	maxPartFrame = partBytes + 64
	// maxSmallFrame limits every other frame.
	maxSmallFrame = 4 << 10

	maxNesting = 6
	// maxArrayElements is more than the number of elements that fit into a frame, so
	// that a list that is too long is not sent at all.
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
)

// ErrMalformed reports a frame that is invalid in every protocol version. The
// connection that it arrived on is closed.
var ErrMalformed = errors.New("malformed frame")

// ErrUnknownKind reports a message type that this build does not know. The
// frame is skipped.
var ErrUnknownKind = errors.New("unknown message type")

// ErrTooLarge reports a message that exceeds the size limit of its type.
var ErrTooLarge = errors.New("message too large")

// envelope is a frame: the protocol version, the message type and the encoded
// body.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint16
	Kind    Kind
	Body    cbor.RawMessage
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the frame of a message.
func Encode(message Message) ([]byte, error) {
	kind := KindOf(message)
	if kind == 0 {
		return nil, errors.Wrapf(ErrUnknownKind, "encode %T", message)
	}
	body, err := encoder.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", kind)
	}
	frame, err := encoder.Marshal(envelope{Version: ProtocolVersion, Kind: kind, Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "encode envelope of %s", kind)
	}
	if len(frame) > maxFrameOf(kind) {
		return nil, errors.Wrapf(ErrTooLarge, "%s of %d bytes, at most %d allowed", kind, len(frame), maxFrameOf(kind))
	}
	return frame, nil
}

// Decode decodes a frame. It returns ErrUnknownKind for a well-formed frame of
// an unknown message type and ErrMalformed for anything that is not a frame.
func Decode(frame []byte) (Message, error) {
	if len(frame) > MaxFrame {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes", len(frame))
	}
	var e envelope
	if err := decoder.Unmarshal(frame, &e); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "envelope: %v", err)
	}
	if e.Version == 0 || e.Kind == 0 {
		return nil, errors.Wrapf(ErrMalformed, "version %d, type %d", e.Version, e.Kind)
	}
	if len(frame) > maxFrameOf(e.Kind) {
		return nil, errors.Wrapf(ErrMalformed, "%s of %d bytes", e.Kind, len(frame))
	}
	return decodeBody(e.Kind, e.Body)
}

func decodeBody(kind Kind, body []byte) (Message, error) {
	switch kind {
	case HelloKind:
		return decodeAs[Hello](kind, body)
	case HeadKind:
		return decodeAs[Head](kind, body)
	case DocumentRequestKind:
		return decodeAs[DocumentRequest](kind, body)
	case DocumentKind:
		return decodeAs[Document](kind, body)
	case GroupStateKind:
		return decodeAs[GroupState](kind, body)
	case TokenRequestKind:
		return decodeAs[TokenRequest](kind, body)
	case TokenLoanKind:
		return decodeAs[TokenLoan](kind, body)
	case LeavingKind:
		return decodeAs[Leaving](kind, body)
	case LeaseRequestKind:
		return decodeAs[LeaseRequest](kind, body)
	case LeasePromiseKind:
		return decodeAs[LeasePromise](kind, body)
	case CallKind:
		return decodeAs[Call](kind, body)
	case AnswerKind:
		return decodeAs[Answer](kind, body)
	case HeartbeatKind:
		return decodeAs[Heartbeat](kind, body)
	case ReachRequestKind:
		return decodeAs[ReachRequest](kind, body)
	case ReachReplyKind:
		return decodeAs[ReachReply](kind, body)
	case QuotaRequestKind:
		return decodeAs[QuotaRequest](kind, body)
	case QuotaGrantKind:
		return decodeAs[QuotaGrant](kind, body)
	case DirectoryRequestKind:
		return decodeAs[DirectoryRequest](kind, body)
	case DirectoryKind:
		return decodeAs[Directory](kind, body)
	case MemberRequestKind:
		return decodeAs[MemberRequest](kind, body)
	case MemberListKind:
		return decodeAs[MemberList](kind, body)
	case LastKind:
		return decodeAs[Last](kind, body)
	case CallWithdrawnKind:
		return decodeAs[CallWithdrawn](kind, body)
	case EvacuationRequestKind:
		return decodeAs[EvacuationRequest](kind, body)
	case EvacuationListKind:
		return decodeAs[EvacuationList](kind, body)
	case PartKind:
		return decodeAs[Part](kind, body)
	case PartReceivedKind:
		return decodeAs[PartReceived](kind, body)
	}
	return nil, errors.Wrapf(ErrUnknownKind, "number %d", kind)
}

func decodeAs[M Message](kind Kind, body []byte) (Message, error) {
	var m M
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%s: %v", kind, err)
	}
	return m, nil
}

func maxFrameOf(kind Kind) int {
	switch kind {
	case DocumentKind, DirectoryKind, MemberListKind, CallKind, AnswerKind, HeartbeatKind:
		return MaxFrame
	case LeaseRequestKind, EvacuationListKind:
		return maxListFrame
	case PartKind:
		return maxPartFrame
	}
	return maxSmallFrame
}
