package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
)

// errAborted reports that a request was not sent, because nothing more may be
// sent to the endpoint.
var errAborted = errors.Wrap(errSetup, "connection aborted")

// mayUse reports whether a request may be sent on a connection now. If the time
// limit of its evacuated endpoint has passed, the scheduler aborts all connections
// to the endpoint, as it does on a Tick.
func (p *GroupPool) mayUse(id sched.ConnID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if p.scheduler.MayUse(now, id) {
		return true
	}
	p.update(now, sched.Tick{})
	return false
}

// abortConn ends what runs on a connection whose endpoint may not be used any
// more. The endpoint rolls back when the connection closes, so no rollback is
// sent. Only a commit in flight keeps the connection open until its answer. The
// caller holds the mutex.
func (p *GroupPool) abortConn(id sched.ConnID) {
	c := p.conns[id]
	if c == nil {
		return
	}
	c.aborted.Store(true)
	trace.Event("ConnAborted", "Group", p.group, "Endpoint", c.endpoint, "Committing", c.committing.Load())
	for tx, t := range p.txs {
		if t.conn == c && !t.busy {
			evacuatedRefusals.Inc()
			delete(p.txs, tx)
			p.removeConn(id)
			return
		}
	}
	if !c.committing.Load() {
		_ = c.Close()
	}
}

// abortedAnswer returns the answer to a call whose connection was aborted. It
// reports false if the answer to the call was lost for another reason.
func (p *GroupPool) abortedAnswer(call *engine.Call, c *endpointConn, err error, took time.Duration) (engine.Answer, bool) {
	if !c.aborted.Load() || c.committing.Load() && !errors.Is(err, errAborted) {
		return engine.Answer{}, false
	}
	p.discardConn(c)
	trace.Event("CallAborted", "Group", p.group, "Endpoint", c.endpoint, "Request", call.Statement.ID, "Took", took.String(), "Why", err.Error())
	const detail = "the endpoint may not be used any more"
	a := call.LostAnswer(detail)
	if call.MayCommit() {
		a = engine.Refuse(engine.Aborted, 0, detail) // the commit was not sent
	}
	a.Endpoint = c.endpoint
	if !call.Repeatable() {
		evacuatedRefusals.Inc()
	}
	return a, true
}
