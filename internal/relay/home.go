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
	// maxTries bounds the endpoints that one call is offered to.
	maxTries = 4
	// tickInterval is how often waiting calls are checked against their time.
	tickInterval = 20 * time.Millisecond
	// dialTimeout is several round trips and a slot's wait.
	dialTimeout = 400 * time.Millisecond
	// cleanTimeout limits the rollback of an ended transaction.
	cleanTimeout = 500 * time.Millisecond
	// readTimeout limits the first try of a read that can be repeated.
	readTimeout = 400 * time.Millisecond
	// overdueTime is how long a statement may take before the primary is asked
	// whether it lives: longer than nearly all statements.
	overdueTime = 150 * time.Millisecond
	// busyPause is the pause before a statement of an open transaction is
	// offered again to an endpoint without a free slot.
	busyPause = 10 * time.Millisecond
)

// grant is what a waiting call receives: a connection or a refusal.
type grant struct {
	sched.Grant
	conn *endpointConn
	deny *sched.Reject
}

// held is a connection inside a transaction.
type held struct {
	conn  *endpointConn
	owner ident.Instance
	busy  bool
	wrote bool // a statement of it changed data
	ended bool // close it as soon as the running statement is over
	used  time.Time
}

// GroupPool holds one group's endpoint connections.
type GroupPool struct {
	group   ident.Group
	dialer  Dialer
	tasks   *tasks.Group
	observe func(sched.Message)

	mu      sync.Mutex
	sched   *sched.Scheduler
	conns   map[sched.ConnID]*endpointConn
	waiting map[sched.WaiterID]chan grant
	txs     map[engine.TxID]*held
	tickets sched.WaiterID
	nextTx  engine.TxID
	idleTx  time.Duration
}

// NewGroupPool returns a home without endpoints. Observe is told, outside any
// lock, what answers proved about endpoints.
func NewGroupPool(ctx context.Context, group ident.Group, d Dialer, observe func(sched.Message)) *GroupPool {
	h := &GroupPool{
		group: group, dialer: d, tasks: tasks.New(ctx), observe: observe,
		sched:   sched.New(),
		conns:   make(map[sched.ConnID]*endpointConn),
		waiting: make(map[sched.WaiterID]chan grant),
		txs:     make(map[engine.TxID]*held),
	}
	h.tasks.Go(h.tick)
	return h
}

// Update passes a message to the group's model.
func (h *GroupPool) Update(m sched.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(clock.Now(), m)
}

// SetIdleTx limits how long a transaction may stay without a statement.
func (h *GroupPool) SetIdleTx(limit time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idleTx = limit
}

// OpenTransactions returns how many transactions hold a connection.
func (h *GroupPool) OpenTransactions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.txs)
}

// Close ends all transactions and connections and waits for the goroutines.
func (h *GroupPool) Close() error {
	err := h.tasks.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	return err
}

// Run runs a call for owner's session and returns the transaction that now
// holds a connection, zero if none does.
func (h *GroupPool) Run(ctx context.Context, owner ident.Instance, call *engine.Call) (engine.Answer, engine.TxID) {
	switch call.Phase {
	case engine.Next:
		return h.next(call)
	case engine.End:
		h.end(call.Tx)
		return engine.Answer{Outcome: engine.Answered}, 0
	}
	return h.start(ctx, owner, call)
}

// start offers a call that opens a transaction, or stands alone, to endpoints
// until one runs it.
func (h *GroupPool) start(ctx context.Context, owner ident.Instance, call *engine.Call) (engine.Answer, engine.TxID) {
	until := clock.Now().Add(call.Timeout)
	var avoid []ident.Endpoint
	var waited time.Duration
	last := engine.Refuse(engine.Overloaded, busyPause, "no endpoint ran the statement")
	for try := 1; try <= maxTries; try++ {
		g := h.acquire(ctx, call, avoid, until)
		if g.deny != nil {
			a := engine.Refuse(g.deny.Reason, g.deny.RetryIn, g.deny.Detail)
			a.Waited, a.Tries = waited+g.deny.Waited, try-1
			return a, 0
		}
		waited += g.Waited
		a, tx, again := h.attempt(call, g, owner, until)
		a.Waited, a.FloorAge, a.Tries, a.Endpoint = waited, g.FloorAge, try, g.Endpoint
		if !again || clock.Now().After(until) {
			return a, tx
		}
		avoid = append(avoid, g.Endpoint)
		last = a
	}
	return last, 0
}

// exchange is what an answer says besides its content.
type exchange struct {
	began time.Time
	took  time.Duration
	led   bool // the endpoint proved its lead
	wrote bool // the answer acknowledges a commit
}

