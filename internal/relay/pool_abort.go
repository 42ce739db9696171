package relay

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
)

// evacuatedRefusals counts the calls and transactions that were refused or ended
// because of an evacuation.
var evacuatedRefusals = metrics.GetOrCreateCounter("marjoram_evacuated_refusals_total")

// errEvacuated reports that a request was not sent, because nothing more may
// reach the endpoint. It is an errSetup.
var errEvacuated = errors.Mark(errors.New("the data centre of the endpoint is evacuated"), errSetup)

// evacuatedDetail is the detail of the answer for the caller.
const evacuatedDetail = "the data centre of the endpoint is being evacuated"

// abortConn ends what uses a connection, because nothing more may be sent to its
// endpoint. The endpoint rolls back when the connection closes. A commit that was
// sent is waited for. The caller holds the mutex.
func (p *GroupPool) abortConn(id sched.ConnID) {
	c := p.conns[id]
	if c == nil {
		return
	}
	trace.Event("ConnAborted", "Group", p.group, "Endpoint", c.endpoint, "Why", "Evacuated")
	for tx, t := range p.txs {
		if t.conn == c && !t.busy {
			evacuatedRefusals.Inc()
			delete(p.txs, tx)
			p.removeConn(id) // the scheduler has forgotten it
			return
		}
	}
	if c.abort() {
		_ = c.Close()
	}
}

// abort makes the connection refuse further requests. It reports whether the
// connection may be closed, because no commit is in flight.
func (c *endpointConn) abort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	return !c.committing
}

func (c *endpointConn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// admit reports whether a request may be sent, and records whether it is one
// whose effect is unknown when its answer is lost.
func (c *endpointConn) admit(commits bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return errEvacuated
	}
	c.committing = commits
	return nil
}

// isCommitting reports whether the latest request may commit.
func (c *endpointConn) isCommitting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.committing
}

// abortedAnswer returns the answer to a call whose connection was aborted, and
// whether another endpoint may run the call. cause is why there is no answer. A
// call whose commit was not sent has no effect.
func (p *GroupPool) abortedAnswer(call *engine.Call, c *endpointConn, cause error) (a engine.Answer, retry bool) {
	p.discardConn(c)
	a = call.LostAnswer(evacuatedDetail)
	unsent := errors.Is(cause, errEvacuated) || !c.isCommitting()
	if unsent {
		state := a.State
		a = engine.Refuse(engine.Aborted, 0, evacuatedDetail)
		a.State = state
	}
	a.Endpoint = c.endpoint
	retry = unsent && call.Phase != engine.Next
	if !retry {
		evacuatedRefusals.Inc()
	}
	return a, retry
}

// countEvacuated counts a rejection while endpoints of the group are evacuated.
// The caller holds the mutex.
func (p *GroupPool) countEvacuated(r engine.Reason) {
	if p.evacuated && (r == engine.NoPrimary || r == engine.NoEndpoint) {
		evacuatedRefusals.Inc()
	}
}

// SetEndpoints replaces the endpoints of the group.
func (p *GroupPool) SetEndpoints(all []sched.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = slices.ContainsFunc(all, func(e sched.Endpoint) bool { return e.Evacuated })
	p.update(clock.Now(), sched.Directory{Endpoints: all})
}
