package peer

import (
	"github.com/cockroachdb/errors"
)

// The message types of parts.
const (
	PartKind         Kind = 26
	PartReceivedKind Kind = 27
)

const (
	// partsProtocol is the first protocol version with messages in parts.
	partsProtocol = 2
	// partBytes is the size of the parts of a large frame. A short message waits
	// for at most one part of a large one.
	partBytes = 16 << 10
	// maxPartsInFlight is how many parts may be on their way. It bounds how long a
	// short message waits behind them in the buffers of the network.
	maxPartsInFlight = 2
	// maxShortRun is how many short messages may be sent between two parts, so that
	// a large message makes progress on a busy link.
	maxShortRun = 16
)

// Part is a piece of a frame that is sent in parts. The parts of a frame follow
// each other in order, with other messages between them. Rest is how many bytes of
// the frame follow in later parts.
type Part struct {
	_     struct{} `cbor:",toarray"`
	Rest  int
	Bytes []byte
}

// PartReceived is the reply to each Part.
type PartReceived struct{}

func (Part) message()         {}
func (PartReceived) message() {}

// splitter cuts large frames into parts, one frame after the other.
type splitter struct {
	frame    frame
	sent     int // bytes of the frame
	inFlight int // parts that the peer has not received yet
	// flushing is set once the link is to be finished. The peer may be about to
	// send its last message, and confirms nothing after that.
	flushing bool
}

// busy reports whether parts of a frame are left.
func (s *splitter) busy() bool { return s.sent < len(s.frame.bytes) }

// start begins with the next frame.
func (s *splitter) start(f frame) { s.frame, s.sent = f, 0 }

// blocked reports whether a part has to be received before the next one is sent.
func (s *splitter) blocked() bool { return s.inFlight >= maxPartsInFlight && !s.flushing }

// received records that the peer has received a part.
func (s *splitter) received() { s.inFlight = max(0, s.inFlight-1) }

// next returns the encoded next part.
func (s *splitter) next() (frame, error) {
	end := min(s.sent+partBytes, len(s.frame.bytes))
	encoded, err := Encode(Part{Rest: len(s.frame.bytes) - end, Bytes: s.frame.bytes[s.sent:end]})
	if err != nil {
		return frame{}, err
	}
	s.sent = end
	s.inFlight++
	if !s.busy() {
		s.start(frame{})
	}
	return frame{kind: PartKind, bytes: encoded}, nil
}

// joiner joins the parts of a frame.
type joiner struct {
	bytes []byte
	rest  int
}

// add adds a part and returns the frame if it is complete. It returns ErrMalformed
// if the part does not continue the frame or makes it too large.
func (j *joiner) add(p Part) ([]byte, error) {
	switch {
	case len(p.Bytes) == 0 || len(p.Bytes) > partBytes || p.Rest < 0 || p.Rest > MaxFrame:
		return nil, errors.Wrapf(ErrMalformed, "part of %d bytes, %d follow", len(p.Bytes), p.Rest)
	case len(j.bytes) > 0 && j.rest != len(p.Bytes)+p.Rest:
		return nil, errors.Wrapf(ErrMalformed, "part of %d bytes, %d follow, %d expected", len(p.Bytes), p.Rest, j.rest)
	case len(j.bytes)+len(p.Bytes)+p.Rest > MaxFrame:
		return nil, errors.Wrapf(ErrMalformed, "parts of %d bytes", len(j.bytes)+len(p.Bytes)+p.Rest)
	}
	j.bytes, j.rest = append(j.bytes, p.Bytes...), p.Rest
	if j.rest > 0 {
		return nil, nil
	}
	complete := j.bytes
	*j = joiner{}
	return complete, nil
}
