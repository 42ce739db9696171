package front

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
	"github.com/marjoramrudder/marjoramrudder/pkg/token"
)

// drainGrace is how long an idle session stays open after the instance began to
// stop, so that a request already in flight is served and not refused.
const drainGrace = 50 * time.Millisecond

// session is one connected caller. Its fields belong to the session's own
// goroutine, except those below mu, which mu guards.
type session struct {
	server    *Server
	reader    *frame.Reader
	out       []byte
	encrypted bool

	id       uint32
	secret   uint32
	identity acct.Identity
	token    token.Token
	hasToken bool              // the caller presented a token or was sent one after a write
	floor    ident.LogPosition // for a session without a token

	prepared      map[string]*back.Prepared
	preparedBytes int
	status        byte // transaction status reported to the caller: I, T or E
	held          *heldConn

	mayWrite    bool     // the batch may write
	buffering   bool     // answers are buffered until the write is confirmed
	relayed     bool     // a part of the answer has been sent to the caller
	parsed      int      // statements of the batch whose Parse has succeeded
	committed   bool     // the batch has committed a transaction
	opensTx     bool     // the batch leaves a transaction open
	parsedNames []string // names of the statements that the batch parses, in order

	mu         sync.Mutex
	socket     net.Conn
	idle       bool
	ending     bool       // the server closes
	exchange   *back.Conn // runs the batch
	running    *back.Cancel
	cancelSent bool // a cancel was sent for the held connection
}

func newSession(s *Server, socket net.Conn) *session {
	return &session{
		server:   s,
		socket:   socket,
		reader:   frame.NewReader(socket, s.options.MaxFrame),
		prepared: make(map[string]*back.Prepared),
		status:   'I',
	}
}

func (s *session) serve(ctx context.Context) error {
	if s.server.options.MaxCallers > 0 && s.server.Sessions() > s.server.options.MaxCallers {
		return s.fatal(fault.Refuse(fault.OverLimit, time.Second, "the instance already serves %d callers", s.server.options.MaxCallers))
	}
	if err := s.login(); err != nil {
		return err
	}
	for {
		if err := s.await(); err != nil {
			return err
		}
		if err := s.serveBatch(ctx); err != nil {
			return err
		}
	}
}

// await blocks until the caller sends data. It ends the session of a caller
// that is idle when the instance drains, or idle in transaction for too long.
func (s *session) await() error {
	if s.reader.Buffered() > 0 {
		return nil
	}
	s.setIdle(true)
	err := s.reader.Wait()
	s.setIdle(false)
	if err == nil {
		return nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Mark(err, errGone)
	}
	if s.held != nil && !s.isEnding() {
		return s.fatal(fault.Refuse("25P03", 0, "the transaction was idle for too long and has been rolled back"))
	}
	return s.fatal(errStopping)
}

// setIdle sets or clears the deadline of a wait for input.
func (s *session) setIdle(idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
	switch {
	case s.ending: // the deadline has passed for good
	case !idle:
		_ = s.socket.SetReadDeadline(time.Time{})
	case s.held != nil:
		_ = s.socket.SetReadDeadline(time.Now().Add(s.server.options.RequestTimeout))
	case s.server.draining.Load():
		_ = s.socket.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

// wake sets the deadline of an idle session when the instance begins to drain.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle && s.held == nil && !s.ending {
		_ = s.socket.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

// close releases the session's resources. An open transaction is rolled back by
// closing its endpoint connection.
func (s *session) close() {
	s.release(false)
	if s.id != 0 {
		s.server.sessions.Delete(s.id)
	}
	_ = s.socket.Close()
}

// serveBatch reads one batch and answers it.
func (s *session) serveBatch(ctx context.Context) error {
	b, refusal, err := s.readBatch()
	if err != nil {
		return err
	}
	s.mayWrite, s.buffering, s.relayed, s.parsed, s.opensTx = false, false, false, 0, false
	if refusal == nil {
		refusal, err = s.dispatch(ctx, b)
	}
	if err != nil {
		return err
	}
	if refusal != nil {
		s.parsed = 0
		s.failTransaction()
		s.failRefusedBegin()
		if err := s.refuse(refusal); err != nil {
			return err
		}
	}
	s.forgetUnparsed()
	return s.sendReady()
}

// failTransaction aborts the open transaction after a refusal, like any error
// inside a transaction, so that a later COMMIT commits no part of it.
func (s *session) failTransaction() {
	if s.held != nil {
		s.release(false)
		s.status = 'E'
	}
}

// failRefusedBegin puts the session into a failed transaction when its BEGIN
// was refused and the caller has already sent more statements. Those must not
// run outside the transaction.
func (s *session) failRefusedBegin() {
	if s.opensTx && s.status == 'I' && s.reader.Buffered() > 0 {
		s.status = 'E'
	}
}

// forgetUnparsed removes the statements whose Parse did not succeed, so that
// the caller may prepare them again under the same name.
func (s *session) forgetUnparsed() {
	for _, name := range s.parsedNames[min(s.parsed, len(s.parsedNames)):] {
		s.forget(name)
	}
	s.parsedNames = s.parsedNames[:0]
}
