package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// This file sends status checks and seals to endpoints, on connections of their
// own.

const (
	// controlTimeout limits one control statement, including the dial.
	controlTimeout = 300 * time.Millisecond
	// controlAccount is the account name on connections that serve no client
	// account.
	controlAccount ident.Account = "-"
	// controlIdleLimit is how long unused control connections stay open.
	controlIdleLimit = 2 * time.Second
)

// errControlRefused marks that an endpoint was too busy for a control statement.
var errControlRefused = errors.New("the endpoint is too busy for a control statement")

// controlConn is a connection for control statements. busy is guarded by the
// runner's mutex. The goroutine that sets it has exclusive use of the
// connection until it clears busy.
type controlConn struct {
	busy bool
	conn Conn
	used time.Time
}

func (c *controlConn) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sendControl sends a control statement without waiting for the answer. The
// caller holds the mutex.
func (rn *groupRunner) sendControl(id ident.Endpoint, r Request, sealed ident.Term) {
	e, ok := rn.endpoints[id]
	if !ok {
		return
	}
	c := rn.conns[id]
	if c == nil {
		c = &controlConn{}
		rn.conns[id] = c
	}
	if c.busy {
		return // the previous statement is unanswered; the elector repeats the command
	}
	sentAt := clock.Now()
	c.busy, c.used = true, sentAt
	rn.tasks.Go(func(ctx context.Context) error {
		report, err := rn.queryEndpoint(ctx, e, c, r)
		rn.mu.Lock()
		c.busy = false
		rn.mu.Unlock()
		refused := errors.Is(err, errControlRefused)
		m := lead.ProbeResult{
			Endpoint: id, SentAt: sentAt, Failed: err != nil && !refused, Refused: refused, IsPrimary: report.IsPrimary,
			Term: report.Term, Received: report.Received, Sealed: sealed != 0,
		}
		if m.Sealed {
			m.SealedTerm = report.SealedTerm
		}
		if err != nil {
			trace.Failure("ControlFailed", err, "Group", rn.group, "Endpoint", id, "Sealing", sealed)
		} else if sealed != 0 {
			trace.Event("Sealed", "Group", rn.group, "Endpoint", id, "Sealing", sealed, "Held", report.SealedTerm, "Term", report.Term, "Received", report.Received, "Leads", report.IsPrimary)
		}
		rn.update(m)
		return nil
	})
}

// queryEndpoint sends one control statement and decodes the report.
func (rn *groupRunner) queryEndpoint(ctx context.Context, e sched.Endpoint, c *controlConn, r Request) (EndpointReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if c.conn == nil {
		conn, err := rn.dialer.Dial(ctx, rn.group, e, controlAccount)
		if err != nil {
			return EndpointReport{}, rn.makeRoom(e.ID, err)
		}
		c.conn = conn
	}
	a, err := c.conn.Do(r, controlTimeout)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return EndpointReport{}, err
	}
	if a.Reason == engine.Overloaded {
		return EndpointReport{}, errors.Mark(errors.Newf("control statement: %s", a.Detail), errControlRefused)
	}
	if !a.OK() || len(a.Rows) == 0 {
		return EndpointReport{}, errors.Newf("control statement: %s %s", a.Reason, a.Detail)
	}
	return rn.decodeReport(a.Rows[0])
}

// makeRoom closes an idle connection of an account at an endpoint that has
// reached its connection limit. It returns the error of the dial, which is then an
// errControlRefused.
func (rn *groupRunner) makeRoom(id ident.Endpoint, err error) error {
	var e *DialError
	if errors.As(err, &e) && e.Result == sched.ConnLimitReached {
		rn.pool.Update(sched.CloseIdleConn{Endpoint: id})
		return errors.Mark(err, errControlRefused)
	}
	return err
}

// checkReach checks for another instance whether this one reaches an endpoint.
func (rn *groupRunner) checkReach(ctx context.Context, id ident.Endpoint) peer.ReachReply {
	m := peer.ReachReply{Group: rn.group, Endpoint: id}
	rn.mu.Lock()
	e, ok := rn.endpoints[id]
	rn.mu.Unlock()
	if !ok {
		return m
	}
	c := &controlConn{}
	defer c.disconnect()
	r, err := rn.queryEndpoint(ctx, e, c, Request{Control: Status})
	m.Reached, m.IsPrimary, m.Term = err == nil, r.IsPrimary, r.Term
	return m
}

// closeIdle closes control connections that are not used any more.
func (rn *groupRunner) closeIdle(now time.Time) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for id, c := range rn.conns {
		if !c.busy && now.Sub(c.used) > controlIdleLimit {
			c.disconnect()
			delete(rn.conns, id)
		}
	}
}
