package relay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
)

// sentConn records the requests that are sent. hold is called with each of them.
type sentConn struct {
	sent   []engine.Op
	closed bool
	hold   func(r Request)
}

// Do implements Conn.
func (c *sentConn) Do(r Request, _ time.Duration) (engine.Answer, error) {
	c.sent = append(c.sent, r.Statement.Op)
	if c.hold != nil {
		c.hold(r)
	}
	if c.closed {
		return engine.Answer{}, errors.New("closed")
	}
	return engine.Answer{Outcome: engine.Answered}, nil
}

// DoAll implements Conn.
func (c *sentConn) DoAll(requests []Request, timeout time.Duration) ([]engine.Answer, error) {
	return doEach(c, requests, timeout)
}

// Close implements Conn.
func (c *sentConn) Close() error {
	c.closed = true
	return nil
}

// runAborted runs a call on a connection that is aborted while it runs a
// statement of the given kind.
func runAborted(t *testing.T, call *engine.Call, during engine.Op) (engine.Answer, bool, *sentConn) {
	raw := &sentConn{}
	p := NewGroupPool(t.Context(), "orders", nil, func(sched.Message) {})
	defer func() { _ = p.Close() }()
	p.conns[1] = newEndpointConn(1, "a", raw)
	raw.hold = func(r Request) {
		if r.Statement.Op == during {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.abortConn(1)
		}
	}
	g := grant{conn: p.conns[1]}
	a, _, retry := p.attempt(call, g, processOf("one"), time.Now().Add(time.Minute))
	return a, retry, raw
}

// A write outside a transaction commits. Once it is sent, its answer is waited
// for, because its outcome would be unknown otherwise.
func TestAbortWaitsForCommit(t *testing.T) {
	g := NewWithT(t)
	call := &engine.Call{Phase: engine.Single, Statement: engine.Statement{Op: engine.Write}}
	a, _, _ := runAborted(t, call, engine.Write)
	g.Expect(a.OK()).To(BeTrue())
}

// The time is over while the session's variables are set. The write must not
// follow, and another endpoint may run it.
func TestAbortStopsFurtherRequests(t *testing.T) {
	g := NewWithT(t)
	call := &engine.Call{
		Phase: engine.Single, Statement: engine.Statement{Op: engine.Write},
		Variables: []engine.Variable{{Name: "a", Value: "b"}},
	}
	a, retry, raw := runAborted(t, call, engine.Set)
	g.Expect(raw.sent).To(HaveExactElements(engine.Set))
	g.Expect(a.Outcome).To(Equal(engine.NotRun), "it may be retried")
	g.Expect(a.Reason).To(Equal(engine.Aborted))
	g.Expect(retry).To(BeTrue())
}

// A read is cut and may run at another endpoint.
func TestAbortCutsRead(t *testing.T) {
	g := NewWithT(t)
	call := &engine.Call{Phase: engine.Single, Statement: engine.Statement{Op: engine.Read}}
	a, retry, raw := runAborted(t, call, engine.Read)
	g.Expect(raw.closed).To(BeTrue())
	g.Expect(a.Outcome).To(Equal(engine.NotRun))
	g.Expect(retry).To(BeTrue())
}

// A transaction whose connection was aborted is rolled back by the endpoint when
// the connection closes. No rollback may be sent.
func TestAbortSendsNoRollback(t *testing.T) {
	g := NewWithT(t)
	raw := &sentConn{}
	p := NewGroupPool(t.Context(), "orders", nil, func(sched.Message) {})
	defer func() { _ = p.Close() }()
	c := newEndpointConn(1, "a", raw)
	p.conns[1], p.txs[7] = c, &openTx{conn: c, origin: processOf("one"), busy: true}
	p.mu.Lock()
	p.abortConn(1)
	p.mu.Unlock()
	p.release(c, true)
	g.Expect(raw.sent).To(BeEmpty())
	g.Expect(raw.closed).To(BeTrue())
}