// attempt runs a call on a granted connection. Again is set when nothing of it
// is kept and another endpoint may run it.
func (h *GroupPool) attempt(call *engine.Call, g grant, owner ident.Instance, until time.Time) (a engine.Answer, tx engine.TxID, again bool) {
	began := clock.Now()
	timeout := until.Sub(began)
	if call.Repeatable() {
		timeout = min(timeout, readTimeout)
	}
	a, err := h.send(call, g, timeout)
	took := clock.Now().Sub(began)
	if err != nil {
		lost := h.lost(call, g.conn, err, took)
		if errors.Is(err, errSetup) {
			lost = engine.Refuse(engine.Aborted, busyPause, "the endpoint refused the session's state")
		}
		return lost, 0, call.Repeatable() || errors.Is(err, errSetup)
	}
	if a.OK() && call.Phase == engine.First && call.Statement.Op != engine.Commit {
		h.heard(g.Endpoint, exchange{began: began, took: took, led: g.VerifyPrimary}, a)
		return a, h.hold(g.conn, owner, call.Statement.Writes()), false
	}
	h.finish(g.conn, a.State != engine.Idle)
	if a.Outcome == engine.NotRun {
		h.heard(g.Endpoint, exchange{began: began, took: took}, a)
		t := troubleOf(g.Endpoint, a.Reason)
		h.Update(t)
		h.observe(t)
		return a, 0, true
	}
	wrote := call.Phase == engine.Single && call.Statement.Writes()
	h.heard(g.Endpoint, exchange{began: began, took: took, led: g.VerifyPrimary || wrote, wrote: wrote}, a)
	return a, 0, a.Reason == engine.Failed && call.Phase == engine.Single && call.Repeatable()
}

// lost gives up a connection whose answer to a call is lost, and returns what the
// caller is told.
func (h *GroupPool) lost(call *engine.Call, c *endpointConn, err error, took time.Duration) engine.Answer {
	h.breakConn(c, sched.EndpointFailure{Endpoint: c.endpoint, Kind: sched.Unresponsive})
	trace.Failure("EndpointLost", err, "Group", h.group, "Endpoint", c.endpoint, "Request", call.Statement.ID, "Took", took.String())
	a := call.LostAnswer("the endpoint's answer is lost")
	a.Endpoint = c.endpoint
	return a
}

func troubleOf(e ident.Endpoint, r engine.Reason) sched.EndpointFailure {
	switch r {
	case engine.Lagging:
		return sched.EndpointFailure{Endpoint: e, Kind: sched.Behind}
	case engine.ReadOnly:
		return sched.EndpointFailure{Endpoint: e, Kind: sched.NotPrimary}
	}
	return sched.EndpointFailure{Endpoint: e, Kind: sched.Saturated}
}

// send sends what the call needs, one request after the other, so that no
// statement follows one that was refused.
func (h *GroupPool) send(call *engine.Call, g grant, timeout time.Duration) (engine.Answer, error) {
	if err := g.conn.adopt(call.Variables, timeout); err != nil {
		return engine.Answer{}, err
	}
	after := g.After
	if begin, needed := opening(call, g.VerifyPrimary); needed {
		a, err := g.conn.run(begin, after, timeout)
		if err != nil || !a.OK() {
			return a, err
		}
		after = ident.LogPosition{}
	}
	return g.conn.run(call.Statement, after, timeout)
}

// opening returns the statement that opens a transaction for the call. A read
// that must be current runs in a plain transaction, because an endpoint that
// has lost the lead refuses every statement of one.
func opening(call *engine.Call, strict bool) (engine.Statement, bool) {
	own := engine.Statement{Op: engine.Begin}
	switch {
	case call.Phase == engine.First && call.Begin.Op == engine.BeginRead && strict:
		return own, true
	case call.Phase == engine.First:
		return call.Begin, true
	case strict && !call.Statement.Writes():
		return own, true
	}
	return own, false
}

// next runs a further statement of an open transaction.
func (h *GroupPool) next(call *engine.Call) (engine.Answer, engine.TxID) {
	t := h.resume(call.Tx)
	if t == nil {
		return engine.Refuse(engine.Aborted, 0, "the transaction has ended"), 0
	}
	if t.wrote && call.Statement.Op == engine.Commit && h.noWrites() {
		h.dropTx(call.Tx)
		h.finish(t.conn, true)
		return engine.Refuse(engine.Aborted, busyPause, "the primary has no replica to commit with"), 0
	}
	began := clock.Now()
	a, err := h.nextOnce(call, t.conn, began.Add(call.Timeout))
	if err != nil {
		h.dropTx(call.Tx)
		return h.lost(call, t.conn, err, clock.Now().Sub(began)), 0
	}
	a.Endpoint, a.Tries = t.conn.endpoint, 1
	if call.Statement.Op == engine.Commit || !a.OK() {
		h.dropTx(call.Tx)
		h.finish(t.conn, !a.OK())
		return a, 0
	}
	t.wrote = t.wrote || call.Statement.Writes()
	h.rest(call.Tx, t)
	return a, call.Tx
}

func (h *GroupPool) nextOnce(call *engine.Call, c *endpointConn, until time.Time) (engine.Answer, error) {
	for {
		began := clock.Now()
		timeout := until.Sub(began)
		if err := c.adopt(call.Variables, timeout); err != nil {
			return engine.Answer{}, err
		}
		a, err := c.run(call.Statement, ident.LogPosition{}, timeout)
		if err != nil {
			return a, err
		}
		if a.Reason == engine.Overloaded && a.State == engine.InTx && clock.Now().Add(busyPause).Before(until) {
			time.Sleep(busyPause)
			continue
		}
		x := exchange{began: began, took: clock.Now().Sub(began), led: call.PrimaryOnly && call.Statement.Op != engine.Commit}
		h.heard(c.endpoint, x, a)
		return a, nil
	}
}

func (h *GroupPool) heard(e ident.Endpoint, x exchange, a engine.Answer) {
	m := sched.EndpointObserved{
		Endpoint: e, Began: x.began, Took: x.took, Position: a.Position,
		WasPrimary: x.led && a.OK(), Wrote: x.wrote && a.OK(), UsedSlot: a.Outcome == engine.Answered,
	}
	h.Update(m)
	h.observe(m)
}
