package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// acquire waits for a connection or a refusal.
func (h *GroupPool) acquire(ctx context.Context, call *engine.Call, avoid []ident.Endpoint, until time.Time) grant {
	answer := make(chan grant, 1)
	h.mu.Lock()
	h.tickets++
	ticket := h.tickets
	h.waiting[ticket] = answer
	h.update(clock.Now(), sched.Acquire{Waiter: ticket, Call: call, Avoid: avoid, Deadline: until})
	h.mu.Unlock()
	select {
	case g := <-answer:
		return g
	case <-ctx.Done():
	}
	return h.giveUp(ticket, answer)
}

// giveUp takes a waiting call back. A connection that was granted meanwhile is
// returned.
func (h *GroupPool) giveUp(ticket sched.WaiterID, answer chan grant) grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, ticket)
	h.update(clock.Now(), sched.CancelAcquire{Waiter: ticket})
	select {
	case g := <-answer:
		if g.conn != nil {
			h.update(clock.Now(), sched.Released{Conn: g.conn.id})
		}
	default:
	}
	return grant{deny: &sched.Reject{Waiter: ticket, Reason: engine.Aborted, Detail: "the caller is gone"}}
}

// update passes a message to the model and carries its commands out. The
// caller holds the mutex.
func (h *GroupPool) update(now time.Time, m sched.Message) {
	for _, c := range h.sched.Update(now, m) {
		switch c := c.(type) {
		case sched.Grant:
			h.reply(c.Waiter, grant{Grant: c, conn: h.conns[c.Conn]})
		case sched.Reject:
			h.reply(c.Waiter, grant{deny: &c})
		case sched.Dial:
			h.tasks.Go(func(ctx context.Context) error {
				h.dial(ctx, c)
				return nil
			})
		case sched.CloseConn:
			h.forgetConn(c.Conn)
		}
	}
}

func (h *GroupPool) reply(t sched.WaiterID, g grant) {
	answer := h.waiting[t]
	delete(h.waiting, t)
	if answer != nil {
		answer <- g
	}
}

func (h *GroupPool) forgetConn(id sched.ConnID) {
	c := h.conns[id]
	delete(h.conns, id)
	if c != nil {
		_ = c.Close()
	}
}

func (h *GroupPool) dial(ctx context.Context, d sched.Dial) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := h.dialer.Dial(ctx, h.group, d.Endpoint, d.Account)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.conns[d.Conn] = newEndpointConn(d.Conn, d.Endpoint.ID, raw)
		h.update(clock.Now(), sched.DialDone{Conn: d.Conn, Result: sched.Connected})
		return
	}
	result := sched.Unreachable
	var e *DialError
	if errors.As(err, &e) {
		result = e.Result
	}
	trace.Failure("DialFailed", err, "Group", h.group, "Endpoint", d.Endpoint.ID, "Account", d.Account)
	h.update(clock.Now(), sched.DialDone{Conn: d.Conn, Result: result})
	if result == sched.Unreachable {
		h.tasks.Go(func(context.Context) error {
			h.observe(sched.EndpointFailure{Endpoint: d.Endpoint.ID, Kind: sched.Unresponsive})
			return nil
		})
	}
}

// finish gives a connection back, after a rollback if a transaction is open on
// it. The caller's answer does not wait for that.
func (h *GroupPool) finish(c *endpointConn, rollback bool) {
	if !rollback && !c.worn() {
		h.Update(sched.Released{Conn: c.id})
		return
	}
	h.tasks.Go(func(context.Context) error {
		h.clean(c)
		return nil
	})
}

func (h *GroupPool) clean(c *endpointConn) {
	a, err := c.Do(Request{Statement: engine.Statement{Op: engine.Rollback}}, cleanTimeout)
	if err != nil || a.State != engine.Idle || c.worn() {
		h.closeConn(c)
		return
	}
	h.Update(sched.Released{Conn: c.id})
}

func (h *GroupPool) closeConn(c *endpointConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgetConn(c.id)
	h.update(clock.Now(), sched.ConnLost{Conn: c.id})
}

// breakConn closes a connection whose answer is lost.
func (h *GroupPool) breakConn(c *endpointConn, t sched.EndpointFailure) {
	h.closeConn(c)
	h.Update(t)
	h.observe(t)
}

// hold keeps a connection for the transaction that is open on it.
func (h *GroupPool) hold(c *endpointConn, owner ident.Instance, wrote bool) engine.TxID {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextTx++
	h.txs[h.nextTx] = &held{conn: c, owner: owner, wrote: wrote, used: clock.Now()}
	h.update(clock.Now(), sched.IdleInTx{Conn: c.id})
	return h.nextTx
}

func (h *GroupPool) noWrites() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sched.NoWrites()
}

// resume takes a transaction's connection for its next statement.
func (h *GroupPool) resume(id engine.TxID) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.txs[id]
	if t == nil || t.busy || t.ended {
		return nil
	}
	t.busy = true
	h.update(clock.Now(), sched.Resumed{Conn: t.conn.id})
	return t
}

// rest keeps the connection until the next statement, unless the transaction
// was ended meanwhile.
func (h *GroupPool) rest(id engine.TxID, t *held) {
	h.mu.Lock()
	ended := t.ended
	t.busy, t.used = false, clock.Now()
	if !ended {
		h.update(clock.Now(), sched.IdleInTx{Conn: t.conn.id})
	}
	h.mu.Unlock()
	if ended {
		h.dropTx(id)
		h.finish(t.conn, true)
	}
}

func (h *GroupPool) dropTx(id engine.TxID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.txs, id)
}

// end rolls a transaction back, at once or after its running statement.
func (h *GroupPool) end(id engine.TxID) {
	h.mu.Lock()
	t := h.txs[id]
	if t == nil || t.ended {
		h.mu.Unlock()
		return
	}
	t.ended = true
	busy := t.busy
	if !busy {
		delete(h.txs, id)
		h.update(clock.Now(), sched.Resumed{Conn: t.conn.id})
	}
	h.mu.Unlock()
	if !busy {
		h.finish(t.conn, true)
	}
}

// RollbackAll rolls back the transactions of an instance that is gone.
func (h *GroupPool) RollbackAll(owner ident.Instance) {
	for _, id := range h.pick(func(t *held) bool { return t.owner == owner }) {
		h.end(id)
	}
}

// endIdle rolls back transactions that waited too long for their callers.
func (h *GroupPool) endIdle(now time.Time) {
	h.mu.Lock()
	limit := h.idleTx
	h.mu.Unlock()
	idle := func(t *held) bool { return !t.busy && engine.IdleTimeout(t.used, now, limit) }
	for _, id := range h.pick(idle) {
		trace.Event("TransactionIdle", "Group", h.group, "Transaction", id, "Limit", limit.String())
		h.end(id)
	}
}

func (h *GroupPool) pick(match func(*held) bool) []engine.TxID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []engine.TxID
	for id, t := range h.txs {
		if match(t) {
			out = append(out, id)
		}
	}
	return out
}

// doubt reports a primary that leaves a statement without an answer, while the
// statement goes on.
func (h *GroupPool) doubt(now time.Time) {
	h.mu.Lock()
	e, overdue := h.sched.Overdue(now, overdueTime)
	h.mu.Unlock()
	if overdue {
		h.observe(sched.EndpointFailure{Endpoint: e, Kind: sched.Slow})
	}
}

func (h *GroupPool) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		tasks.Pause(ctx, tickInterval)
		now := clock.Now()
		h.Update(sched.Tick{})
		h.doubt(now)
		h.endIdle(now)
	}
	return nil
}
