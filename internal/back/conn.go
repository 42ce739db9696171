// Package back manages the connections to endpoints: it opens them with the
// proxy's own credentials, pools them for one transaction at a time, and runs
// batches on them together with their preconditions. A released connection is
// reused only when it is idle and clean; a connection with an outstanding
// answer is closed.
package back

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Limits of one endpoint connection.
const (
	maxFrameBytes   = 64 << 20
	maxPrepared     = 256
	protocolVersion = pgproto3.ProtocolVersion30
)

// Credentials are the proxy's own credentials at the endpoints.
type Credentials struct {
	User     string
	Password string
	Database string
}

// Conn is one connection to an endpoint. It is not safe for concurrent use.
type Conn struct {
	Endpoint    ident.Endpoint
	address     string
	socket      net.Conn
	reader      *frame.Reader
	buf         []byte
	prepared    map[string]struct{}
	lastWrite   ident.LogPosition // of the last write that LastWrite returned
	status      byte              // transaction status of the last ReadyForQuery
	dirty       bool              // needs DISCARD ALL before the next transaction
	holdsLocks  bool              // may hold session locks that block other callers
	unusable    bool              // an answer is outstanding, or the protocol is out of step
	pid         uint32
	secret      []byte
	expected    []expected
	calls       []call
	prefixBytes int // bytes of the preconditions before the text of a simple query
}

// Dial opens and authenticates a connection.
func Dial(ctx context.Context, endpoint ident.Endpoint, address string, creds Credentials) (*Conn, error) {
	var d net.Dialer
	socket, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial endpoint %s", endpoint)
	}
	c := &Conn{
		Endpoint: endpoint,
		address:  address,
		socket:   socket,
		reader:   frame.NewReader(socket, maxFrameBytes),
		prepared: make(map[string]struct{}),
		status:   'I',
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = socket.SetDeadline(deadline)
	}
	if err := c.login(creds); err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "log in at endpoint %s", endpoint)
	}
	_ = socket.SetDeadline(time.Time{})
	return c, nil
}

func (c *Conn) login(creds Credentials) error {
	startup := pgproto3.StartupMessage{ProtocolVersion: protocolVersion, Parameters: map[string]string{"user": creds.User, "database": creds.Database}}
	buf, err := startup.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode startup")
	}
	if _, err := c.socket.Write(buf); err != nil {
		return errors.Wrap(err, "send startup")
	}
	for {
		kind, body, err := c.reader.Next()
		if err != nil {
			return errors.Wrap(err, "read login answer")
		}
		done, err := c.loginStep(kind, body, creds)
		if done || err != nil {
			return err
		}
	}
}

func (c *Conn) loginStep(kind byte, body []byte, creds Credentials) (done bool, err error) {
	switch kind {
	case 'R':
		return false, c.authenticate(body, creds)
	case 'K':
		var m pgproto3.BackendKeyData
		if err := m.Decode(body); err != nil {
			return false, errors.Wrap(err, "decode key data")
		}
		c.pid, c.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
	case 'E':
		return false, decodeError(body)
	case 'Z':
		return true, nil
	}
	return false, nil
}

// authenticate answers an authentication request. It supports cleartext
// passwords only.
func (c *Conn) authenticate(body []byte, creds Credentials) error {
	if len(body) < 4 {
		return errors.Wrap(frame.ErrMalformed, "authentication request")
	}
	switch body[3] {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeCleartextPassword:
		buf, err := (&pgproto3.PasswordMessage{Password: creds.Password}).Encode(nil)
		if err != nil {
			return errors.Wrap(err, "encode password")
		}
		_, err = c.socket.Write(buf)
		return errors.Wrap(err, "send password")
	}
	return errors.Newf("endpoint requires authentication method %d, which is not supported", body[3])
}

// ServerError is an ErrorResponse from an endpoint.
type ServerError struct {
	Code    fault.Code
	Message string
	Detail  string
}

// Error implements error.
func (e *ServerError) Error() string { return string(e.Code) + ": " + e.Message }

func decodeError(body []byte) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return errors.Wrap(err, "decode error response")
	}
	return &ServerError{Code: fault.Code(m.Code), Message: m.Message, Detail: m.Detail}
}

// Clean reports whether the connection can serve another transaction.
func (c *Conn) Clean() bool { return !c.unusable && !c.holdsLocks && c.status == 'I' }

// Status returns the transaction status: I, T or E.
func (c *Conn) Status() byte { return c.status }

// Cancel returns the cancel request for the running statement.
func (c *Conn) Cancel() Cancel { return Cancel{address: c.address, pid: c.pid, secret: c.secret} }

// Close closes the connection at once. The endpoint rolls back an open
// transaction.
func (c *Conn) Close() error {
	c.unusable = true
	return c.socket.Close()
}

// Abandon closes the socket while an exchange may run on the connection, which
// then fails with a LostError. Unlike Close it may be called concurrently.
func (c *Conn) Abandon() { _ = c.socket.Close() }
