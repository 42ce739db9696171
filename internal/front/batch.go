package front

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// batchTimeout bounds the time from the first message of a batch to its Sync.
const batchTimeout = 30 * time.Second

const maxStatements = 4096

// readBatch reads messages up to a Sync or a simple query. A refusal goes to
// the caller once the rest of the batch has been skipped; a failure ends the
// session.
func (s *session) readBatch() (batch *back.Batch, refusal, failure error) {
	s.limitRead(time.Now().Add(batchTimeout))
	defer s.limitRead(time.Time{})
	b := &back.Batch{}
	size := 0
	for {
		kind, body, err := s.reader.Next()
		if err != nil {
			return nil, nil, s.readError(err)
		}
		size += len(body)
		if size > s.server.options.MaxBatch {
			return nil, nil, s.fatal(fault.Refuse("54000", 0, "more than %d bytes before a Sync", s.server.options.MaxBatch))
		}
		if kind == 'S' {
			return b, refusal, nil
		}
		if refusal != nil {
			continue // the protocol requires skipping to the Sync
		}
		var done bool
		done, refusal = s.addMessage(b, kind, body)
		if errors.Is(refusal, errGone) {
			return nil, nil, refusal
		}
		if done {
			return b, refusal, nil
		}
	}
}

func (s *session) readError(err error) error {
	if errors.Is(err, frame.ErrTooLarge) || errors.Is(err, frame.ErrMalformed) {
		return s.fatal(fault.Refuse(fault.Protocol, 0, "unreadable message").WithCause(err))
	}
	if s.isEnding() {
		return s.fatal(errStopping)
	}
	return errors.Mark(err, errGone)
}

// addMessage adds one message to the batch. It reports true for a simple query
// or function call, which ends the batch.
func (s *session) addMessage(b *back.Batch, kind byte, body []byte) (bool, error) {
	switch kind {
	case 'Q':
		return true, s.simple(b, body)
	case 'P':
		return false, s.parse(b, body)
	case 'B':
		return false, s.bind(b, body)
	case 'D':
		return false, s.describe(b, body)
	case 'E':
		return false, s.execute(b, body)
	case 'C':
		return false, s.closeObject(b, body)
	case 'X':
		return false, errGone
	case 'H':
		return false, fault.Refuse(fault.Unsupported, 0, "Flush is not supported; end the batch with Sync")
	case 'F':
		return true, fault.Refuse(fault.Unsupported, 0, "function calls are not supported")
	case 'd', 'c', 'f':
		return false, nil // the rest of a refused COPY
	}
	return false, s.fatal(fault.Refuse(fault.Protocol, 0, "unknown message type %q", kind))
}

var errMalformed = fault.Refuse(fault.Protocol, 0, "malformed message")

func (s *session) simple(b *back.Batch, body []byte) error {
	var m pgproto3.Query
	if m.Decode(body) != nil {
		return errMalformed
	}
	if len(b.Steps) > 0 {
		return fault.Refuse(fault.Unsupported, 0, "a simple query inside a batch is not supported")
	}
	text := stmt.Scan(m.String)
	b.Simple = &text
	return nil
}

func (s *session) parse(b *back.Batch, body []byte) error {
	var m pgproto3.Parse
	if m.Decode(body) != nil {
		return errMalformed
	}
	if len(s.prepared) >= maxStatements {
		return fault.Refuse("54000", 0, "more than %d prepared statements", maxStatements)
	}
	if _, taken := s.prepared[m.Name]; taken && m.Name != "" {
		return fault.Refuse("42P05", 0, "prepared statement %q already exists", m.Name)
	}
	if s.preparedBytes+len(m.Query) > s.server.options.MaxBatch {
		return fault.Refuse("54000", 0, "more than %d bytes of prepared statements", s.server.options.MaxBatch)
	}
	p := back.NewPrepared(stmt.Scan(m.Query), m.ParameterOIDs)
	s.forget(m.Name)
	s.prepared[m.Name] = p
	s.preparedBytes += len(p.SQL)
	s.parsedNames = append(s.parsedNames, m.Name)
	b.Steps = append(b.Steps, back.Step{Op: back.OpParse, Statement: p})
	return nil
}

func (s *session) forget(name string) {
	if p := s.prepared[name]; p != nil {
		s.preparedBytes -= len(p.SQL)
		delete(s.prepared, name)
	}
}

func (s *session) statement(name string) (*back.Prepared, error) {
	p := s.prepared[name]
	if p == nil {
		return nil, fault.Refuse("26000", 0, "prepared statement %q does not exist", name)
	}
	return p, nil
}

func (s *session) bind(b *back.Batch, body []byte) error {
	var m pgproto3.Bind
	if m.Decode(body) != nil {
		return errMalformed
	}
	p, err := s.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	step, err := p.Bind(m)
	if err != nil {
		return errMalformed
	}
	b.Steps = append(b.Steps, step)
	return nil
}

func (s *session) describe(b *back.Batch, body []byte) error {
	var m pgproto3.Describe
	if m.Decode(body) != nil {
		return errMalformed
	}
	if m.ObjectType == 'P' {
		b.Steps = append(b.Steps, back.Step{Op: back.OpDescribePortal, Raw: frame.Append(nil, 'D', body)})
		return nil
	}
	p, err := s.statement(m.Name)
	if err != nil {
		return err
	}
	b.Steps = append(b.Steps, back.Step{Op: back.OpDescribe, Statement: p})
	return nil
}

func (s *session) execute(b *back.Batch, body []byte) error {
	var m pgproto3.Execute
	if m.Decode(body) != nil {
		return errMalformed
	}
	b.Steps = append(b.Steps, back.Step{Op: back.OpExecute, Raw: frame.Append(nil, 'E', body)})
	return nil
}

func (s *session) closeObject(b *back.Batch, body []byte) error {
	var m pgproto3.Close
	if m.Decode(body) != nil {
		return errMalformed
	}
	if m.ObjectType == 'P' {
		b.Steps = append(b.Steps, back.Step{Op: back.OpClosePortal, Raw: frame.Append(nil, 'C', body)})
		return nil
	}
	s.forget(m.Name)
	b.Steps = append(b.Steps, back.Step{Op: back.OpCloseStatement})
	return nil
}
