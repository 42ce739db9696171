package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// capShare is the part of an endpoint's connections that one instance
	// opens; the rest is for the instance that takes over before the endpoint
	// has noticed the loss of the first.
	capShare = 0.625
	// guestShare is the part that an instance opens which does not serve the
	// group, while it does not reach the one that does.
	guestShare = 0.125
	// guestIdle is how long such an instance keeps idle connections.
	guestIdle = 300 * time.Millisecond
	// idleLimit closes connections that nobody used for this long.
	idleLimit = 20 * time.Second
	// firstService is the assumed time of a call before any was measured.
	firstService = 15 * time.Millisecond
)

// Scheduler is the model of one database group: its endpoints, connections and
// waiting calls. Update is its only way to change.
type Scheduler struct {
	limits    Limits
	endpoints map[ident.Endpoint]*endpoint
	listed    []*endpoint // endpoints in order of their names
	conns     map[ConnID]*conn
	waiting   []*waiter
	busy      map[ident.Account]int // connections that work or rest
	floors    floors
	leader    Primary
	home      bool
	service   time.Duration // mean time of a call that took a slot
	next      ConnID
	order     uint64
	out       []Command
}

// New returns a group without endpoints.
func New() *Scheduler {
	return &Scheduler{
		endpoints: make(map[ident.Endpoint]*endpoint),
		conns:     make(map[ConnID]*conn),
		busy:      make(map[ident.Account]int),
		service:   firstService,
	}
}

// Update takes one message at the given time and returns what has to be done.
func (g *Scheduler) Update(now time.Time, m Message) []Command {
	g.out = nil
	g.apply(now, m)
	g.expire(now)
	g.dispatch(now)
	return g.out
}

func (g *Scheduler) apply(now time.Time, m Message) {
	switch m := m.(type) {
	case Acquire:
		g.ask(now, m)
	case CancelAcquire:
		g.forget(m.Waiter)
	case DialDone:
		g.opened(now, m)
	case Released:
		g.settle(now, m.Conn, idle)
	case ConnLost:
		g.broken(m.Conn)
	case IdleInTx:
		g.settle(now, m.Conn, resting)
	case Resumed:
		g.settle(now, m.Conn, working)
	case EndpointObserved:
		g.heard(m)
	case EndpointFailure:
		if e := g.endpoints[m.Endpoint]; e != nil {
			e.trouble(m.Kind, now)
		}
	case Directory:
		g.directory(now, m)
	case Limits:
		g.limits = m
	case Primary:
		g.leader = m
	case Ownership:
		g.home = m.Owner
	case CloseIdleConn:
		g.yield(now, m.Endpoint)
	case Tick:
		g.dropIdle(now, g.idleLimit())
	}
}

// NoWrites reports whether a commit could not be acknowledged now.
func (g *Scheduler) NoWrites() bool { return g.leader.NoWrites }

// Overdue reports whether a statement at the primary has had no answer for
// longer than limit.
func (g *Scheduler) Overdue(now time.Time, limit time.Duration) (ident.Endpoint, bool) {
	for _, c := range g.conns {
		if c.state == working && c.endpoint.ID == g.leader.Endpoint && now.Sub(c.since) > limit {
			return c.endpoint.ID, true
		}
	}
	return "", false
}

func (g *Scheduler) emit(c Command) { g.out = append(g.out, c) }

func (g *Scheduler) opened(now time.Time, m DialDone) {
	c := g.conns[m.Conn]
	if c == nil {
		return
	}
	switch m.Result {
	case Connected:
		g.change(now, c, idle)
		if c.endpoint.removed {
			g.drop(c)
		}
		return
	case ConnLimitReached:
		c.endpoint.capped = now.Add(capPause)
		c.endpoint.share = max(1, len(c.endpoint.conns)-1)
		c.endpoint.noDial = now.Add(dialPause)
	case Unreachable:
		c.endpoint.noDial = now.Add(dialPause)
		c.endpoint.avoid = now.Add(dialPause)
	}
	g.remove(c)
}

