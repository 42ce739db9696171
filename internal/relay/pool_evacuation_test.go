package relay

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// recorder is a Dialer that records the statements that reach each endpoint and
// what the pool reports of them.
type recorder struct {
	mu       sync.Mutex
	took     time.Duration // duration of each statement
	reason   engine.Reason // of each answer
	state    engine.TxState
	sent     map[ident.Endpoint][]engine.Op
	closed   map[ident.Endpoint]int
	failures []sched.EndpointFailure // other than those of slow statements
}

// recordedConn is a connection of a recorder. Close ends the statement that
// runs, with a lost answer.
type recordedConn struct {
	recorder *recorder
	endpoint ident.Endpoint
	once     sync.Once
	done     chan struct{}
}

func (r *recorder) Dial(_ context.Context, _ ident.Group, e sched.Endpoint, _ ident.Account) (Conn, error) {
	return &recordedConn{recorder: r, endpoint: e.ID, done: make(chan struct{})}, nil
}

func (r *recorder) observe(m sched.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := m.(sched.EndpointFailure); ok && f.Kind != sched.Slow {
		r.failures = append(r.failures, f)
	}
}

// ops returns the statements that were sent to an endpoint so far.
func (r *recorder) ops(id ident.Endpoint) []engine.Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sent[id])
}

// closes returns how many connections to an endpoint were closed.
func (r *recorder) closes(id ident.Endpoint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed[id]
}

// failed returns the failures that the pool has reported.
func (r *recorder) failed() []sched.EndpointFailure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.failures)
}

// slow sets the duration of each later statement.
func (r *recorder) slow(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = took
}

func (c *recordedConn) DoAll(requests []Request, timeout time.Duration) ([]engine.Answer, error) {
	return doEach(c, requests, timeout)
}

func (c *recordedConn) Do(q Request, _ time.Duration) (engine.Answer, error) {
	c.recorder.mu.Lock()
	c.recorder.sent[c.endpoint] = append(c.recorder.sent[c.endpoint], q.Statement.Op)
	took, reason, state := c.recorder.took, c.recorder.reason, c.recorder.state
	c.recorder.mu.Unlock()
	select {
	case <-c.done:
		return engine.Answer{}, errors.New("connection closed")
	case <-time.After(took):
	}
	return engine.Answer{Outcome: engine.Answered, Reason: reason, State: state, Position: ident.LogPosition{Term: 1, Position: 9}}, nil
}

func (c *recordedConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.recorder.mu.Lock()
		defer c.recorder.mu.Unlock()
		c.recorder.closed[c.endpoint]++
	})
	return nil
}

const testEvacuationTime = 3500 * time.Millisecond

// evacuatedPool runs a test with a pool whose primary is a. Each statement takes
// the given time.
func evacuatedPool(t *testing.T, took time.Duration, test func(g *WithT, p *GroupPool, r *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		r := &recorder{took: took, sent: make(map[ident.Endpoint][]engine.Op), closed: make(map[ident.Endpoint]int)}
		p := NewGroupPool(t.Context(), "db", r, r.observe)
		p.Update(sched.Ownership{Owner: true})
		p.Update(sched.Limits{MaxConns: 16, EvacuationTime: testEvacuationTime})
		p.Update(sched.Directory{Endpoints: poolEndpoints(false)})
		p.Update(sched.Primary{Endpoint: "a", Usable: true})
		test(g, p, r)
		g.Expect(p.Close()).To(Succeed())
	})
}

// poolEndpoints returns the endpoints a and b, with a evacuated or not.
func poolEndpoints(evacuated bool) []sched.Endpoint {
	return []sched.Endpoint{{ID: "a", DataCentre: "west", Slots: 2, Evacuated: evacuated}, {ID: "b", DataCentre: "east", Slots: 2}}
}

// evacuate evacuates a and waits until its time is over.
func evacuate(p *GroupPool) {
	p.Update(sched.Directory{Endpoints: poolEndpoints(true)})
	time.Sleep(testEvacuationTime)
	p.Tick(clock.Now())
	synctest.Wait()
}

// begin opens a transaction at the primary.
func begin(g *WithT, p *GroupPool) engine.TxID {
	a, tx := p.Run(context.Background(), processOf("i"), &engine.Call{
		Group: "db", Phase: engine.First, PrimaryOnly: true, Timeout: time.Second,
		Begin: engine.Statement{Op: engine.Begin}, Statement: engine.Statement{Op: engine.Write},
	})
	g.Expect(a.OK()).To(BeTrue())
	g.Expect(tx).NotTo(BeZero())
	return tx
}

