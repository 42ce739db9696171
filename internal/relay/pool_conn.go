package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// acquire waits for a connection or a rejection.
func (p *GroupPool) acquire(ctx context.Context, call *engine.Call, avoid []ident.Endpoint, deadline time.Time) grant {
	answer := make(chan grant, 1)
	p.mu.Lock()
	p.lastWaiter++
	id := p.lastWaiter
	p.waiting[id] = answer
	p.update(clock.Now(), sched.Acquire{Waiter: id, Call: call, Avoid: avoid, Deadline: deadline})
	p.mu.Unlock()
	select {
	case g := <-answer:
		return g
	case <-ctx.Done():
	}
	return p.cancelAcquire(id, answer)
}

// cancelAcquire cancels a waiting call. It releases a connection that was
// granted in the meantime.
func (p *GroupPool) cancelAcquire(id sched.WaiterID, answer chan grant) grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.update(clock.Now(), sched.CancelAcquire{Waiter: id})
	select {
	case g := <-answer:
		if g.conn != nil {
			p.update(clock.Now(), sched.Released{Conn: g.conn.id})
		}
	default:
	}
	return grant{reject: &sched.Reject{Waiter: id, Reason: engine.Aborted, Detail: "the caller disconnected"}}
}

// update sends a message to the scheduler and executes its commands. The caller
// holds the mutex.
func (p *GroupPool) update(now time.Time, m sched.Message) {
	for _, c := range p.scheduler.Update(now, m) {
		switch c := c.(type) {
		case sched.Grant:
			p.deliver(c.Waiter, grant{Grant: c, conn: p.conns[c.Conn]})
		case sched.Reject:
			rejections[c.Cause].Inc()
			p.countEvacuated(c.Reason)
			p.deliver(c.Waiter, grant{reject: &c})
		case sched.Dial:
			p.tasks.Go(func(ctx context.Context) error {
				p.dial(ctx, c)
				return nil
			})
		case sched.CloseConn:
			p.removeConn(c.Conn)
		case sched.AbortConn:
			p.abortConn(c.Conn)
		case sched.EndpointEjected, sched.EndpointReturned:
			p.recordEjection(c)
		}
	}
}

func (p *GroupPool) deliver(id sched.WaiterID, g grant) {
	answer := p.waiting[id]
	delete(p.waiting, id)
	if answer != nil {
		answer <- g
	}
}

func (p *GroupPool) removeConn(id sched.ConnID) {
	c := p.conns[id]
	delete(p.conns, id)
	if c != nil {
		_ = c.Close()
	}
}

func (p *GroupPool) dial(ctx context.Context, d sched.Dial) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := clock.Now()
	raw, err := p.dialer.Dial(ctx, p.group, d.Endpoint, d.Account)
	roundTrip := clock.Now().Sub(began) / dialRoundTrips
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		if err == nil {
			_ = raw.Close()
		}
		return
	}
	if err == nil {
		c := newEndpointConn(d.Conn, d.Endpoint.ID, raw)
		c.mayUse = func() bool { return p.mayUse(c.id) }
		p.conns[d.Conn] = c
		p.update(clock.Now(), sched.EndpointObserved{Endpoint: d.Endpoint.ID, Began: began, RoundTrip: roundTrip})
		p.update(clock.Now(), sched.DialDone{Conn: d.Conn, Result: sched.Connected})
		return
	}
	result := sched.Unreachable
	var e *DialError
	if errors.As(err, &e) {
		result = e.Result
	}
	trace.Failure("DialFailed", err, "Group", p.group, "Endpoint", d.Endpoint.ID, "Account", d.Account)
	p.update(clock.Now(), sched.DialDone{Conn: d.Conn, Result: result})
	if result == sched.Unreachable {
		p.tasks.Go(func(context.Context) error {
			p.observe(sched.EndpointFailure{Endpoint: d.Endpoint.ID, Kind: sched.Unresponsive})
			return nil
		})
	}
}

// release releases a connection, after a rollback if a transaction is open on
// it. The rollback runs in the background. A connection that was aborted is
// closed.
func (p *GroupPool) release(c *endpointConn, rollback bool) {
	if c.aborted.Load() {
		p.discardConn(c)
		return
	}
	if !rollback && !c.exhausted() {
		p.Update(sched.Released{Conn: c.id})
		return
	}
	p.tasks.Go(func(context.Context) error {
		p.rollbackAndRelease(c)
		return nil
	})
}

func (p *GroupPool) rollbackAndRelease(c *endpointConn) {
	a, err := c.exchange(Request{Statement: engine.Statement{Op: engine.Rollback}}, clock.Now().Add(rollbackTimeout))
	if err != nil || a.State != engine.Idle || c.exhausted() {
		p.discardConn(c)
		return
	}
	p.Update(sched.Released{Conn: c.id})
}

