package relay

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// maxPrepared bounds the prepared statements of one endpoint connection.
const maxPrepared = 256

// errSetup reports that an endpoint refused to take a session's state.
var errSetup = errors.New("endpoint refused the session's state")

// endpointConn is an open connection with what the endpoint knows on it.
type endpointConn struct {
	Conn
	id       sched.ConnID
	endpoint ident.Endpoint
	values   map[string]string
	prepared map[engine.StatementTemplate]string
}

func newEndpointConn(id sched.ConnID, endpoint ident.Endpoint, c Conn) *endpointConn {
	return &endpointConn{
		Conn: c, id: id, endpoint: endpoint,
		values: make(map[string]string), prepared: make(map[engine.StatementTemplate]string),
	}
}

// adopt makes the connection show the session's variables.
func (c *endpointConn) adopt(values []engine.Variable, timeout time.Duration) error {
	if c.hasOthers(values) {
		if err := c.setup(Request{Control: Reset}, timeout); err != nil {
			return err
		}
		clear(c.values)
		clear(c.prepared)
	}
	for _, v := range values {
		if old, ok := c.values[v.Name]; ok && old == v.Value {
			continue
		}
		s := engine.Statement{Op: engine.Set, Name: v.Name, Argument: v.Value}
		if err := c.setup(Request{Statement: s}, timeout); err != nil {
			return err
		}
		c.values[v.Name] = v.Value
	}
	return nil
}

// hasOthers reports whether the connection shows a variable that the session
// has not set.
func (c *endpointConn) hasOthers(values []engine.Variable) bool {
	shared := 0
	for _, v := range values {
		if _, ok := c.values[v.Name]; ok {
			shared++
		}
	}
	return shared < len(c.values)
}

// prepare returns the endpoint's name for a shape. Sessions with the same
// shape share it.
func (c *endpointConn) prepare(shape engine.StatementTemplate, timeout time.Duration) (string, error) {
	if name, ok := c.prepared[shape]; ok {
		return name, nil
	}
	name := "p" + strconv.Itoa(len(c.prepared))
	s := engine.Statement{Op: engine.Prepare, Template: shape}
	if err := c.setup(Request{Statement: s, PreparedName: name}, timeout); err != nil {
		return "", err
	}
	c.prepared[shape] = name
	return name, nil
}

func (c *endpointConn) setup(r Request, timeout time.Duration) error {
	a, err := c.Do(r, timeout)
	if err != nil {
		return errors.Wrap(err, "set up session")
	}
	if !a.OK() {
		return errors.Wrapf(errSetup, "%s", a.Reason)
	}
	return nil
}

// run sends one statement, prepared under the endpoint's own name if need be.
func (c *endpointConn) run(s engine.Statement, after ident.LogPosition, timeout time.Duration) (engine.Answer, error) {
	r := Request{Statement: s, After: after}
	if s.Op == engine.Execute {
		name, err := c.prepare(s.Template, timeout)
		if err != nil {
			return engine.Answer{}, err
		}
		r.PreparedName = name
	}
	return c.Do(r, timeout)
}

// worn reports whether the connection is better closed than used again.
func (c *endpointConn) worn() bool { return len(c.prepared) > maxPrepared }
