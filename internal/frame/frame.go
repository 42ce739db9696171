// Package frame reads and writes the frames of PostgreSQL protocol 3: a type
// byte, a length and a body. It does not decode bodies. Callers decode with
// pgproto3 those that they need and pass rows on as bytes. The package owns no
// connection.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// HeaderBytes is the size of a frame's type and length fields.
const HeaderBytes = 5

// Sizes of the protocol, in bytes.
const (
	lengthBytes  = 4
	bufferBytes  = 8 << 10
	maxKeptBytes = 64 << 10 // a larger body buffer is not reused
	maxStartup   = 10 << 10
	minStartup   = 8
	chunkBytes   = 1 << 20 // a large body is read in chunks
)

// ErrTooLarge reports a frame that exceeds the reader's limit.
var ErrTooLarge = errors.New("frame too large")

// ErrMalformed reports a frame with an invalid length.
var ErrMalformed = errors.New("malformed frame")

// Reader reads frames from a connection.
type Reader struct {
	source *bufio.Reader
	body   []byte
	limit  int
}

// NewReader returns a reader that rejects bodies of more than limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferBytes), limit: limit}
}

// Wait blocks until at least one byte is available. It consumes nothing.
func (r *Reader) Wait() error {
	_, err := r.source.Peek(1)
	return err
}

// Buffered returns how many bytes have arrived but have not been read yet.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Next reads one frame. The body is valid until the next call.
func (r *Reader) Next() (kind byte, body []byte, err error) {
	header, err := r.source.Peek(HeaderBytes)
	if err != nil {
		return 0, nil, errors.Wrap(err, "read frame header")
	}
	kind = header[0]
	size, err := r.bodySize(binary.BigEndian.Uint32(header[1:]), lengthBytes, r.limit)
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
	size, err := r.bodySize(binary.BigEndian.Uint32(header), minStartup, maxStartup)
	if err != nil {
		return nil, err
	}
	if _, err := r.source.Discard(lengthBytes); err != nil {
		return nil, errors.Wrap(err, "read startup length")
	}
	return r.read(size)
}

func (r *Reader) bodySize(length uint32, minLength, limit int) (int, error) {
	if int64(length) < int64(minLength) {
		return 0, errors.Wrapf(ErrMalformed, "length %d", length)
	}
	if int64(length)-lengthBytes > int64(limit) {
		return 0, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d allowed", length, limit)
	}
	return int(length) - lengthBytes, nil
}

// read fills the body buffer. It allocates memory as bytes arrive, not for the
// length that the frame claims.
func (r *Reader) read(size int) ([]byte, error) {
	if cap(r.body) > maxKeptBytes && size <= maxKeptBytes {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		chunk := min(size-len(r.body), chunkBytes)
		start := len(r.body)
		r.body = append(r.body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r.source, r.body[start:]); err != nil {
			return nil, errors.Wrap(err, "read frame body")
		}
	}
	return r.body, nil
}

// Append appends a frame to buf and returns the extended buffer.
func Append(buf []byte, kind byte, body []byte) []byte {
	buf = append(buf, kind)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)+lengthBytes))
	return append(buf, body...)
}
