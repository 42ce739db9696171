package back

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Sink receives the frames for the caller.
type Sink interface {
	Relay(kind byte, body []byte) error
}

// Result is the outcome of a batch at an endpoint.
type Result struct {
	// FailedCheck is the error of the precondition that failed, or nil. Nothing
	// of the batch ran then.
	FailedCheck *ServerError
	// BatchError is the first error of the batch itself, or nil. It has been
	// relayed to the sink.
	BatchError *ServerError
	Endpoint   ident.Endpoint
	Status     byte // transaction status after the batch: I, T or E
	// Wrote is true when the batch committed a write.
	Wrote     bool
	Position  ident.LogPosition // of that write
	Confirmed ident.Position    // confirmed position that the endpoint reported for the write's term
	// LastWriteUnknown is true when the last write could not be read because
	// the batch left a failed transaction open.
	LastWriteUnknown bool
}

// LostError reports an exchange that ended without a complete answer. The
// connection can't be used any more.
type LostError struct {
	Sent  stmt.Sent
	cause error
}

// Error implements error.
func (l *LostError) Error() string { return "endpoint connection lost: " + l.cause.Error() }

// Unwrap returns the cause.
func (l *LostError) Unwrap() error { return l.cause }

// errProtocol reports a frame that does not answer the messages sent.
var errProtocol = errors.New("unexpected frame from endpoint")

// largeBytes is the size above which a batch is written while its answers are
// read. Otherwise both sides could block on full socket buffers.
const largeBytes = 32 << 10

// Run sends the preconditions and the batch, and relays the answer to sink. The
// error is a *LostError or an error of the sink. After either the connection
// can't be reused.
func (c *Conn) Run(b *Batch, p *Preconditions, sink Sink, deadline time.Time) (Result, error) {
	assert.That(!c.unusable, "back.conn.usable", "unusable connection to %s was acquired", c.Endpoint)
	c.unusable = true // until the answer is complete
	if err := c.encode(b, p); err != nil {
		return Result{}, &LostError{Sent: stmt.SentNothing, cause: err}
	}
	if err := c.socket.SetDeadline(deadline); err != nil {
		return Result{}, &LostError{Sent: stmt.SentNothing, cause: err}
	}
	return c.exchange(sink)
}

func (c *Conn) exchange(sink Sink) (Result, error) {
	if len(c.buf) <= largeBytes {
		if n, err := c.socket.Write(c.buf); err != nil {
			return Result{}, &LostError{Sent: sentStatus(n), cause: err}
		}
		return c.receive(sink)
	}
	var g errgroup.Group
	g.Go(func() error {
		_, err := c.socket.Write(c.buf)
		return err
	})
	r, err := c.receive(sink)
	if err != nil {
		_ = c.socket.Close()
	}
	if werr := g.Wait(); werr != nil && err == nil {
		err = &LostError{Sent: stmt.SentSome, cause: werr}
	}
	return r, err
}

func sentStatus(n int) stmt.Sent {
	if n == 0 {
		return stmt.SentNothing
	}
	return stmt.SentSome
}

// receive reads frames until every expected answer has arrived.
func (c *Conn) receive(sink Sink) (Result, error) {
	in := answerReader{conn: c, sink: sink, expected: c.expected}
	for {
		if err := in.sendLocal(); err != nil {
			return in.result, err
		}
		if len(in.expected) == 0 {
			break
		}
		kind, body, err := c.reader.Next()
		if err != nil {
			return in.result, &LostError{Sent: stmt.SentSome, cause: err}
		}
		if err := in.handleFrame(kind, body); err != nil {
			return in.result, err
		}
	}
	c.unusable = false
	in.result.Endpoint, in.result.Status = c.Endpoint, c.status
	return in.result, nil
}

// answerReader matches the frames from an endpoint with the expected answers.
type answerReader struct {
	conn     *Conn
	sink     Sink
	expected []expected
	result   Result
}

// sendLocal relays the answers that the proxy gives itself.
func (in *answerReader) sendLocal() error {
	for len(in.expected) > 0 && in.expected[0].local != nil {
		if err := in.sink.Relay(in.expected[0].local[0], nil); err != nil {
			return err
		}
		in.expected = in.expected[1:]
	}
	return nil
}

func (in *answerReader) handleFrame(kind byte, body []byte) error {
	switch kind {
	case 'S', 'A': // parameter changes and notifications of a shared connection
		return nil
	case 'N':
		return in.sink.Relay(kind, body)
	case 'E':
		return in.handleError(body)
	case 'G', 'H', 'W':
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrap(errProtocol, "copy mode is not supported")}
	}
	e := in.expected[0]
	if e.kind == 'Z' && kind == 'Z' {
		return in.ready(body)
	}
	if !strings.ContainsRune(answerKinds, rune(kind)) {
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrapf(errProtocol, "got frame %q, expected %q", kind, e.kind)}
	}
	if e.lastWrite && kind == 'D' {
		return in.readLastWrite(body)
	}
	if !e.hidden {
		if err := in.sink.Relay(kind, body); err != nil {
			return err
		}
	}
	if completes(e.kind, kind) {
		in.expected = in.expected[1:]
	}
	return nil
}