// next returns the call for a further statement of a transaction. Its timeout is
// longer than EvacuationTime, so that it is in flight when that is over.
func next(tx engine.TxID, op engine.Op) *engine.Call {
	return &engine.Call{Group: "db", Phase: engine.Next, Tx: tx, PrimaryOnly: true, Timeout: time.Minute, Statement: engine.Statement{Op: op}}
}

// An open transaction ends when the time of its endpoint is over. Not even a
// rollback may be sent then, because the endpoint rolls back by itself.
func TestEvacuationEndsIdleTransaction(t *testing.T) {
	evacuatedPool(t, time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		tx := begin(g, p)
		before := r.ops("a")
		evacuate(p)
		g.Expect(p.OpenTransactions()).To(BeZero())
		g.Expect(r.closes("a")).To(Equal(1))
		a, _ := p.Run(context.Background(), processOf("i"), next(tx, engine.Write))
		g.Expect(a.Reason).To(Equal(engine.Aborted))
		g.Expect(r.ops("a")).To(Equal(before))
		g.Expect(r.failed()).To(BeEmpty())
	})
}

// runInBackground runs a call and returns the channel of its answer.
func runInBackground(p *GroupPool, call *engine.Call) <-chan engine.Answer {
	answered := make(chan engine.Answer, 1)
	p.tasks.Go(func(ctx context.Context) error {
		a, _ := p.Run(ctx, processOf("i"), call)
		answered <- a
		return nil
	})
	return answered
}

// A statement of a transaction that runs when the time is over is aborted. The
// endpoint did not fail, so the primary must not be suspected.
func TestEvacuationAbortsRunningStatement(t *testing.T) {
	evacuatedPool(t, 300*time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		tx := begin(g, p)
		r.slow(time.Minute)
		answered := runInBackground(p, next(tx, engine.Write))
		synctest.Wait()
		evacuate(p)
		a := <-answered
		g.Expect(a.Outcome).To(Equal(engine.NotRun))
		g.Expect(a.Reason).To(Equal(engine.Aborted))
		g.Expect(a.State).To(Equal(engine.FailedTx))
		g.Expect(r.failed()).To(BeEmpty())
		g.Expect(p.idle()).To(BeTrue())
	})
}

// A commit in flight is waited for, or its caller would not know whether it took
// effect. The connection closes after it.
func TestEvacuationWaitsForCommit(t *testing.T) {
	evacuatedPool(t, 300*time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		tx := begin(g, p)
		r.slow(testEvacuationTime + time.Second)
		answered := runInBackground(p, next(tx, engine.Commit))
		synctest.Wait()
		before := r.ops("a")
		evacuate(p)
		g.Expect(r.closes("a")).To(BeZero())
		a := <-answered
		g.Expect(a.OK()).To(BeTrue())
		synctest.Wait()
		g.Expect(r.closes("a")).To(Equal(1))
		g.Expect(r.ops("a")).To(Equal(before))
		g.Expect(p.idle()).To(BeTrue())
	})
}

// A commit in flight fails when the time is over. The transaction is not rolled
// back by a further statement, as it is otherwise.
func TestEvacuationSendsNoRollback(t *testing.T) {
	evacuatedPool(t, time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		tx := begin(g, p)
		r.mu.Lock()
		r.took, r.reason = testEvacuationTime+time.Second, engine.Failed
		r.mu.Unlock()
		answered := runInBackground(p, next(tx, engine.Commit))
		synctest.Wait()
		evacuate(p)
		g.Expect((<-answered).Reason).To(Equal(engine.Failed))
		synctest.Wait()
		g.Expect(r.closes("a")).To(Equal(1))
		g.Expect(r.ops("a")).NotTo(ContainElement(engine.Rollback))
	})
}

// A commit that follows when the time is over is not sent. Its caller is told so
// and not that the outcome is unknown.
func TestEvacuationAbortsCommitThatWasNotSent(t *testing.T) {
	evacuatedPool(t, time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		tx := begin(g, p)
		open := p.resumeTx(processOf("i"), tx)
		evacuate(p)
		open.conn.committing.Store(true)
		_, err := open.conn.run(engine.Statement{Op: engine.Commit}, ident.LogPosition{}, clock.Now().Add(time.Second))
		g.Expect(err).To(MatchError(errAborted))
		a := p.lost(next(tx, engine.Commit), open.conn, err, 0)
		g.Expect(a.Outcome).To(Equal(engine.NotRun))
		g.Expect(a.Reason).To(Equal(engine.Aborted))
		g.Expect(r.ops("a")).NotTo(ContainElement(engine.Commit))
	})
}

