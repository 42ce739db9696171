package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// ownerConnShare is the fraction of an endpoint's connections that the
	// owner of the group opens. The rest is reserved for the next owner, which
	// may connect before the endpoint notices that the previous owner is gone.
	ownerConnShare = 0.75
	// nonOwnerConnShare is the fraction that an instance opens when it runs
	// calls itself because it can't reach the owner.
	nonOwnerConnShare = 0.125
	// nonOwnerIdleLimit is how long such an instance keeps idle connections.
	nonOwnerIdleLimit = 300 * time.Millisecond
	// ownerIdleLimit is how long the owner keeps idle connections.
	ownerIdleLimit = 20 * time.Second
	// initialServiceTime is the assumed duration of a call before the first
	// measurement.
	initialServiceTime = 15 * time.Millisecond
)

// Scheduler is the model of one database group: its endpoints, connections and
// waiting calls. Its state changes only in Update.
type Scheduler struct {
	limits      Limits
	endpoints   map[ident.Endpoint]*endpoint
	sorted      []*endpoint // endpoints sorted by name
	conns       map[ConnID]*conn
	waiting     []*waiter // by arrival
	floors      floorTracker
	evacuations evacuations
	evacuating  bool // a data centre is evacuated
	cold        coldStates
	primary     Primary
	owner       bool
	serviceTime time.Duration // moving average duration of calls that occupied a slot
	work        workTime      // of all endpoints together
	// laggingSince is since when the primary has been overloaded because its
	// replicas lag, zero if it is not.
	laggingSince time.Time
	readLag      time.Duration // that the latest read allows
	lastConn     ConnID
	nextArrival  uint64
	commands     []Command

	turns         turns
	nextTurns     map[accountClass]*nextTurn
	orders        uint64 // number of calls of setOrder
	grantsInOrder int    // since the latest grant to the call that had waited longest
	lateShare     lateShare
	services      serviceTimes // like serviceTime, by kind of call
	retries       map[retryKey]*retryPlan
}

// New returns a scheduler without endpoints.
func New() *Scheduler {
	return &Scheduler{
		endpoints:   make(map[ident.Endpoint]*endpoint),
		conns:       make(map[ConnID]*conn),
		evacuations: make(evacuations),
		cold:        make(coldStates),
		serviceTime: initialServiceTime,
		turns:       newTurns(),
		nextTurns:   make(map[accountClass]*nextTurn),
		lateShare:   1,
		services:    make(serviceTimes),
		retries:     make(map[retryKey]*retryPlan),
	}
}

// Update applies one message at the given time and returns the commands to
// execute.
func (s *Scheduler) Update(now time.Time, m Message) []Command {
	s.commands = nil
	s.apply(now, m)
	s.expire(now)
	s.dispatch(now)
	s.leaveEvacuated(now)
	return s.commands
}

func (s *Scheduler) apply(now time.Time, m Message) {
	switch m := m.(type) {
	case Acquire:
		s.acquire(now, m)
	case CancelAcquire:
		s.cancel(m.Waiter)
	case DialDone:
		s.dialDone(now, m)
	case Released:
		s.updateGranted(now, m.Conn, idle)
	case ConnLost:
		s.connLost(m.Conn)
	case IdleInTx:
		s.updateGranted(now, m.Conn, idleInTx)
	case Resumed:
		s.updateGranted(now, m.Conn, running)
		s.countResumed(now, m.Conn)
	case EndpointObserved:
		s.observe(now, m)
	case EndpointFailure:
		if e := s.endpoints[m.Endpoint]; e != nil {
			e.recordFailure(m.Kind, now)
		}
	case EndpointOutcome:
		s.recordOutcome(now, m)
	case Directory:
		s.setDirectory(now, m)
	case Weights:
		s.turns.setRates(m.Rates)
	case Limits:
		s.limits = m
	case Primary:
		s.primary = m
	case Ownership:
		s.owner = m.Owner
	case CloseIdleConn:
		s.closeIdleConn(now, m.Endpoint)
	case Tick:
		s.closeIdle(now, s.idleLimit())
		s.updateLagging(now)
	}
}

// Idle reports whether there are no connections and no waiting calls.
func (s *Scheduler) Idle() bool { return len(s.conns) == 0 && len(s.waiting) == 0 }

// NoWrites reports whether the primary is unable to acknowledge commits.
func (s *Scheduler) NoWrites() bool { return s.primary.NoWrites }

// Overdue returns the primary if one of its statements has been running for
// longer than limit.
func (s *Scheduler) Overdue(now time.Time, limit time.Duration) (ident.Endpoint, bool) {
	for _, c := range s.conns {
		if c.state == running && c.endpoint.ID == s.primary.Endpoint && now.Sub(c.since) > limit {
			return c.endpoint.ID, true
		}
	}
	return "", false
}

func (s *Scheduler) emit(c Command) { s.commands = append(s.commands, c) }

