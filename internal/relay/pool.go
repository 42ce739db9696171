package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// maxTries limits the endpoints that one call is tried at.
	maxTries = 4
	// dialTimeout covers several round trips and the wait for a slot.
	dialTimeout = 400 * time.Millisecond
	// rollbackTimeout limits the rollback of an ended transaction.
	rollbackTimeout = 500 * time.Millisecond
	// firstReadTimeout limits the first try of a repeatable read.
	firstReadTimeout = 400 * time.Millisecond
	// overdueTime is how long a statement may run before the primary is probed.
	// Nearly all statements are faster.
	overdueTime = 150 * time.Millisecond
	// saturatedPause is the pause before a statement of an open transaction is
	// sent again to an endpoint without a free slot.
	saturatedPause = 10 * time.Millisecond
)

// grant is the result of a waiting call: a connection or a rejection.
type grant struct {
	sched.Grant
	conn   *endpointConn
	reject *sched.Reject
}

// openTx is a connection with an open transaction.
type openTx struct {
	conn   *endpointConn
	origin ident.Process // of the session
	busy   bool
	wrote  bool // one of its statements changed data
	ended  bool // roll back once the current statement is done
	used   time.Time
}

// GroupPool holds the endpoint connections of one group.
type GroupPool struct {
	group   ident.Group
	dialer  Dialer
	tasks   *tasks.Group
	observe func(sched.Message)

	mu          sync.Mutex
	scheduler   *sched.Scheduler
	conns       map[sched.ConnID]*endpointConn
	waiting     map[sched.WaiterID]chan grant
	txs         map[engine.TxID]*openTx
	lastWaiter  sched.WaiterID
	lastTx      engine.TxID
	idleTxLimit time.Duration
	abandoned   bool
	gauges      queueGauges
	evacuated   bool      // an endpoint is in an evacuated data centre
	failingLog  reportLog // of the primary that fails most calls
	laggingLog  reportLog // of the replicas that lag
	// hadEjections is set once an endpoint of the group was ejected.
	hadEjections bool

	commitUncertain func(t ident.Term) bool
}

// NewGroupPool returns a pool without endpoints. It calls observe, without
// holding a lock, with what the answers proved about endpoints. Tick has to be
// called regularly.
func NewGroupPool(ctx context.Context, group ident.Group, d Dialer, observe func(sched.Message), opts ...PoolOption) *GroupPool {
	p := &GroupPool{
		group: group, dialer: d, tasks: tasks.New(ctx), observe: observe,
		scheduler: sched.New(),
		conns:     make(map[sched.ConnID]*endpointConn),
		waiting:   make(map[sched.WaiterID]chan grant),
		txs:       make(map[engine.TxID]*openTx),

		commitUncertain: func(ident.Term) bool { return false },
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// PoolOption changes how a pool behaves.
type PoolOption func(p *GroupPool)

// WithCommitCheck sets how the pool finds out whether a commit that was
// acknowledged in a term may be dropped by a change of primary. The check is
// called without a lock.
func WithCommitCheck(uncertain func(t ident.Term) bool) PoolOption {
	return func(p *GroupPool) { p.commitUncertain = uncertain }
}

// Update sends a message to the group's scheduler.
func (p *GroupPool) Update(m sched.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(clock.Now(), m)
}

// SetIdleTx sets how long a transaction may stay idle between statements.
func (p *GroupPool) SetIdleTx(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTxLimit = limit
}

// OpenTransactions returns how many transactions hold a connection.
func (p *GroupPool) OpenTransactions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.txs)
}

// Abandon ends the statements that run at endpoints, with a lost answer. It says
// nothing about the endpoints.
func (p *GroupPool) Abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// Close closes all connections and waits for the goroutines.
func (p *GroupPool) Close() error {
	err := p.tasks.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	if p.hadEjections {
		p.ejectedGauge().Set(0)
	}
	return err
}

// Run runs a call for a session of the process origin. It returns the
// transaction that now holds a connection, or zero. A transaction serves the process
// that opened it only.
func (p *GroupPool) Run(ctx context.Context, origin ident.Process, call *engine.Call) (engine.Answer, engine.TxID) {
	switch call.Phase {
	case engine.Next:
		return p.next(origin, call)
	case engine.End:
		p.rollbackOf(origin, call.Tx)
		return engine.Answer{Outcome: engine.Answered}, 0
	}
	return p.start(ctx, origin, call)
}

