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

// drainGrace is how long an idle caller is listened to after the instance began
// to stop, so that a request that is on its way is served and not refused.
const drainGrace = 50 * time.Millisecond

// session is one connected caller. Its fields belong to its own goroutine,
// but for those under mu.
type session struct {
	server    *Server
	reader    *frame.Reader
	out       []byte
	encrypted bool

	id     uint32
	secret uint32
	badge  acct.Identity
	token  token.Token
	shown  bool              // the caller showed a token, or a floor was learned
	floor  ident.LogPosition // of a session without token

	prepared      map[string]*back.Prepared
	preparedBytes int
	status        byte // transaction status as the caller sees it
	lent          *loan

	careful   bool     // the batch may write
	hold      bool     // answers wait for a confirmation
	relayed   bool     // a part of the answer has been written
	parsed    int      // statements of the batch that the endpoint has parsed
	committed bool     // the batch has ended a transaction with effect
	opening   bool     // the batch leaves a transaction open
	named     []string // the statements that the batch parses, in order

	mu      sync.Mutex
	socket  net.Conn
	idle    bool
	running *back.Cancel
	struck  bool // a cancel was sent for the lent connection
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

func (s *session) converse(ctx context.Context) error {
	if s.server.options.MaxCallers > 0 && s.server.Sessions() > s.server.options.MaxCallers {
		return s.fatal(fault.Refuse(fault.OverLimit, time.Second, "the instance serves %d callers already", s.server.options.MaxCallers))
	}
	if err := s.login(); err != nil {
		return err
	}
	for {
		if err := s.await(); err != nil {
			return err
		}
		if err := s.batch(ctx); err != nil {
			return err
		}
	}
}

// await blocks until the caller sends something. A caller that is idle when
// the instance drains, or in a transaction for too long, is told to leave.
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
	if s.lent != nil {
		return s.fatal(fault.Refuse("25P03", 0, "the transaction was idle for too long and is rolled back"))
	}
	return s.fatal(fault.Refuse(fault.Stopping, time.Second, "the instance is stopping"))
}

// setIdle arms or clears the deadline of a wait for input.
func (s *session) setIdle(idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
	switch {
	case !idle:
		_ = s.socket.SetReadDeadline(time.Time{})
	case s.lent != nil:
		_ = s.socket.SetReadDeadline(time.Now().Add(s.server.options.RequestTimeout))
	case s.server.draining.Load():
		_ = s.socket.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

// wake makes an idle session notice that the instance drains.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle && s.lent == nil {
		_ = s.socket.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

// close gives back what the session holds. An open transaction is rolled back
// by closing its endpoint connection.
func (s *session) close() {
	s.endLoan(false)
	if s.id != 0 {
		s.server.sessions.Delete(s.id)
	}
	_ = s.socket.Close()
}

// batch reads one batch and serves it.
func (s *session) batch(ctx context.Context) error {
	b, refusal, err := s.collect()
	if err != nil {
		return err
	}
	s.careful, s.hold, s.relayed, s.parsed, s.opening = false, false, false, 0, false
	if refusal == nil {
		refusal, err = s.dispatch(ctx, b)
	}
	if err != nil {
		return err
	}
	if refusal != nil {
		s.parsed = 0
		s.failTransaction()
		s.failUnopened()
		if err := s.refuse(refusal); err != nil {
			return err
		}
	}
	s.forgetUnparsed()
	return s.ready()
}

// failTransaction fails the open transaction after a refusal, as any error in
// a transaction does, so that a later COMMIT keeps no part of it.
func (s *session) failTransaction() {
	if s.lent != nil {
		s.endLoan(false)
		s.status = 'E'
	}
}

// failUnopened fails a transaction whose BEGIN was refused, when the caller has
// sent more before it saw the refusal. That must not run outside of it.
func (s *session) failUnopened() {
	if s.opening && s.status == 'I' && s.reader.Buffered() > 0 {
		s.status = 'E'
	}
}

// forgetUnparsed forgets the statements whose Parse was not answered with
// success, so that the caller may prepare them again under the same name.
func (s *session) forgetUnparsed() {
	for _, name := range s.named[min(s.parsed, len(s.named)):] {
		s.forget(name)
	}
	s.named = s.named[:0]
}