// answerKinds are the kinds of frames that answer statements. Any other frame,
// or an unexpected ReadyForQuery, means that requests and answers are out of
// step.
const answerKinds = "123CDInstT"

// completes reports whether a frame of kind got completes an answer that is
// expected to end with kind want.
func completes(want, got byte) bool {
	switch want {
	case 'C':
		return got == 'C' || got == 'I' || got == 's'
	case 'T':
		return got == 'T' || got == 'n'
	}
	return want == got
}

func (in *answerReader) ready(body []byte) error {
	if len(body) != 1 {
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrap(errProtocol, "ready for query")}
	}
	in.conn.status = body[0]
	in.expected = in.expected[1:]
	return nil
}

// codeFailedBlock is the SQLSTATE of a statement in a failed transaction.
const codeFailedBlock = "25P02"

// handleError handles an ErrorResponse and drops the expected answers that the
// endpoint skips after it.
func (in *answerReader) handleError(body []byte) error {
	var failure *ServerError
	if err := decodeError(body); !errors.As(err, &failure) {
		return &LostError{Sent: stmt.SentSome, cause: err}
	}
	if in.expected[0].reset {
		return &LostError{Sent: stmt.SentSome, cause: failure}
	}
	if in.expected[0].lastWrite && failure.Code != codeFailedBlock {
		return &LostError{Sent: stmt.SentSome, cause: failure} // the last write is not known
	}
	if in.expected[0].check && (in.conn.prefixBytes == 0 || isCheckCode(failure.Code)) {
		in.recordFailedCheck(failure)
	} else if err := in.relayError(failure, body); err != nil {
		return err
	}
	in.skipToReady()
	return nil
}

func (in *answerReader) recordFailedCheck(failure *ServerError) {
	if in.expected[0].lastWrite {
		in.result.LastWriteUnknown = true
		return
	}
	in.result.FailedCheck = failure
}

// isCheckCode reports whether a code comes from a precondition function. In a
// simple query the endpoint parses the whole text before it runs the
// preconditions, so any other error concerns the caller's text.
func isCheckCode(code fault.Code) bool { return strings.HasPrefix(string(code), "MR") }

func (in *answerReader) relayError(failure *ServerError, body []byte) error {
	if in.result.BatchError == nil {
		in.result.BatchError = failure
	}
	if in.conn.prefixBytes > 0 {
		body = shiftPosition(body, in.conn.prefixBytes)
	}
	return in.sink.Relay('E', body)
}

// shiftPosition reduces the error position in an ErrorResponse by the length of
// the preconditions.
func shiftPosition(body []byte, by int) []byte {
	var m pgproto3.ErrorResponse
	if m.Decode(body) != nil || int(m.Position) <= by {
		return body
	}
	m.Position -= int32(by)
	encoded, err := m.Encode(nil)
	if err != nil {
		return body
	}
	return encoded[frame.HeaderBytes:]
}

// skipToReady drops the expected answers up to the next ReadyForQuery. A
// skipped Parse leaves its statement unprepared, and a skipped Close leaves its
// statement prepared.
func (in *answerReader) skipToReady() {
	for len(in.expected) > 0 && in.expected[0].kind != 'Z' {
		if name := in.expected[0].parsed; name != "" {
			delete(in.conn.prepared, name)
		}
		if name := in.expected[0].closed; name != "" {
			in.conn.prepared[name] = struct{}{}
		}
		in.expected = in.expected[1:]
	}
}

// readLastWrite decodes the row (term, position, confirmed) of
// marjoram.last_write().
func (in *answerReader) readLastWrite(body []byte) error {
	row, err := decodeInts(body)
	if err != nil || len(row) < 3 {
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrap(errProtocol, "last write")}
	}
	position := ident.LogPosition{Term: ident.Term(row[0]), Position: ident.Position(row[1])}
	in.result.Wrote = position != in.conn.lastWrite && !position.Zero()
	in.result.Position = position
	in.result.Confirmed = ident.Position(row[2])
	in.conn.lastWrite = position
	return nil
}

func decodeInts(body []byte) ([]int64, error) {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil {
		return nil, errors.Wrap(err, "decode row")
	}
	row := make([]int64, len(m.Values))
	for i, v := range m.Values {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, "read number")
		}
		row[i] = n
	}
	return row, nil
}
