package sched

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The costs by which endpoints are compared, in calls that wait at a slot.
const (
	costDial   = 0.8 // a new connection takes a slot for a while
	costSwap   = 1.5 // and one of another account is lost
	costLeader = 0.4 // the primary's slots are also wanted by writes
	costSlow   = 0.5 // each multiple of the group's mean time
)

const (
	// dialPatience is how long a call waits for the connection that is opened
	// for it before it tries another endpoint: several times a usual dial.
	dialPatience = 60 * time.Millisecond
	// swapServices is how many mean calls a call waits for a connection of its
	// own account before it takes one from another account.
	swapServices = 2
)

// target is what a call needs of an endpoint.
type target struct {
	after    ident.LogPosition
	floorAge time.Duration
	strict   bool
}

// place grants a connection to w, or starts what will lead to one. It reports
// whether w left the queue.
func (g *Scheduler) place(now time.Time, w *waiter) bool {
	t := g.target(now, w.call)
	e := g.choose(now, w, t)
	if e == nil {
		return false
	}
	if c := e.idleOf(w.call.Account); c != nil {
		g.change(now, c, working)
		g.emit(Grant{
			Waiter: w.ticket, Conn: c.id, Endpoint: e.ID,
			After: t.after, VerifyPrimary: t.strict, FloorAge: t.floorAge, Waited: now.Sub(w.since),
		})
		return true
	}
	g.prepare(now, e, w)
	return false
}

// target works out the freshness that a call needs. Without a proof that is
// young enough a read goes to the primary, which then gives one.
func (g *Scheduler) target(now time.Time, c *engine.Call) target {
	if c.PrimaryOnly {
		return target{strict: true}
	}
	mark, age, ok := g.floors.floor(now, c.MaxLag)
	if !ok {
		return target{strict: true}
	}
	if c.LastWrite.Term > mark.Term || c.LastWrite.Covers(mark) {
		mark = c.LastWrite
	}
	return target{after: mark, floorAge: age}
}

// choose returns the endpoint with the least cost that can take the call now,
// or nil.
func (g *Scheduler) choose(now time.Time, w *waiter, t target) *endpoint {
	if t.strict {
		return g.chooseLeader(now, w)
	}
	var best *endpoint
	bestCost := 0.0
	for _, e := range g.listed {
		if !g.fits(now, e, w, t) {
			continue
		}
		if cost := g.cost(e, w.call.Account); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil && len(w.avoid) > 0 {
		return g.chooseLeader(now, w)
	}
	return best
}

func (g *Scheduler) chooseLeader(now time.Time, w *waiter) *endpoint {
	if !g.leader.Usable {
		return nil
	}
	e := g.endpoints[g.leader.Endpoint]
	if e == nil || !e.room(now) || e.closing(now, g.limits.DrainTime) {
		return nil
	}
	if e.idleOf(w.call.Account) == nil && !g.mayOpen(now, e, w) {
		return nil
	}
	return e
}

func (g *Scheduler) fits(now time.Time, e *endpoint, w *waiter, t target) bool {
	switch {
	case e.Draining, !e.room(now), now.Before(e.avoid), slices.Contains(w.avoid, e.ID):
		return false
	case now.Before(e.behind) && !e.mark.Covers(t.after):
		return false
	case e.ID == g.leader.Endpoint && !g.leader.Usable:
		return false
	}
	return e.idleOf(w.call.Account) != nil || g.mayOpen(now, e, w)
}

func (g *Scheduler) cost(e *endpoint, account ident.Account) float64 {
	cost := float64(e.active) / float64(max(1, e.Slots)) * 2
	if e.ID == g.leader.Endpoint {
		cost += costLeader
	}
	if e.idleOf(account) == nil {
		cost += costDial
		if len(e.conns) >= g.share() {
			cost += costSwap - costDial
		}
	}
	if e.speed > g.service {
		cost += costSlow * (float64(e.speed)/float64(g.service) - 1)
	}
	return cost
}

// mayOpen reports whether a connection can be opened for w, closing an idle one
// of another account if need be.
func (g *Scheduler) mayOpen(now time.Time, e *endpoint, w *waiter) bool {
	if now.Before(e.noDial) {
		return false
	}
	if c := g.conns[w.dial]; c != nil && c.state == dialling && now.Sub(c.since) < dialPatience {
		return c.endpoint == e
	}
	if !e.crowded(now, g.share()) {
		return true
	}
	return g.swapDue(now, e, w) && e.victim() != nil
}

// swapDue reports whether w has waited long enough to take a connection from
// another account. While its own account has one at the endpoint, that one
// comes free in about the time that a new one takes, and costs no slot.
func (g *Scheduler) swapDue(now time.Time, e *endpoint, w *waiter) bool {
	if now.Sub(w.since) >= swapServices*g.service {
		return true
	}
	for _, c := range e.conns {
		if c.account == w.call.Account && c.state != resting {
			return false
		}
	}
	return true
}

// prepare opens a connection for w's account, unless one that is being opened
// will do.
func (g *Scheduler) prepare(now time.Time, e *endpoint, w *waiter) {
	account := w.call.Account
	for _, c := range e.conns {
		if c.account == account && c.state == dialling {
			w.dial = c.id
			return
		}
	}
	if e.crowded(now, g.share()) {
		v := e.victim()
		if v == nil {
			return
		}
		g.drop(v)
	}
	g.next++
	c := &conn{id: g.next, endpoint: e, account: account, state: dialling, since: now}
	g.conns[c.id] = c
	w.dial = c.id
	e.conns[c.id] = c
	g.count(c, 1)
	g.emit(Dial{Conn: c.id, Endpoint: e.Endpoint, Account: account})
}
