package relay

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// maxPrepared limits the prepared statements of one endpoint connection.
const maxPrepared = 256

// errSetup reports that a statement was not sent, because the session's state
// could not be applied at the endpoint.
var errSetup = errors.New("statement not sent")

// endpointConn is an open connection and the session state that the endpoint
// holds for it.
type endpointConn struct {
	Conn
	id        sched.ConnID
	endpoint  ident.Endpoint
	variables map[string]string
	prepared  map[engine.StatementTemplate]string
	setups    int // number of exchanges that set up a session's state
	// aborted is set when nothing more may be sent. committing is set before a
	// call that may commit is sent. Each is set before the other one is read, so
	// a commit is either not sent or waited for.
	aborted    atomic.Bool
	committing atomic.Bool
	// mayUse reports whether a request may be sent now. It is asked before each
	// one, because no Tick sets aborted while the process is frozen.
	mayUse func() bool
}

func newEndpointConn(id sched.ConnID, endpoint ident.Endpoint, c Conn) *endpointConn {
	return &endpointConn{
		Conn: c, id: id, endpoint: endpoint,
		variables: make(map[string]string), prepared: make(map[engine.StatementTemplate]string),
		mayUse: func() bool { return true },
	}
}

// setUp sets the session's variables on the connection and prepares the
// statement, by the deadline of the call. All requests are sent together, which
// takes one round trip. None of them reads or changes data, so nothing has run
// if one of them fails.
func (c *endpointConn) setUp(variables []engine.Variable, s engine.Statement, deadline time.Time) error {
	var requests []Request
	if c.hasStaleVariables(variables) {
		requests = append(requests, Request{Control: Reset})
		clear(c.variables)
		clear(c.prepared)
	}
	for _, v := range variables {
		if old, ok := c.variables[v.Name]; ok && old == v.Value {
			continue
		}
		requests = append(requests, Request{Statement: engine.Statement{Op: engine.Set, Name: v.Name, Argument: v.Value}})
		c.variables[v.Name] = v.Value
	}
	if _, known := c.prepared[s.Template]; s.Op == engine.Execute && !known {
		name := "p" + strconv.Itoa(len(c.prepared))
		prepare := engine.Statement{Op: engine.Prepare, Template: s.Template}
		requests = append(requests, Request{Statement: prepare, PreparedName: name})
		c.prepared[s.Template] = name
	}
	return c.sendSetup(requests, deadline)
}

// hasStaleVariables reports whether a variable is set on the connection that
// the session has not set.
func (c *endpointConn) hasStaleVariables(variables []engine.Variable) bool {
	shared := 0
	for _, v := range variables {
		if _, ok := c.variables[v.Name]; ok {
			shared++
		}
	}
	return shared < len(c.variables)
}

// sendSetup sends the requests of setUp. After an error the connection must not
// be used again, because the endpoint's state is not known.
func (c *endpointConn) sendSetup(requests []Request, deadline time.Time) error {
	if len(requests) == 0 {
		return nil
	}
	c.setups++
	left, err := c.sendTimeout(deadline)
	if err != nil {
		return err
	}
	answers, err := c.DoAll(requests, left)
	if err != nil {
		return errors.Wrap(err, "set up session")
	}
	for _, a := range answers {
		if !a.OK() {
			return errors.Wrapf(errSetup, "%s", a.Reason)
		}
	}
	return nil
}

// run sends one statement. An Execute runs under the endpoint's name of the
// prepared statement, which setUp has prepared.
func (c *endpointConn) run(s engine.Statement, after ident.LogPosition, deadline time.Time) (engine.Answer, error) {
	r := Request{Statement: s, After: after}
	if s.Op == engine.Execute {
		r.PreparedName = c.prepared[s.Template]
	}
	return c.exchange(r, deadline)
}

// exchange sends one request, unless the deadline has passed or nothing more may
// be sent on the connection.
func (c *endpointConn) exchange(r Request, deadline time.Time) (engine.Answer, error) {
	left, err := c.sendTimeout(deadline)
	if err != nil {
		return engine.Answer{}, err
	}
	return c.Do(r, left)
}

// sendTimeout returns the time until the deadline, for a request that is sent now.
// It returns an error if the deadline has passed or nothing more may be sent on the
// connection.
func (c *endpointConn) sendTimeout(deadline time.Time) (time.Duration, error) {
	if !c.mayUse() || c.aborted.Load() {
		return 0, errAborted
	}
	left := deadline.Sub(clock.Now())
	if left <= 0 {
		return 0, errors.Wrap(errSetup, "no time is left for the request")
	}
	return left, nil
}

// exhausted reports whether the connection holds too many prepared statements
// and should be closed.
func (c *endpointConn) exhausted() bool { return len(c.prepared) > maxPrepared }
