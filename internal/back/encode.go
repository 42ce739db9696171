package back

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// expected is one answer that is expected from the endpoint.
type expected struct {
	kind      byte   // the kind of frame that completes it
	hidden    bool   // not relayed to the caller
	check     bool   // belongs to the preconditions: its error means that nothing ran
	lastWrite bool   // belongs to the call of marjoram.last_write()
	local     []byte // frame that the proxy sends itself; nothing is expected from the endpoint
	reset     bool   // answers DISCARD ALL: its error makes the connection unusable
	parsed    string // the prepared statement whose Parse this answers
	closed    string // the prepared statement whose Close this answers
}

const noRowLimit = 0

// encode fills c.buf with the messages of the batch and c.expected with the
// answers to them.
func (c *Conn) encode(b *Batch, p *Preconditions) error {
	c.buf, c.expected, c.prefixBytes = c.buf[:0], c.expected[:0], 0
	if c.dirty && c.status == 'I' {
		c.reset()
	}
	c.calls = p.calls(c.calls[:0])
	var err error
	if b.Simple != nil {
		err = c.encodeSimple(b.Simple.SQL)
		c.trackState(b.Simple)
	} else {
		err = c.encodeSteps(b)
	}
	if err == nil && p.LastWrite {
		err = c.encodeLastWrite()
	}
	return err
}

// trackState records which state a statement may leave on the connection.
// Settings are reset before the next transaction. A session lock must not be
// held until then, which may be much later, so it makes the connection unclean.
func (c *Conn) trackState(t *stmt.Text) {
	c.dirty = c.dirty || t.LeavesState
	c.holdsLocks = c.holdsLocks || t.LeavesLocks
}

// reset discards the state that an earlier transaction may have left.
func (c *Conn) reset() {
	c.query("DISCARD ALL")
	c.expected = append(c.expected, expected{kind: 'C', hidden: true, reset: true}, expected{kind: 'Z', hidden: true})
	clear(c.prepared)
	c.dirty = false
}

func (c *Conn) encodeSimple(sql string) error {
	var text []byte
	for i := range c.calls {
		text = c.calls[i].appendText(text)
		c.expected = append(c.expected, expected{kind: 'C', hidden: true, check: true})
	}
	c.prefixBytes = len(text)
	c.query(string(append(text, sql...)))
	c.expected = append(c.expected, expected{kind: 'Z'})
	return nil
}

func (c *Conn) query(sql string) {
	c.buf = frame.Append(c.buf, 'Q', append([]byte(sql), 0))
}

func (c *Conn) encodeSteps(b *Batch) error {
	if b.Executes() {
		for i := range c.calls {
			if err := c.encodeCall(&c.calls[i], false); err != nil {
				return err
			}
		}
	}
	for i := range b.Steps {
		if err := c.encodeStep(&b.Steps[i]); err != nil {
			return err
		}
	}
	return c.sync(false)
}

func (c *Conn) encodeLastWrite() error {
	if err := c.encodeCall(&call{name: nameLastWrite, sql: lastWriteSQL}, true); err != nil {
		return err
	}
	return c.sync(true)
}

func (c *Conn) sync(hidden bool) error {
	var err error
	c.buf, err = (&pgproto3.Sync{}).Encode(c.buf)
	c.expected = append(c.expected, expected{kind: 'Z', hidden: hidden})
	return errors.Wrap(err, "encode sync")
}

func (c *Conn) encodeCall(k *call, last bool) error {
	if err := c.prepare(k.name, k.sql, nil); err != nil {
		return err
	}
	if at := len(c.expected) - 1; at >= 0 && c.expected[at].parsed == k.name {
		c.expected[at].check, c.expected[at].lastWrite = true, last
	}
	bind := pgproto3.Bind{PreparedStatement: k.name}
	for i := range k.argCount {
		bind.Parameters = append(bind.Parameters, []byte(k.args[i]))
	}
	var err error
	if c.buf, err = bind.Encode(c.buf); err != nil {
		return errors.Wrap(err, "encode bind")
	}
	if c.buf, err = (&pgproto3.Execute{MaxRows: noRowLimit}).Encode(c.buf); err != nil {
		return errors.Wrap(err, "encode execute")
	}
	c.expected = append(c.expected, expected{kind: '2', hidden: true, check: true, lastWrite: last}, expected{kind: 'C', hidden: true, check: true, lastWrite: last})
	return nil
}

// prepare sends a Parse for name unless it is already prepared on the
// connection.
func (c *Conn) prepare(name, sql string, types []uint32) error {
	if _, known := c.prepared[name]; known {
		return nil
	}
	if err := c.evictPrepared(); err != nil {
		return err
	}
	var err error
	c.buf, err = (&pgproto3.Parse{Name: name, Query: sql, ParameterOIDs: types}).Encode(c.buf)
	if err != nil {
		return errors.Wrap(err, "encode parse")
	}
	c.prepared[name] = struct{}{}
	c.expected = append(c.expected, expected{kind: '1', hidden: true, parsed: name})
	return nil
}

// evictPrepared closes an arbitrary prepared statement when the connection holds
// maxPrepared of them.
func (c *Conn) evictPrepared() error {
	if len(c.prepared) < maxPrepared {
		return nil
	}
	for name := range c.prepared {
		var err error
		c.buf, err = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(c.buf)
		if err != nil {
			return errors.Wrap(err, "encode close")
		}
		delete(c.prepared, name)
		c.expected = append(c.expected, expected{kind: '3', hidden: true, closed: name})
		return nil
	}
	return nil
}

func (c *Conn) encodeStep(s *Step) error {
	switch s.Op {
	case OpParse:
		if err := c.prepare(s.Statement.name, s.Statement.SQL, s.Statement.Types); err != nil {
			return err
		}
		c.expected = append(c.expected, expected{local: parseComplete})
	case OpCloseStatement:
		c.expected = append(c.expected, expected{local: closeComplete})
	case OpBind:
		if err := c.prepare(s.Statement.name, s.Statement.SQL, s.Statement.Types); err != nil {
			return err
		}
		c.trackState(&s.Statement.Text)
		c.appendRaw(s.Raw, '2')
	case OpDescribe:
		return c.describe(s.Statement)
	case OpDescribePortal:
		c.appendRaw(s.Raw, 'T')
	case OpExecute:
		c.appendRaw(s.Raw, 'C')
	case OpClosePortal:
		c.appendRaw(s.Raw, '3')
	}
	return nil
}

func (c *Conn) describe(s *Prepared) error {
	if err := c.prepare(s.name, s.SQL, s.Types); err != nil {
		return err
	}
	raw, err := (&pgproto3.Describe{ObjectType: 'S', Name: s.name}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode describe")
	}
	c.appendRaw(raw, 'T')
	return nil
}

func (c *Conn) appendRaw(raw []byte, kind byte) {
	c.buf = append(c.buf, raw...)
	c.expected = append(c.expected, expected{kind: kind})
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)