// start tries a call that is outside a transaction, or opens one, at several
// endpoints until one of them runs it.
func (p *GroupPool) start(ctx context.Context, origin ident.Process, call *engine.Call) (engine.Answer, engine.TxID) {
	deadline := clock.Now().Add(call.Timeout)
	var avoid []ident.Endpoint
	var waited time.Duration
	last := engine.Refuse(engine.Overloaded, saturatedPause, "no endpoint ran the statement")
	for try := 1; try <= maxTries; try++ {
		g := p.acquire(ctx, call, avoid, deadline)
		if g.reject != nil {
			a := engine.Refuse(g.reject.Reason, g.reject.RetryIn, g.reject.Detail)
			a.Waited, a.Tries = waited+g.reject.Waited, try-1
			return a, 0
		}
		waited += g.Waited
		a, tx, retry := p.attempt(call, g, origin, deadline)
		a.Waited, a.FloorAge, a.Tries, a.Endpoint = waited, g.FloorAge, try, g.Endpoint
		if !retry || clock.Now().After(deadline) {
			return a, tx
		}
		avoid = append(avoid, g.Endpoint)
		last = a
	}
	return last, 0
}

// exchange describes one request and its answer.
type exchange struct {
	began      time.Time
	took       time.Duration
	wasPrimary bool // the endpoint proved that it is the primary
	wrote      bool // the answer acknowledges a commit
	kind       sched.CallKind
	roundTrips int // see roundTrips
}

// attempt runs a call on a granted connection. retry is set when nothing of the
// call took effect and another endpoint may run it.
func (p *GroupPool) attempt(call *engine.Call, g grant, origin ident.Process, deadline time.Time) (a engine.Answer, tx engine.TxID, retry bool) {
	began, kind := clock.Now(), sched.KindOf(call)
	if firstTry := began.Add(firstReadTimeout); call.Repeatable() && firstTry.Before(deadline) {
		deadline = firstTry
	}
	g.conn.committing.Store(call.MayCommit())
	setups := g.conn.setups
	a, err := p.send(call, g, deadline)
	trips := roundTrips(call, g.VerifyPrimary, g.conn.setups != setups)
	took := clock.Now().Sub(began)
	p.reportOutcome(call, g.Endpoint, a, err)
	if err != nil {
		lost := p.lost(call, g.conn, err, took)
		if errors.Is(err, errSetup) {
			lost = engine.Refuse(engine.Aborted, saturatedPause, "the statement was not sent to the endpoint")
		}
		return lost, 0, call.Repeatable() || errors.Is(err, errSetup)
	}
	if a.OK() && call.Phase == engine.First && call.Statement.Op != engine.Commit {
		p.observed(g.Endpoint, exchange{began: began, took: took, wasPrimary: g.VerifyPrimary, kind: kind, roundTrips: trips}, a)
		return a, p.holdTx(g.conn, origin, call.Statement.Writes()), false
	}
	p.release(g.conn, a.State != engine.Idle)
	if a.Outcome == engine.NotRun {
		p.observed(g.Endpoint, exchange{began: began, took: took}, a)
		f := failureOf(g.Endpoint, a.Reason)
		p.Update(f)
		p.observe(f)
		return a, 0, true
	}
	wrote := call.Phase == engine.Single && call.Statement.Writes()
	a = p.confirmCommit(a, wrote)
	p.observed(g.Endpoint, exchange{began: began, took: took, wasPrimary: g.VerifyPrimary || wrote, wrote: wrote, kind: kind, roundTrips: trips}, a)
	return a, 0, a.Reason == engine.Failed && call.Phase == engine.Single && call.Repeatable()
}

// confirmCommit returns the answer to a call. The outcome is unknown if the
// answer acknowledges a commit of writes that a change of primary may drop.
func (p *GroupPool) confirmCommit(a engine.Answer, wrote bool) engine.Answer {
	if !a.OK() || !wrote || !p.commitUncertain(a.Position.Term) {
		return a
	}
	u := engine.Indeterminate(engine.Lost, "a change of primary may drop the commit")
	u.State, u.Position = a.State, a.Position
	return u
}

// lost discards a connection whose answer is lost and returns the answer for
// the caller.
func (p *GroupPool) lost(call *engine.Call, c *endpointConn, err error, took time.Duration) engine.Answer {
	if a, aborted := p.abortedAnswer(call, c, err, took); aborted {
		return a
	}
	p.failConn(c, sched.EndpointFailure{Endpoint: c.endpoint, Kind: sched.Unresponsive})
	trace.Failure("EndpointLost", err, "Group", p.group, "Endpoint", c.endpoint, "Request", call.Statement.ID, "Took", took.String())
	a := call.LostAnswer("the endpoint's answer was lost")
	a.Endpoint = c.endpoint
	return a
}

