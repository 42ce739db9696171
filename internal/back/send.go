package back

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// expect is one answer that the endpoint owes.
type expect struct {
	kind   byte   // the frame that completes it
	hidden bool   // not relayed to the caller
	check  bool   // belongs to the prelude: its error means that nothing ran
	last   bool   // the row of marjoram.last_write()
	own    []byte // sent to the caller in place of an endpoint's frame
	reset  bool   // answers the reset; its error makes the connection useless
	parsed string // the prepared statement whose Parse this answers
	closed string // the prepared statement whose Close this answers
}

const noRowLimit = 0

// encode fills c.buf with the batch and c.expects with the answers it owes.
func (c *Conn) encode(b *Batch, p *Preconditions) error {
	c.buf, c.expects, c.prefix = c.buf[:0], c.expects[:0], 0
	if c.dirty && c.status == 'I' {
		c.reset()
	}
	c.calls = p.calls(c.calls[:0])
	var err error
	if b.Simple != nil {
		err = c.encodeSimple(b.Simple.SQL)
		c.soil(b.Simple)
	} else {
		err = c.encodeSteps(b)
	}
	if err == nil && p.LastWrite {
		err = c.encodeLast()
	}
	return err
}

// soil notes what a statement may leave on the connection. A lock is not kept
// until the reset ahead of the next transaction, which may come much later.
func (c *Conn) soil(t *stmt.Text) {
	c.dirty = c.dirty || t.LeavesState
	c.locked = c.locked || t.LeavesLocks
}

// reset drops the state that an earlier transaction may have left.
func (c *Conn) reset() {
	c.query("DISCARD ALL")
	c.expects = append(c.expects, expect{kind: 'C', hidden: true, reset: true}, expect{kind: 'Z', hidden: true})
	clear(c.prepared)
	c.dirty = false
}

func (c *Conn) encodeSimple(sql string) error {
	var text []byte
	for i := range c.calls {
		text = c.calls[i].text(text)
		c.expects = append(c.expects, expect{kind: 'C', hidden: true, check: true})
	}
	c.prefix = len(text)
	c.query(string(append(text, sql...)))
	c.expects = append(c.expects, expect{kind: 'Z'})
	return nil
}

func (c *Conn) query(sql string) {
	c.buf = frame.Append(c.buf, 'Q', append([]byte(sql), 0))
}

func (c *Conn) encodeSteps(b *Batch) error {
	if b.Runs() {
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

func (c *Conn) encodeLast() error {
	if err := c.encodeCall(&call{name: nameLast, sql: lastWriteSQL}, true); err != nil {
		return err
	}
	return c.sync(true)
}

func (c *Conn) sync(hidden bool) error {
	var err error
	c.buf, err = (&pgproto3.Sync{}).Encode(c.buf)
	c.expects = append(c.expects, expect{kind: 'Z', hidden: hidden})
	return errors.Wrap(err, "encode sync")
}

func (c *Conn) encodeCall(k *call, last bool) error {
	if err := c.prepare(k.name, k.sql, nil); err != nil {
		return err
	}
	if at := len(c.expects) - 1; at >= 0 && c.expects[at].parsed == k.name {
		c.expects[at].check, c.expects[at].last = true, last
	}
	bind := pgproto3.Bind{PreparedStatement: k.name}
	for i := range k.n {
		bind.Parameters = append(bind.Parameters, []byte(k.args[i]))
	}
	var err error
	if c.buf, err = bind.Encode(c.buf); err != nil {
		return errors.Wrap(err, "encode bind")
	}
	if c.buf, err = (&pgproto3.Execute{MaxRows: noRowLimit}).Encode(c.buf); err != nil {
		return errors.Wrap(err, "encode execute")
	}
	c.expects = append(c.expects, expect{kind: '2', hidden: true, check: true, last: last}, expect{kind: 'C', hidden: true, check: true, last: last})
	return nil
}

// prepare makes name known on the connection unless it is already.
func (c *Conn) prepare(name, sql string, types []uint32) error {
	if _, known := c.prepared[name]; known {
		return nil
	}
	if err := c.makeRoom(); err != nil {
		return err
	}
	var err error
	c.buf, err = (&pgproto3.Parse{Name: name, Query: sql, ParameterOIDs: types}).Encode(c.buf)
	if err != nil {
		return errors.Wrap(err, "encode parse")
	}
	c.prepared[name] = struct{}{}
	c.expects = append(c.expects, expect{kind: '1', hidden: true, parsed: name})
	return nil
}

// makeRoom closes one prepared statement of callers when the connection holds
// too many.
func (c *Conn) makeRoom() error {
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
		c.expects = append(c.expects, expect{kind: '3', hidden: true, closed: name})
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
		c.expects = append(c.expects, expect{own: parseComplete})
	case OpForget:
		c.expects = append(c.expects, expect{own: closeComplete})
	case OpBind:
		if err := c.prepare(s.Statement.name, s.Statement.SQL, s.Statement.Types); err != nil {
			return err
		}
		c.soil(&s.Statement.Text)
		c.push(s.Raw, '2')
	case OpDescribe:
		return c.describe(s.Statement)
	case OpPortal:
		c.push(s.Raw, 'T')
	case OpExecute:
		c.push(s.Raw, 'C')
	case OpClose:
		c.push(s.Raw, '3')
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
	c.push(raw, 'T')
	return nil
}

func (c *Conn) push(raw []byte, kind byte) {
	c.buf = append(c.buf, raw...)
	c.expects = append(c.expects, expect{kind: kind})
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)
