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

// Sink takes the frames that go to the caller.
type Sink interface {
	Relay(kind byte, body []byte) error
}

// Result is what an endpoint answered to a batch.
type Result struct {
	// Refused is the failed check of the prelude; nothing of the batch ran.
	Refused *ServerError
	// Failed is the first error of the batch itself. It has gone to the sink.
	Failed   *ServerError
	Endpoint ident.Endpoint
	Status   byte // transaction status afterwards: I, T or E
	// Wrote is true when the connection committed a write with this batch.
	Wrote     bool
	Position  ident.LogPosition // of that write
	Confirmed ident.Position    // that the endpoint knew of in the mark's term
	// LastWriteUnknown is true when the last write could not be read, because
	// the batch left a failed transaction open.
	LastWriteUnknown bool
}

// LostError is an exchange that ended without a whole answer.
type LostError struct {
	Sent  stmt.Sent
	cause error
}

// Error implements error.
func (l *LostError) Error() string { return "endpoint connection lost: " + l.cause.Error() }

// Unwrap returns the cause.
func (l *LostError) Unwrap() error { return l.cause }

// errProtocol reports an answer that does not fit what was sent.
var errProtocol = errors.New("unexpected frame from endpoint")

// largeBytes is the size from which a batch is written while its answers are
// read, so that neither side waits for the other's buffers.
const largeBytes = 32 << 10

// Run sends the batch behind its prelude and relays the answer. An error is a
// *LostError, after which the connection is closed, or an error of the sink.
func (c *Conn) Run(b *Batch, p *Preconditions, sink Sink, deadline time.Time) (Result, error) {
	assert.That(!c.broken, "back.conn.usable", "a broken connection to %s was lent", c.Endpoint)
	c.broken = true // until the whole answer is in
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
			return Result{}, &LostError{Sent: reached(n), cause: err}
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

func reached(n int) stmt.Sent {
	if n == 0 {
		return stmt.SentNothing
	}
	return stmt.SentSome
}

// receive reads until every expected answer is in.
func (c *Conn) receive(sink Sink) (Result, error) {
	in := intake{conn: c, sink: sink, expects: c.expects}
	for {
		if err := in.own(); err != nil {
			return in.result, err
		}
		if len(in.expects) == 0 {
			break
		}
		kind, body, err := c.reader.Next()
		if err != nil {
			return in.result, &LostError{Sent: stmt.SentSome, cause: err}
		}
		if err := in.take(kind, body); err != nil {
			return in.result, err
		}
	}
	c.broken = false
	in.result.Endpoint, in.result.Status = c.Endpoint, c.status
	return in.result, nil
}

// intake matches the frames of an endpoint with the answers it owes.
type intake struct {
	conn    *Conn
	sink    Sink
	expects []expect
	result  Result
}

// own sends the answers that the proxy gives itself.
func (in *intake) own() error {
	for len(in.expects) > 0 && in.expects[0].own != nil {
		if err := in.sink.Relay(in.expects[0].own[0], nil); err != nil {
			return err
		}
		in.expects = in.expects[1:]
	}
	return nil
}

func (in *intake) take(kind byte, body []byte) error {
	switch kind {
	case 'S', 'A': // settings and notifications of a shared connection
		return nil
	case 'N':
		return in.sink.Relay(kind, body)
	case 'E':
		return in.fail(body)
	case 'G', 'H', 'W':
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrap(errProtocol, "copy mode")}
	}
	e := in.expects[0]
	if e.kind == 'Z' && kind == 'Z' {
		return in.ready(body)
	}
	if !strings.ContainsRune(answerKinds, rune(kind)) {
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrapf(errProtocol, "%q in place of %q", kind, e.kind)}
	}
	if e.last && kind == 'D' {
		return in.lastWrite(body)
	}
	if !e.hidden {
		if err := in.sink.Relay(kind, body); err != nil {
			return err
		}
	}
	if completes(e.kind, kind) {
		in.expects = in.expects[1:]
	}
	return nil
}

// answerKinds are the frames that answer statements. Any other, or a
// ReadyForQuery that is not due, means that answers are no longer in step.
const answerKinds = "123CDInstT"

// completes reports whether a frame of kind got ends the answer that waits for
// a frame of kind want.
func completes(want, got byte) bool {
	switch want {
	case 'C':
		return got == 'C' || got == 'I' || got == 's'
	case 'T':
		return got == 'T' || got == 'n'
	}
	return want == got
}

func (in *intake) ready(body []byte) error {
	if len(body) != 1 {
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrap(errProtocol, "ready for query")}
	}
	in.conn.status = body[0]
	in.expects = in.expects[1:]
	return nil
}

// codeFailedBlock is the SQLSTATE of a statement in a failed transaction.
const codeFailedBlock = "25P02"

// fail takes an error and skips the answers that it cancels.
func (in *intake) fail(body []byte) error {
	var failure *ServerError
	if err := decodeError(body); !errors.As(err, &failure) {
		return &LostError{Sent: stmt.SentSome, cause: err}
	}
	if in.expects[0].reset {
		return &LostError{Sent: stmt.SentSome, cause: failure}
	}
	if in.expects[0].last && failure.Code != codeFailedBlock {
		return &LostError{Sent: stmt.SentSome, cause: failure} // what was written is not known
	}
	if in.expects[0].check && (in.conn.prefix == 0 || isCheck(failure.Code)) {
		in.refuse(failure)
	} else if err := in.answer(failure, body); err != nil {
		return err
	}
	in.skip()
	return nil
}

func (in *intake) refuse(failure *ServerError) {
	if in.expects[0].last {
		in.result.LastWriteUnknown = true
		return
	}
	in.result.Refused = failure
}

// isCheck reports whether a code is one of the prelude's functions. In a simple
// query the endpoint reads the whole text before it runs the prelude, so that
// any other error is about the caller's part.
func isCheck(code fault.Code) bool { return strings.HasPrefix(string(code), "MR") }

func (in *intake) answer(failure *ServerError, body []byte) error {
	if in.result.Failed == nil {
		in.result.Failed = failure
	}
	if in.conn.prefix > 0 {
		body = shift(body, in.conn.prefix)
	}
	return in.sink.Relay('E', body)
}

// shift moves the place that an error names back by the prelude's length.
func shift(body []byte, by int) []byte {
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

// skip drops the answers up to the next ReadyForQuery. Statements whose Parse
// is among them are not known on the connection; those whose Close is among
// them still are.
func (in *intake) skip() {
	for len(in.expects) > 0 && in.expects[0].kind != 'Z' {
		if name := in.expects[0].parsed; name != "" {
			delete(in.conn.prepared, name)
		}
		if name := in.expects[0].closed; name != "" {
			in.conn.prepared[name] = struct{}{}
		}
		in.expects = in.expects[1:]
	}
}

// lastWrite reads the row (term, position, confirmed).
func (in *intake) lastWrite(body []byte) error {
	row, err := numbers(body)
	if err != nil || len(row) < 3 {
		return &LostError{Sent: stmt.SentSome, cause: errors.Wrap(errProtocol, "last write")}
	}
	mark := ident.LogPosition{Term: ident.Term(row[0]), Position: ident.Position(row[1])}
	in.result.Wrote = mark != in.conn.last && !mark.Zero()
	in.result.Position = mark
	in.result.Confirmed = ident.Position(row[2])
	in.conn.last = mark
	return nil
}

func numbers(body []byte) ([]int64, error) {
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