// A read outside a transaction runs elsewhere when its endpoint's time is over
// before the answer. A read that must be current consists of two requests, of
// which the second one must not be sent any more.
func TestEvacuationMovesRunningRead(t *testing.T) {
	evacuatedPool(t, 300*time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		p.Update(sched.Directory{Endpoints: poolEndpoints(true)})
		time.Sleep(testEvacuationTime - 200*time.Millisecond)
		answered := runInBackground(p, &engine.Call{
			Group: "db", Phase: engine.Single, PrimaryOnly: true, Timeout: 3 * time.Second, Statement: engine.Statement{Op: engine.Read},
		})
		time.Sleep(200 * time.Millisecond)
		p.Tick(clock.Now())
		synctest.Wait()
		r.slow(time.Millisecond)
		p.Update(sched.Primary{Endpoint: "b", Usable: true})
		a := <-answered
		g.Expect(a.OK()).To(BeTrue())
		g.Expect(a.Endpoint).To(Equal(ident.Endpoint("b")))
		g.Expect(r.ops("a")).To(Equal([]engine.Op{engine.Begin}))
		g.Expect(r.failed()).To(BeEmpty())
	})
}

// The process is frozen while the first request of a call runs, so that no Tick
// notices that the time is over. The next request must not follow it to the
// endpoint, neither after the session's variables nor after the begin.
func TestFrozenPoolSendsNoLateStatement(t *testing.T) {
	for first, variables := range map[engine.Op][]engine.Variable{
		engine.Begin: nil,
		engine.Set:   {{Name: "a", Value: "b"}},
	} {
		evacuatedPool(t, 2*time.Second, func(g *WithT, p *GroupPool, r *recorder) {
			p.Update(sched.Directory{Endpoints: poolEndpoints(true)})
			time.Sleep(testEvacuationTime - 100*time.Millisecond)
			answered := runInBackground(p, &engine.Call{
				Group: "db", Phase: engine.First, PrimaryOnly: true, Timeout: 5 * time.Second, Variables: variables,
				Begin: engine.Statement{Op: engine.Begin}, Statement: engine.Statement{Op: engine.Write},
			})
			time.Sleep(2100 * time.Millisecond)
			g.Expect(r.ops("a")).To(Equal([]engine.Op{first}))
			r.slow(time.Millisecond)
			p.Update(sched.Primary{Endpoint: "b", Usable: true})
			a := <-answered
			g.Expect(a.OK()).To(BeTrue())
			g.Expect(a.Endpoint).To(Equal(ident.Endpoint("b")))
			g.Expect(r.failed()).To(BeEmpty())
		})
	}
}

// An endpoint without a free slot refuses a statement of a transaction, and the
// process is frozen meanwhile. The statement must not be sent again.
func TestFrozenPoolSendsNoStatementAgain(t *testing.T) {
	evacuatedPool(t, time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		tx := begin(g, p)
		before := r.ops("a")
		p.Update(sched.Directory{Endpoints: poolEndpoints(true)})
		time.Sleep(testEvacuationTime - 100*time.Millisecond)
		r.mu.Lock()
		r.took, r.reason, r.state = 2*time.Second, engine.Overloaded, engine.InTx
		r.mu.Unlock()
		a, _ := p.Run(context.Background(), processOf("i"), next(tx, engine.Write))
		g.Expect(r.ops("a")).To(Equal(append(before, engine.Write)))
		g.Expect(a.Outcome).To(Equal(engine.NotRun))
		g.Expect(a.Reason).To(Equal(engine.Aborted))
		g.Expect(a.State).To(Equal(engine.FailedTx))
		g.Expect(r.failed()).To(BeEmpty())
		g.Expect(p.idle()).To(BeTrue())
	})
}

// The time passes without a Tick before the session's variables are set, or
// before a transaction is rolled back. Neither request may be sent.
func TestFrozenPoolSendsNoSetupOrRollback(t *testing.T) {
	evacuatedPool(t, time.Millisecond, func(g *WithT, p *GroupPool, r *recorder) {
		rolledBack, open := p.resumeTx(processOf("i"), begin(g, p)), p.resumeTx(processOf("i"), begin(g, p))
		before := r.ops("a")
		p.Update(sched.Directory{Endpoints: poolEndpoints(true)})
		time.Sleep(testEvacuationTime)
		p.release(rolledBack.conn, true)
		synctest.Wait()
		variables := []engine.Variable{{Name: "a", Value: "b"}}
		err := open.conn.setUp(variables, engine.Statement{Op: engine.Write}, clock.Now().Add(time.Second))
		g.Expect(err).To(MatchError(errAborted))
		g.Expect(r.ops("a")).To(Equal(before))
	})
}
