package endpt

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"io"
	"net"
	"sync"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	secretBytes     = 4
	maxMessageBytes = 16 << 20
	// defaultCutBytes is the number of bytes of an answer that are sent before
	// it is cut.
	defaultCutBytes = 16
)

// errDropped ends a session whose connection a fault closes.
var errDropped = errors.New("connection dropped by a fault")

// session is one connection of a caller.
type session struct {
	server *Server
	conn   *delayedConn
	back   *pgproto3.Backend

	pid        uint32
	secret     []byte
	settings   settings
	prepared   map[string]*prepared
	portals    map[string]*portal
	txn        *txn
	skipping   bool // ignore messages until Sync, after an error of the extended protocol
	lastWrite  ident.LogPosition
	loseAnswer bool // close the connection instead of answering a commit

	mu     sync.Mutex
	cancel context.CancelFunc // of the running statement
}

func newSession(s *Server, l *delayedConn) *session {
	x := &session{server: s, conn: l, prepared: map[string]*prepared{}, portals: map[string]*portal{}}
	x.setConn(l)
	return x
}

func (x *session) setConn(c net.Conn) {
	x.back = pgproto3.NewBackend(c, c)
	x.back.SetMaxBodyLen(maxMessageBytes)
}

func (x *session) serve(ctx context.Context) error {
	start, err := x.startup()
	if err != nil || start == nil {
		return err
	}
	s := x.server
	s.counters.connection()
	defer s.open.Add(-1)
	if s.open.Add(1) > int64(s.config.Connections) {
		return x.rejectConnection(fail(codeTooMany, "endpoint %s has no free connection", s.config.Name))
	}
	if !tasks.Pause(ctx, s.config.ConnectTime) {
		return ctx.Err()
	}
	if err := x.authenticate(start); err != nil {
		return err
	}
	s.register(x)
	defer s.unregister(x)
	if err := x.completeStartup(start); err != nil {
		return err
	}
	return x.loop(ctx)
}

// startup reads messages up to the startup message. It returns nil after a
// cancel request.
func (x *session) startup() (*pgproto3.StartupMessage, error) {
	for {
		m, err := x.back.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "read startup message")
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := x.upgrade(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := x.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "reject encryption")
			}
		case *pgproto3.CancelRequest:
			x.server.cancelStatement(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		default:
			return nil, errors.Newf("unexpected startup message %T", m)
		}
	}
}

func (x *session) upgrade() error {
	if x.server.config.TLS == nil {
		_, err := x.conn.Write([]byte{'N'})
		return errors.Wrap(err, "reject TLS")
	}
	if _, err := x.conn.Write([]byte{'S'}); err != nil {
		return errors.Wrap(err, "accept TLS")
	}
	x.setConn(tls.Server(x.conn, x.server.config.TLS))
	return nil
}

func (x *session) authenticate(start *pgproto3.StartupMessage) error {
	c := &x.server.config
	if user := start.Parameters["user"]; c.User != "" && user != c.User {
		x.server.counters.foreignCredential()
		return x.rejectConnection(fail(codeBadPassword, "role %q does not exist", user))
	}
	if c.Password != "" {
		x.back.Send(&pgproto3.AuthenticationCleartextPassword{})
		if err := x.back.Flush(); err != nil {
			return errors.Wrap(err, "request password")
		}
		m, err := x.back.Receive()
		if err != nil {
			return errors.Wrap(err, "read password")
		}
		p, ok := m.(*pgproto3.PasswordMessage)
		if !ok || p.Password != c.Password {
			x.server.counters.foreignCredential()
			return x.rejectConnection(fail(codeBadPassword, "password authentication failed"))
		}
	}
	x.back.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (x *session) completeStartup(start *pgproto3.StartupMessage) error {
	x.settings = newSettings(start.Parameters)
	for _, p := range reported {
		x.back.Send(&pgproto3.ParameterStatus{Name: p, Value: x.settings.values[p]})
	}
	x.back.Send(&pgproto3.BackendKeyData{ProcessID: x.pid, SecretKey: x.secret})
	x.ready()
	return errors.Wrap(x.back.Flush(), "complete startup")
}

func (x *session) rejectConnection(f *failure) error {
	e := response(f)
	e.Severity, e.SeverityUnlocalized = "FATAL", "FATAL"
	x.back.Send(e)
	if err := x.back.Flush(); err != nil {
		return errors.Wrap(err, "reject connection")
	}
	return f
}

// loop handles messages until the caller disconnects. The end of the session
// discards an open transaction.
func (x *session) loop(ctx context.Context) error {
	for {
		m, err := x.back.Receive()
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil
			}
			return errors.Wrap(err, "read message")
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := x.handle(ctx, m); err != nil {
			return err
		}
	}
}

func (x *session) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); x.skipping && !ok {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		x.query(ctx, m.String)
		x.ready()
		return x.flushAnswer()
	case *pgproto3.Sync:
		x.sync()
		x.ready()
		return x.flushAnswer()
	case *pgproto3.Flush:
		return errors.Wrap(x.back.Flush(), "flush")
	}
	if err := x.extended(ctx, m); err != nil {
		x.sendError(err)
		x.skipping = true
	}
	return nil
}

// flushAnswer sends the answer, unless a fault loses or cuts it.
func (x *session) flushAnswer() error {
	if x.loseAnswer {
		return errDropped
	}
	cut := false
	x.conn.sent = func(size int) int {
		sent := x.server.faults.cutAnswer(size)
		cut = cut || sent < size
		return sent
	}
	err := x.back.Flush()
	x.conn.sent = nil
	if cut {
		return errDropped
	}
	return errors.Wrap(err, "send answer")
}

// sendError reports an error to the caller and aborts the transaction.
func (x *session) sendError(err error) {
	x.back.Send(response(err))
	if x.txn == nil {
		return
	}
	if x.txn.explicit {
		x.txn.failed = true
		return
	}
	x.endTxn(false)
}

// endTxn discards the transaction and restores the settings that end with it.
func (x *session) endTxn(committed bool) {
	if x.txn != nil {
		x.settings.endTxn(x.txn, committed)
	}
	x.txn = nil
}

func (x *session) ready() {
	status := byte('I')
	if x.txn != nil && x.txn.explicit {
		status = 'T'
		if x.txn.failed {
			status = 'E'
		}
	}
	x.back.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// cancellable returns a context that a cancel request cancels.
func (x *session) cancellable(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	x.cancel = cancel
	x.mu.Unlock()
	return ctx, func() {
		x.mu.Lock()
		x.cancel = nil
		x.mu.Unlock()
		cancel()
	}
}

func (s *Server) register(x *session) {
	x.secret = make([]byte, secretBytes)
	_, _ = rand.Read(x.secret) // crypto/rand.Read never fails
	x.pid = s.lastPID.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[x.pid] = x
}

func (s *Server) unregister(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.pid)
}

func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	x := s.sessions[pid]
	s.mu.Unlock()
	if x == nil || subtle.ConstantTimeCompare(x.secret, secret) != 1 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancel != nil {
		x.cancel()
	}
}
