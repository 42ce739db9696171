package front

import (
	"crypto/tls"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
	"github.com/marjoramrudder/marjoramrudder/pkg/token"
)

// Request codes of a caller's first message.
const (
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
	codeV3     = 3 << 16
)

// tokenSetting is the setting that carries the session token.
const tokenSetting = "marjoram.session_token"

// errGone ends a session whose caller disconnected or was sent a fatal error.
var errGone = errors.New("caller has disconnected")

// login reads the startup message, authenticates the caller and sends the
// startup reply.
func (s *session) login() error {
	deadline := time.Now().Add(s.server.options.LoginTimeout)
	s.limitRead(deadline)
	s.limitWrite(deadline)
	startup, err := s.startup()
	if err != nil {
		return err
	}
	if err := s.authenticate(startup); err != nil {
		return s.fatal(err)
	}
	s.limitRead(time.Time{})
	s.limitWrite(time.Time{})
	return s.sendStartupReply()
}

// startup answers encryption requests until it has read the startup message.
func (s *session) startup() (*pgproto3.StartupMessage, error) {
	for {
		body, err := s.reader.Startup()
		if err != nil {
			return nil, errors.Wrap(err, "read startup")
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == codeSSL:
			err = s.startTLS()
		case code == codeGSS:
			_, err = s.socket.Write([]byte{'N'})
		case code == codeCancel:
			s.server.cancel(body)
			return nil, errGone
		case code>>16 == codeV3>>16:
			return s.decodeStartup(body)
		default:
			return nil, s.fatal(fault.Refuse(fault.Protocol, 0, "protocol version %d.%d is not supported", code>>16, code&0xffff))
		}
		if err != nil {
			return nil, errors.Wrap(err, "answer encryption request")
		}
	}
}

func (s *session) decodeStartup(body []byte) (*pgproto3.StartupMessage, error) {
	binary.BigEndian.PutUint32(body, codeV3) // minor versions are treated as 3.0
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, s.fatal(fault.Refuse(fault.Protocol, 0, "malformed startup message"))
	}
	if !s.encrypted && !s.server.options.AllowPlain {
		return nil, s.fatal(fault.Refuse("28000", 0, "connect with TLS"))
	}
	return &m, nil
}

func (s *session) startTLS() error {
	if s.server.options.TLS == nil || s.encrypted {
		_, err := s.socket.Write([]byte{'N'})
		return err
	}
	if s.reader.Buffered() > 0 {
		return errors.Wrap(errGone, "caller sent data before the TLS handshake")
	}
	if _, err := s.socket.Write([]byte{'S'}); err != nil {
		return err
	}
	encrypted := tls.Server(s.socket, s.server.options.TLS)
	if err := encrypted.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	s.mu.Lock()
	s.socket = encrypted
	s.mu.Unlock()
	s.reader = frame.NewReader(encrypted, s.server.options.MaxFrame)
	s.encrypted = true
	return nil
}

// authenticate checks the route, the key and the session token.
func (s *session) authenticate(m *pgproto3.StartupMessage) error {
	if !s.server.routes.Known() {
		return fault.Refuse(fault.NoPrimary, time.Second, "no document is in force yet")
	}
	name := ident.Route(m.Parameters["database"])
	route := s.server.routes.Get(name)
	if route == nil {
		return fault.Refuse(fault.NoRoute, 0, "no route %q", name)
	}
	var key string
	if route.Access == envdoc.Keyed {
		var err error
		if key, err = s.requestKey(); err != nil {
			return err
		}
	}
	identity, err := s.server.admitter.Login(name, ident.Account(m.Parameters["user"]), key, time.Now())
	if err != nil {
		return err
	}
	s.identity = identity
	return s.mergeToken(m.Parameters[tokenSetting])
}

// mergeToken merges the session token that the caller presents.
func (s *session) mergeToken(text string) error {
	t, err := token.Parse(text)
	if err != nil {
		return fault.Refuse(fault.BadToken, 0, "malformed session token").WithCause(err)
	}
	s.token = s.token.Merge(t)
	s.hasToken = s.hasToken || text != ""
	return nil
}

func (s *session) requestKey() (string, error) {
	if err := s.send(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return "", err
	}
	if err := s.flush(); err != nil {
		return "", err
	}
	kind, body, err := s.reader.Next()
	if err != nil {
		return "", errors.Wrap(err, "read key")
	}
	var m pgproto3.PasswordMessage
	if kind != 'p' || m.Decode(body) != nil {
		return "", fault.Refuse(fault.Protocol, 0, "expected a password message")
	}
	return m.Password, nil
}

// startupParameters are the settings that drivers expect in the startup reply.
var startupParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

func (s *session) sendStartupReply() error {
	s.server.register(s)
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for i := range startupParameters {
		messages = append(messages, &startupParameters[i])
	}
	messages = append(messages,
		&pgproto3.ParameterStatus{Name: tokenSetting, Value: s.token.String()},
		&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	)
	for _, m := range messages {
		if err := s.send(m); err != nil {
			return err
		}
	}
	return s.flush()
}