func failureOf(e ident.Endpoint, r engine.Reason) sched.EndpointFailure {
	switch r {
	case engine.Lagging:
		return sched.EndpointFailure{Endpoint: e, Kind: sched.Behind}
	case engine.ReadOnly:
		return sched.EndpointFailure{Endpoint: e, Kind: sched.NotPrimary}
	}
	return sched.EndpointFailure{Endpoint: e, Kind: sched.Saturated}
}

// send sends the call's requests one after the other, so that no statement
// follows one that was refused.
func (p *GroupPool) send(call *engine.Call, g grant, deadline time.Time) (engine.Answer, error) {
	if err := g.conn.setUp(call.Variables, call.Statement, deadline); err != nil {
		return engine.Answer{}, err
	}
	after := g.After
	if begin, needed := beginFor(call, g.VerifyPrimary); needed {
		began := clock.Now()
		a, err := g.conn.run(begin, after, deadline)
		if err != nil || !a.OK() {
			return a, err
		}
		p.reportRoundTrip(g.Endpoint, began)
		after = ident.LogPosition{}
	}
	return g.conn.run(call.Statement, after, deadline)
}

// beginFor returns the statement that opens a transaction for the call, if it
// needs one. A read that has to be current runs in a read-write transaction,
// because an endpoint that is no longer the primary refuses every statement of
// it.
func beginFor(call *engine.Call, verifyPrimary bool) (engine.Statement, bool) {
	begin := engine.Statement{Op: engine.Begin}
	switch {
	case call.Phase == engine.First && call.Begin.Op == engine.BeginReadOnly && verifyPrimary:
		return begin, true
	case call.Phase == engine.First:
		return call.Begin, true
	case verifyPrimary && !call.Statement.Writes():
		return begin, true
	}
	return begin, false
}

// next runs a further statement of an open transaction.
func (p *GroupPool) next(origin ident.Process, call *engine.Call) (engine.Answer, engine.TxID) {
	t := p.resumeTx(origin, call.Tx)
	if t == nil {
		return engine.Refuse(engine.Aborted, 0, "the transaction has ended"), 0
	}
	if t.wrote && call.Statement.Op == engine.Commit && p.noWrites() {
		p.removeTx(call.Tx)
		p.release(t.conn, true)
		return engine.Refuse(engine.Aborted, saturatedPause, "the primary can't acknowledge commits"), 0
	}
	t.conn.committing.Store(call.MayCommit())
	began := clock.Now()
	a, err := p.runInTx(call, t.conn, began.Add(call.Timeout))
	p.reportOutcome(call, t.conn.endpoint, a, err)
	if err != nil {
		p.removeTx(call.Tx)
		return p.lost(call, t.conn, err, clock.Now().Sub(began)), 0
	}
	a.Endpoint, a.Tries = t.conn.endpoint, 1
	if call.Statement.Op == engine.Commit || !a.OK() {
		p.removeTx(call.Tx)
		p.release(t.conn, !a.OK())
		return p.confirmCommit(a, t.wrote && call.Statement.Op == engine.Commit), 0
	}
	t.wrote = t.wrote || call.Statement.Writes()
	p.suspendTx(call.Tx, t)
	return a, call.Tx
}

func (p *GroupPool) runInTx(call *engine.Call, c *endpointConn, deadline time.Time) (engine.Answer, error) {
	for {
		began, setups := clock.Now(), c.setups
		if err := c.setUp(call.Variables, call.Statement, deadline); err != nil {
			return engine.Answer{}, err
		}
		a, err := c.run(call.Statement, ident.LogPosition{}, deadline)
		if err != nil {
			return a, err
		}
		if a.Reason == engine.Overloaded && a.State == engine.InTx && clock.Now().Add(saturatedPause).Before(deadline) {
			time.Sleep(saturatedPause)
			continue
		}
		x := exchange{began: began, took: clock.Now().Sub(began), wasPrimary: call.PrimaryOnly && call.Statement.Op != engine.Commit, kind: sched.KindOf(call)}
		x.roundTrips = roundTrips(call, false, c.setups != setups)
		p.observed(c.endpoint, x, a)
		return a, nil
	}
}

func (p *GroupPool) observed(e ident.Endpoint, x exchange, a engine.Answer) {
	m := sched.EndpointObserved{
		Endpoint: e, Began: x.began, Took: x.took, Position: a.Position,
		WasPrimary: x.wasPrimary && a.OK(), Wrote: x.wrote && a.OK(), UsedSlot: a.Outcome == engine.Answered && a.Reason != engine.Failed,
		Kind: x.kind, RoundTrips: x.roundTrips,
	}
	p.Update(m)
	p.observe(m)
}
