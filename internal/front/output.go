package front

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/frame"
)

const (
	flushBytes = 64 << 10
	// writeTimeout bounds how long a caller may take to read its answer.
	writeTimeout = 30 * time.Second
	// maxBuffered bounds the bytes that are buffered until a write is
	// confirmed.
	maxBuffered = 32 << 20
)

var errAnswerTooLong = fault.Indeterminate(nil, "the answer to a write is longer than %d bytes; it may have taken effect", maxBuffered)

// commitTag is the body of the CommandComplete of a COMMIT that took effect.
const commitTag = "COMMIT\x00"

// Relay implements back.Sink: it passes one frame of an endpoint to the caller.
// From the first CommandComplete of a batch that may write, frames are buffered
// until the write is confirmed.
func (s *session) Relay(kind byte, body []byte) error {
	s.out = frame.Append(s.out, kind, body)
	if kind == '1' {
		s.parsed++
	}
	if kind == 'C' && string(body) == commitTag {
		s.committed = true
	}
	if s.buffering && len(s.out) > maxBuffered {
		return errAnswerTooLong
	}
	if s.mayWrite && (kind == 'C' || kind == 's') {
		s.buffering = true
	}
	if s.buffering || len(s.out) < flushBytes {
		return nil
	}
	s.relayed = true
	return s.flush()
}

func (s *session) send(m pgproto3.BackendMessage) error {
	var err error
	s.out, err = m.Encode(s.out)
	return errors.Wrap(err, "encode message")
}

func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	s.limitWrite(time.Now().Add(writeTimeout))
	_, err := s.socket.Write(s.out)
	if cap(s.out) > 4*flushBytes {
		s.out = nil
	}
	s.out = s.out[:0]
	if err != nil {
		return errors.Mark(errors.Wrap(err, "write to caller"), errGone)
	}
	return nil
}

// sendReady ends the answer to a batch.
func (s *session) sendReady() error {
	if err := s.send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}
	return s.flush()
}

// refuse discards the buffered answer and sends err instead.
func (s *session) refuse(err error) error {
	s.out = s.out[:0]
	e := fault.From(err)
	countRefusal(e)
	return s.send(response("ERROR", e))
}

// fatal sends err to the caller and returns the error that ends the session.
func (s *session) fatal(err error) error {
	s.out = s.out[:0]
	if errors.Is(err, errGone) {
		return err
	}
	e := fault.From(err)
	countRefusal(e)
	_ = s.send(response("FATAL", e))
	_ = s.flush()
	return errors.Mark(err, errGone)
}

func response(severity string, e *fault.Error) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(e.Code),
		Message:             e.Message,
		Detail:              fmt.Sprintf("Outcome: %s.", e.Outcome),
	}
	if e.RetryIn > 0 {
		r.Hint = fmt.Sprintf("Come back in %d ms.", e.RetryIn.Milliseconds())
	}
	return r
}