func (p *GroupPool) discardConn(c *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeConn(c.id)
	p.update(clock.Now(), sched.ConnLost{Conn: c.id})
}

// failConn closes a connection whose answer is lost and reports the failure,
// unless the pool itself gave up the answer.
func (p *GroupPool) failConn(c *endpointConn, f sched.EndpointFailure) {
	p.discardConn(c)
	if p.isAbandoned() {
		return
	}
	p.Update(f)
	p.observe(f)
}

// holdTx keeps a connection for the transaction that is open on it.
func (p *GroupPool) holdTx(c *endpointConn, origin ident.Process, wrote bool) engine.TxID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTx++
	p.txs[p.lastTx] = &openTx{conn: c, origin: origin, wrote: wrote, used: clock.Now()}
	p.update(clock.Now(), sched.IdleInTx{Conn: c.id})
	return p.lastTx
}

func (p *GroupPool) isAbandoned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.abandoned
}

func (p *GroupPool) noWrites() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.NoWrites()
}

// resumeTx takes the connection of a transaction for its next statement. It returns
// nil if the process has no such transaction.
func (p *GroupPool) resumeTx(origin ident.Process, id engine.TxID) *openTx {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.txs[id]
	if t == nil || t.origin != origin || t.busy || t.ended {
		return nil
	}
	t.busy = true
	p.update(clock.Now(), sched.Resumed{Conn: t.conn.id})
	return t
}

// suspendTx keeps the connection until the next statement, unless the
// transaction has been ended in the meantime.
func (p *GroupPool) suspendTx(id engine.TxID, t *openTx) {
	p.mu.Lock()
	ended := t.ended
	t.busy, t.used = false, clock.Now()
	if !ended {
		p.update(clock.Now(), sched.IdleInTx{Conn: t.conn.id})
	}
	p.mu.Unlock()
	if ended {
		p.removeTx(id)
		p.release(t.conn, true)
	}
}

func (p *GroupPool) removeTx(id engine.TxID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.txs, id)
}

// rollback rolls a transaction back, immediately or after its current
// statement.
func (p *GroupPool) rollback(id engine.TxID) {
	p.mu.Lock()
	t := p.txs[id]
	if t == nil || t.ended {
		p.mu.Unlock()
		return
	}
	t.ended = true
	busy := t.busy
	if !busy {
		delete(p.txs, id)
		p.update(clock.Now(), sched.Resumed{Conn: t.conn.id})
	}
	p.mu.Unlock()
	if !busy {
		p.release(t.conn, true)
	}
}

// rollbackOf rolls a transaction back if it belongs to the process.
func (p *GroupPool) rollbackOf(origin ident.Process, id engine.TxID) {
	p.mu.Lock()
	t := p.txs[id]
	p.mu.Unlock()
	if t != nil && t.origin == origin {
		p.rollback(id)
	}
}

// RollbackAll rolls back the transactions of a process that has disconnected.
func (p *GroupPool) RollbackAll(origin ident.Process) {
	for _, id := range p.selectTxs(func(t *openTx) bool { return t.origin == origin }) {
		p.rollback(id)
	}
}

// rollbackIdle rolls back transactions that have been idle for too long.
func (p *GroupPool) rollbackIdle(now time.Time) {
	p.mu.Lock()
	limit := p.idleTxLimit
	p.mu.Unlock()
	idle := func(t *openTx) bool { return !t.busy && engine.IdleTimeout(t.used, now, limit) }
	for _, id := range p.selectTxs(idle) {
		trace.Event("TransactionIdle", "Group", p.group, "Transaction", id, "Limit", limit.String())
		p.rollback(id)
	}
}

func (p *GroupPool) selectTxs(match func(*openTx) bool) []engine.TxID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []engine.TxID
	for id, t := range p.txs {
		if match(t) {
			out = append(out, id)
		}
	}
	return out
}

// reportOverdue reports a primary that has not answered a statement for
// overdueTime. The statement continues.
func (p *GroupPool) reportOverdue(now time.Time) {
	p.mu.Lock()
	e, overdue := p.scheduler.Overdue(now, overdueTime)
	p.mu.Unlock()
	if overdue {
		p.observe(sched.EndpointFailure{Endpoint: e, Kind: sched.Slow})
	}
}

// idle reports whether the pool has no connections and no calls, so that time
// changes nothing in it.
func (p *GroupPool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0 && len(p.txs) == 0 && p.scheduler.Idle()
}

// Tick checks for calls, connections and transactions whose time has run out.
func (p *GroupPool) Tick(now time.Time) {
	p.Update(sched.Tick{})
	p.recordWaiting(now)
	p.reportOverdue(now)
	p.reportPrimary(now)
	p.rollbackIdle(now)
}
