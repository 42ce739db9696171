package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// errGivenUp reports that a statement has been answered otherwise, because the
// front gave it up.
var errGivenUp = errors.New("the statement was given up")

// session is one caller's connection with its state.
type session struct {
	caller   Caller
	state    *engine.Session
	location TxLocation
	id       ident.Session

	writing     sync.Mutex // held while an answer is written
	mu          sync.Mutex
	open        *openStatement          // the statement that has been read and not been answered, or nil
	cancelCalls context.CancelCauseFunc // ends the calls of a caller that has left, nil once called
}

// openStatement is a statement that has been read and not been answered.
type openStatement struct {
	statement engine.Statement
	call      *engine.Call // nil if the front answers the statement itself
	route     engine.Route
	group     ident.Group
	account   ident.Account
	version   ident.Version // of the configuration that decided
	began     time.Time
}

func newSession(id ident.Session, c Caller, state *engine.Session) *session {
	return &session{caller: c, state: state, id: id}
}

// begin records that a statement has been read.
func (s *session) begin(o *openStatement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = o
}

// unanswered reports whether a statement has been read and not been answered.
func (s *session) unanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open != nil
}

// take returns the open statement for the one who answers it, or nil.
func (s *session) take() *openStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.open
	s.open = nil
	return o
}

// answer sends the answer to the open statement. It returns errGivenUp if the
// statement has been given up.
func (s *session) answer(a engine.Answer, home ident.Instance) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	o := s.take()
	if o == nil {
		return errGivenUp
	}
	return s.send(o, a, home)
}

// giveUp answers the open statement, if any, without waiting for its result, and
// closes the connection then. It reports whether the caller got the answer.
func (s *session) giveUp() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	o := s.take()
	if o == nil {
		return true
	}
	defer func() { _ = s.caller.Close() }()
	return s.send(o, o.givenUp(), "") == nil
}

// send logs and writes the answer to a statement.
func (s *session) send(o *openStatement, a engine.Answer, home ident.Instance) error {
	logAnswer(s.id, o, a, home)
	err := s.caller.Reply(o.statement, a)
	if err != nil {
		repliesFailed.Inc()
		trace.Failure("ReplyFailed", err, "Request", o.statement.ID, "Session", s.id, "Outcome", a.Outcome.String())
	}
	return errors.Wrap(err, "reply")
}

// givenUp returns the answer to a statement whose result is not awaited.
func (o *openStatement) givenUp() engine.Answer {
	const detail = "the instance is shutting down"
	if o.call == nil {
		return engine.Refuse(engine.Aborted, lostRetry, detail)
	}
	return o.call.LostAnswer(detail)
}
