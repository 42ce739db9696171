// Package frame reads and writes the frames of PostgreSQL protocol 3: a type
// byte, a length and a body. The bodies are decoded by pgproto3 where a
// decision needs them; rows pass through as bytes. It asserts no invariants
// and owns no connection.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// HeaderBytes is the length of a frame's type and length.
const HeaderBytes = 5

// Sizes of the protocol, in bytes.
const (
	lengthBytes = 4
	bufferBytes = 8 << 10
	keepBytes   = 64 << 10 // a larger body buffer is not kept
	maxStartup  = 10 << 10
	minStartup  = 8
	pieceBytes  = 1 << 20 // a large body is read piece by piece
)

// ErrTooLarge reports a frame above the reader's limit.
var ErrTooLarge = errors.New("frame too large")

// ErrMalformed reports a frame whose length is impossible.
var ErrMalformed = errors.New("malformed frame")

// Reader reads frames from a connection.
type Reader struct {
	source *bufio.Reader
	body   []byte
	limit  int
}

// NewReader returns a reader that refuses bodies above limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferBytes), limit: limit}
}

// Wait blocks until at least one byte has arrived. It consumes nothing.
func (r *Reader) Wait() error {
	_, err := r.source.Peek(1)
	return err
}

// Buffered returns how many bytes have arrived and were not read yet.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Next reads one frame. The body is valid until the next call.
func (r *Reader) Next() (kind byte, body []byte, err error) {
	header, err := r.source.Peek(HeaderBytes)
	if err != nil {
		return 0, nil, errors.Wrap(err, "read frame header")
	}
	kind = header[0]
	size, err := r.size(binary.BigEndian.Uint32(header[1:]), lengthBytes, r.limit)
	if err != nil {
		return kind, nil, err
	}
	if _, err := r.source.Discard(HeaderBytes); err != nil {
		return kind, nil, errors.Wrap(err, "read frame header")
	}
	body, err = r.read(size)
	return kind, body, err
}

// Startup reads the first message of a caller, which has no type byte.
func (r *Reader) Startup() ([]byte, error) {
	header, err := r.source.Peek(lengthBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read startup length")
	}
	size, err := r.size(binary.BigEndian.Uint32(header), minStartup, maxStartup)
	if err != nil {
		return nil, err
	}
	if _, err := r.source.Discard(lengthBytes); err != nil {
		return nil, errors.Wrap(err, "read startup length")
	}
	return r.read(size)
}

func (r *Reader) size(length uint32, least, limit int) (int, error) {
	if int64(length) < int64(least) {
		return 0, errors.Wrapf(ErrMalformed, "length %d", length)
	}
	if int64(length)-lengthBytes > int64(limit) {
		return 0, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d allowed", length, limit)
	}
	return int(length) - lengthBytes, nil
}

// read fills the body buffer. Memory grows with the bytes that arrive, not
// with the length that the frame claims.
func (r *Reader) read(size int) ([]byte, error) {
	if cap(r.body) > keepBytes && size <= keepBytes {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		piece := min(size-len(r.body), pieceBytes)
		start := len(r.body)
		r.body = append(r.body, make([]byte, piece)...)
		if _, err := io.ReadFull(r.source, r.body[start:]); err != nil {
			return nil, errors.Wrap(err, "read frame body")
		}
	}
	return r.body, nil
}

// Append adds a frame to buf and returns the result.
func Append(buf []byte, kind byte, body []byte) []byte {
	buf = append(buf, kind)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)+lengthBytes))
	return append(buf, body...)
}