func (s *Scheduler) dialDone(now time.Time, m DialDone) {
	c := s.conns[m.Conn]
	if c == nil {
		return
	}
	switch m.Result {
	case Connected:
		c.endpoint.failedDials, c.endpoint.refusedConns = 0, 0
		s.setState(now, c, idle)
		if c.endpoint.removed {
			s.closeConn(c)
		}
		return
	case ConnLimitReached:
		c.endpoint.connRefused(now)
	case Unreachable:
		c.endpoint.dialFailed(now)
	}
	s.remove(c)
}

// updateGranted changes the state of a granted connection.
func (s *Scheduler) updateGranted(now time.Time, id ConnID, state connState) {
	c := s.conns[id]
	if c == nil {
		return
	}
	assert.That(c.state == running || c.state == idleInTx, "sched connection in use", "connection %d is in state %d", id, c.state)
	s.setState(now, c, state)
	if state == idle && (c.endpoint.removed || c.endpoint.Draining) {
		s.closeConn(c)
	}
}

func (s *Scheduler) setState(now time.Time, c *conn, state connState) {
	s.adjustCounts(c, -1)
	c.state, c.since = state, now
	s.adjustCounts(c, 1)
}

// adjustCounts adds c to the calls that occupy a slot, or removes it from them.
func (s *Scheduler) adjustCounts(c *conn, by int) {
	if c.takesSlot() {
		c.endpoint.answers.countedAt = time.Time{}
		c.endpoint.active += by
	}
}

func (s *Scheduler) connLost(id ConnID) {
	if c := s.conns[id]; c != nil {
		s.remove(c)
	}
}

func (s *Scheduler) remove(c *conn) {
	s.adjustCounts(c, -1)
	delete(c.endpoint.conns, c.id)
	delete(s.conns, c.id)
}

func (s *Scheduler) closeConn(c *conn) {
	s.remove(c)
	s.emit(CloseConn{Conn: c.id})
}

func (s *Scheduler) closeIdle(now time.Time, after time.Duration) {
	for _, c := range s.conns {
		if c.state == idle && now.Sub(c.since) >= after {
			s.closeConn(c)
		}
	}
}

func (s *Scheduler) idleLimit() time.Duration {
	if s.owner {
		return ownerIdleLimit
	}
	return nonOwnerIdleLimit
}

// closeIdleConn closes an idle connection and pauses dialling, so that the
// endpoint can accept a connection from elsewhere.
func (s *Scheduler) closeIdleConn(now time.Time, id ident.Endpoint) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.noDialUntil = now.Add(dialBackoff)
	if oldest := e.oldestIdle(); oldest != nil {
		s.closeConn(oldest)
	}
}

func (s *Scheduler) observe(now time.Time, m EndpointObserved) {
	e := s.endpoints[m.Endpoint]
	if e == nil {
		return
	}
	e.observe(m)
	if m.WasPrimary {
		s.floors.record(m.Began, m.Position)
	}
	if m.RoundTrip > 0 {
		e.roundTrip.record(now, m.RoundTrip)
	}
	if m.UsedSlot {
		s.services.observe(m.Kind, m.Took, s.serviceTime)
		s.recordWork(now, e, m)
		e.answers.record(now, m.Began, m.Took)
		s.serviceTime += (m.Took - s.serviceTime) / serviceSamples
	}
}

func (s *Scheduler) setDirectory(now time.Time, m Directory) {
	s.evacuations.update(now, m.Endpoints)
	s.evacuating = s.evacuations.any()
	s.cold.update(now, m.Endpoints)
	seen := make(map[ident.Endpoint]bool, len(m.Endpoints))
	for _, d := range m.Endpoints {
		seen[d.ID] = true
		e := s.endpoints[d.ID]
		if e == nil || e.Address != d.Address || e.StartedAt != d.StartedAt {
			s.retire(e)
			e = newEndpoint()
			e.drainingFirst = d.Draining
			s.endpoints[d.ID] = e
		}
		e.Endpoint, e.cold = d, s.cold[d.ID]
		switch {
		case !d.Draining:
			e.drainingSince, e.drainingFirst = time.Time{}, false
		case e.drainingSince.IsZero():
			e.drainingSince = now
		}
	}
	for id, e := range s.endpoints {
		if !seen[id] {
			s.retire(e)
			delete(s.endpoints, id)
		}
	}
	s.sorted = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// retire closes the idle connections of an endpoint that is no longer listed.
func (s *Scheduler) retire(e *endpoint) {
	if e == nil {
		return
	}
	e.removed = true
	s.closeIdleAt(e)
}

func (s *Scheduler) closeIdleAt(e *endpoint) {
	for _, c := range e.conns {
		if c.state == idle {
			s.closeConn(c)
		}
	}
}

// connShare returns how many connections this instance may open to an endpoint.
func (s *Scheduler) connShare() int {
	if s.limits.MaxConns == 0 {
		return 1
	}
	fraction := nonOwnerConnShare
	if s.owner {
		fraction = ownerConnShare
	}
	return max(1, int(fraction*float64(s.limits.MaxConns)))
}
