package group

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	mailboxSize  = 256
	tickInterval = 25 * time.Millisecond
	// observeGap is the shortest interval between two statuses accepted from
	// the requests to one endpoint, so that a busy endpoint does not fill the
	// mailbox.
	observeGap = 2 * time.Millisecond
)

// Dial returns the control connection of an endpoint. It does not block; the
// Server's calls connect when they need to.
type Dial func(ident.Endpoint) Server

// Monitor runs the Elector of one group on one instance: it feeds messages to
// it, executes its commands and publishes its View. Requests read the View
// without a lock.
type Monitor struct {
	self     ident.Instance
	group    ident.Group
	dial     Dial
	bounds   Bounds
	events   *event.Log
	peers    peer.Sender
	promoted PromotedFunc

	tasks   *tasks.Group
	mailbox chan timedMsg
	view    atomic.Pointer[View]
	changed atomic.Pointer[signal]
	floors  floorRounds
	metrics groupMetrics

	// The fields below belong to the goroutine that runs loop.
	elector *Elector
	lastAt  time.Time
	causes  eventTrace
}

// timedMsg is a message with the time at which it was sent.
type timedMsg struct {
	msg Msg
	at  time.Time
}

// signal is a channel that is closed once.
type signal struct{ done chan struct{} }

// NewMonitor starts to monitor group. The caller closes it.
func NewMonitor(self ident.Instance, group envdoc.Group, dial Dial, options ...Option) *Monitor {
	m := &Monitor{
		self:    self,
		group:   group.Name,
		dial:    dial,
		bounds:  DefaultBounds(),
		tasks:   tasks.New(context.Background()),
		mailbox: make(chan timedMsg, mailboxSize),
		metrics: newGroupMetrics(group.Name),
		causes:  eventTrace{},
	}
	for _, o := range options {
		o(m)
	}
	m.elector = NewElector(self, group, m.bounds)
	m.view.Store(m.elector.View())
	m.changed.Store(&signal{done: make(chan struct{})})
	m.tasks.Go(m.loop)
	return m
}

// Close stops the monitor and waits for its goroutines to end.
func (m *Monitor) Close() error { return m.tasks.Close() }

// View returns the latest snapshot of the group. It is never nil.
func (m *Monitor) View() *View { return m.view.Load() }

// Changed returns a channel that is closed at the next change of term or
// primary. Call it before View, so that no change is missed.
func (m *Monitor) Changed() <-chan struct{} { return m.changed.Load().done }

// Observe takes a status that arrived with the answer to a request. It never
// blocks; a status that follows another one closely is dropped.
func (m *Monitor) Observe(endpoint ident.Endpoint, status Status, now time.Time) {
	v := m.View()
	i := v.Index(endpoint)
	if i == NoEndpoint {
		return
	}
	s := &v.Endpoints[i]
	if s.Reachable && status.Term == s.Status.Term && now.Sub(s.SeenAt) < observeGap {
		return
	}
	m.trySend(StatusObserved{Endpoint: endpoint, Status: status}, now)
}

// Failed reports that a request lost its connection to the endpoint, or that
// the endpoint refused it because of its term. It makes the next probe due at
// once, and never blocks.
func (m *Monitor) Failed(endpoint ident.Endpoint, term ident.Term, now time.Time) {
	m.trySend(RequestFailed{Endpoint: endpoint, Term: term}, now)
}

// Receive takes the state of the group that a peer sent.
func (m *Monitor) Receive(state peer.GroupState, now time.Time) {
	if m.events != nil {
		m.events.Observe(state.Stamp, now)
	}
	m.send(PeerStateReceived{State: state}, now)
}

// SetDocument updates the group to its definition in a new document.
func (m *Monitor) SetDocument(group envdoc.Group) {
	m.send(DocumentChanged{Group: group}, time.Now())
}

// SetRank sets this instance's rank, from 0, among the total instances that
// monitor the group.
func (m *Monitor) SetRank(rank, total int) {
	m.send(RankChanged{Rank: rank, Total: total}, time.Now())
}

// SetLeaving sets the endpoints that are listed as leaving the group.
func (m *Monitor) SetLeaving(endpoints []ident.Endpoint) {
	m.send(LeavingChanged{Endpoints: endpoints}, time.Now())
}

// trySend drops the message when the mailbox is full.
func (m *Monitor) trySend(msg Msg, at time.Time) {
	select {
	case m.mailbox <- timedMsg{msg: msg, at: at}:
	default:
		m.metrics.dropped.Inc()
	}
}

// send blocks while the mailbox is full, at most until Close.
func (m *Monitor) send(msg Msg, at time.Time) {
	select {
	case m.mailbox <- timedMsg{msg: msg, at: at}:
	case <-m.tasks.Context().Done():
	}
}

func (m *Monitor) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	m.handle(Tick{}, time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case at := <-ticker.C:
			m.handle(Tick{}, at)
		case received := <-m.mailbox:
			m.handle(received.msg, received.at)
		}
	}
}

// handle processes one message. The time passed to the Elector never goes
// back between messages.
func (m *Monitor) handle(msg Msg, at time.Time) {
	if at.Before(m.lastAt) {
		at = m.lastAt
	}
	m.lastAt = at
	if _, ok := msg.(floorRequested); ok {
		m.startFloorRound(at)
		return
	}
	for _, c := range m.elector.Update(msg, at) {
		m.execute(c, at)
	}
}

func (m *Monitor) publish(v *View) {
	old := m.view.Swap(v)
	if old.Term == v.Term && old.PrimaryName() == v.PrimaryName() {
		return
	}
	m.metrics.changes.Inc()
	m.metrics.term.Set(float64(v.Term.Counter()))
	done := m.changed.Swap(&signal{done: make(chan struct{})})
	close(done.done)
}
