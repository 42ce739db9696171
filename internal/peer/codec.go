package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Protocol is the highest protocol version that this build speaks.
const Protocol = 1

const (
	// MaxDocument bounds the text of a document in bytes.
	MaxDocument = 1 << 20
	// MaxFrame bounds every frame in bytes.
	MaxFrame = MaxDocument + maxPlain
	// maxLeases bounds a frame that lists leases or members, to about 1500 of
	// them.
	maxLeases = 64 << 10
	// maxPlain bounds every other frame.
	maxPlain = 4 << 10

	maxNesting = 6
	// maxElements is more than fit into a frame that lists leases.
	maxElements = 4096
	maxPairs    = 64
)

// ErrMalformed reports a frame that no peer of any version would send. The
// connection that it came on is closed.
var ErrMalformed = errors.New("malformed frame")

// ErrUnknownKind reports a frame of a type that this build does not know. The
// frame is skipped.
var ErrUnknownKind = errors.New("unknown message type")

// ErrTooLarge reports a message that exceeds the bounds of its type.
var ErrTooLarge = errors.New("message too large")

// envelope is a frame: protocol version, message type and the encoded body.
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
		UTF8:             cbor.UTF8RejectInvalid,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
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
	frame, err := encoder.Marshal(envelope{Version: Protocol, Kind: kind, Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "encode envelope of %s", kind)
	}
	if len(frame) > maxFrameOf(kind) {
		return nil, errors.Wrapf(ErrTooLarge, "%s of %d bytes", kind, len(frame))
	}
	return frame, nil
}

// Decode reads a frame. It returns ErrUnknownKind for a well-formed frame of
// an unknown type and ErrMalformed for anything that is no frame.
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
	case DocumentKind, DirectoryKind, CallKind, AnswerKind:
		return MaxFrame
	case LeaseRequestKind, HeartbeatKind:
		return maxLeases
	}
	return maxPlain
}