// settle moves a granted connection on.
func (g *Scheduler) settle(now time.Time, id ConnID, state connState) {
	c := g.conns[id]
	if c == nil {
		return
	}
	assert.That(c.state == working || c.state == resting, "sched connection in use", "connection %d is %d", id, c.state)
	g.change(now, c, state)
	if state == idle && (c.endpoint.removed || c.endpoint.Draining) {
		g.drop(c)
	}
}

func (g *Scheduler) change(now time.Time, c *conn, state connState) {
	g.count(c, -1)
	c.state, c.since = state, now
	g.count(c, 1)
}

// count keeps the sums over connections in step with c's state.
func (g *Scheduler) count(c *conn, by int) {
	if c.takesSlot() {
		c.endpoint.active += by
	}
	if c.state == working || c.state == resting {
		g.busy[c.account] += by
		if g.busy[c.account] == 0 {
			delete(g.busy, c.account)
		}
	}
}

func (g *Scheduler) broken(id ConnID) {
	if c := g.conns[id]; c != nil {
		g.remove(c)
	}
}

func (g *Scheduler) remove(c *conn) {
	g.count(c, -1)
	delete(c.endpoint.conns, c.id)
	delete(g.conns, c.id)
}

func (g *Scheduler) drop(c *conn) {
	g.remove(c)
	g.emit(CloseConn{Conn: c.id})
}

func (g *Scheduler) dropIdle(now time.Time, after time.Duration) {
	for _, c := range g.conns {
		if c.state == idle && now.Sub(c.since) >= after {
			g.drop(c)
		}
	}
}

func (g *Scheduler) idleLimit() time.Duration {
	if g.home {
		return idleLimit
	}
	return guestIdle
}

// yield gives up an idle connection and opens none for a moment, so that
// another can be opened.
func (g *Scheduler) yield(now time.Time, id ident.Endpoint) {
	e := g.endpoints[id]
	if e == nil {
		return
	}
	e.noDial = now.Add(dialPause)
	if v := e.victim(); v != nil {
		g.drop(v)
	}
}

func (g *Scheduler) heard(h EndpointObserved) {
	e := g.endpoints[h.Endpoint]
	if e == nil {
		return
	}
	e.heard(h)
	if h.WasPrimary {
		g.floors.learn(h.Began, h.Position)
	}
	if h.UsedSlot {
		g.service += (h.Took - g.service) / 16
	}
}

func (g *Scheduler) directory(now time.Time, m Directory) {
	seen := make(map[ident.Endpoint]bool, len(m.Endpoints))
	for _, d := range m.Endpoints {
		seen[d.ID] = true
		e := g.endpoints[d.ID]
		if e == nil || e.Address != d.Address || e.StartedAt != d.StartedAt {
			g.retire(e)
			e = newEndpoint()
			g.endpoints[d.ID] = e
		}
		e.Endpoint = d
		switch {
		case !d.Draining:
			e.drains = time.Time{}
		case e.drains.IsZero():
			e.drains = now
		}
	}
	for id, e := range g.endpoints {
		if !seen[id] {
			g.retire(e)
			delete(g.endpoints, id)
		}
	}
	g.listed = slices.SortedFunc(maps.Values(g.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// retire closes what is idle at an endpoint that is no longer listed.
func (g *Scheduler) retire(e *endpoint) {
	if e == nil {
		return
	}
	e.removed = true
	g.dropIdleAt(e)
}

func (g *Scheduler) dropIdleAt(e *endpoint) {
	for _, c := range e.conns {
		if c.state == idle {
			g.drop(c)
		}
	}
}

// share returns how many connections this instance may open to an endpoint.
func (g *Scheduler) share() int {
	if g.limits.MaxConns == 0 {
		return 1
	}
	part := guestShare
	if g.home {
		part = capShare
	}
	return max(1, int(part*float64(g.limits.MaxConns)))
}

// deny refuses a call that waits or has just come.
func (g *Scheduler) deny(now time.Time, w *waiter, reason engine.Reason, retryIn time.Duration, detail string) {
	g.emit(Reject{Waiter: w.ticket, Reason: reason, RetryIn: retryIn, Detail: detail, Waited: now.Sub(w.since)})
}
