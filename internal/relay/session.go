package relay

import (
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// session is one caller's connection with its state.
type session struct {
	caller   Caller
	state    *engine.Session
	location TxLocation
	id       ident.Session

	mu   sync.Mutex
	open *openStatement // the statement that has been read and not been answered, or nil
}

// openStatement is a statement that has been read and not been answered.
type openStatement struct {
	statement engine.Statement
	route     ident.Route
	group     ident.Group
	began     time.Time
}

func newSession(id ident.Session, c Caller, state *engine.Session) *session {
	return &session{caller: c, state: state, id: id}
}

// begin records that a statement has been read.
func (s *session) begin(now time.Time, statement engine.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = &openStatement{statement: statement, route: s.state.Route().Name, group: s.state.Group(), began: now}
}

// reply sends the answer to the statement that has been read.
func (s *session) reply(statement engine.Statement, a engine.Answer) error {
	err := s.caller.Reply(statement, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = nil
	return err
}

// unanswered returns the statement that has been read and not been answered, or
// nil.
func (s *session) unanswered() *openStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}
