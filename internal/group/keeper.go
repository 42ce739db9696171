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
	mailboxSize = 256
	tickEvery   = 25 * time.Millisecond
	// observeGap spaces the statuses that requests bring along, so that a
	// busy endpoint does not fill the mailbox.
	observeGap = 2 * time.Millisecond
)

// Dial returns the control side of an endpoint. It does not block; the
// Server's calls connect when they need to.
type Dial func(ident.Endpoint) Server

// Monitor runs one group on one instance: it feeds an Elector, carries out its
// commands and publishes its View. Requests read the View without a lock.
type Monitor struct {
	self     ident.Instance
	group    ident.Group
	dial     Dial
	bounds   Bounds
	events   *event.Log
	peers    peer.Sender
	promoted PromotedFunc

	tasks   *tasks.Group
	mailbox chan letter
	view    atomic.Pointer[View]
	changed atomic.Pointer[signal]
	floors  floors
	gauges  gauges

	// The fields below belong to the goroutine that runs loop.
	watch *Elector
	last  time.Time
	trace trace
}

// letter is a message with the time at which it was sent.
type letter struct {
	msg Msg
	at  time.Time
}

// signal is a channel that is closed once.
type signal struct{ done chan struct{} }

// NewMonitor starts to keep group. The caller closes it.
func NewMonitor(self ident.Instance, group envdoc.Group, dial Dial, options ...Option) *Monitor {
	k := &Monitor{
		self:    self,
		group:   group.Name,
		dial:    dial,
		bounds:  DefaultBounds(),
		tasks:   tasks.New(context.Background()),
		mailbox: make(chan letter, mailboxSize),
		gauges:  newGauges(group.Name),
		trace:   trace{},
	}
	for _, o := range options {
		o(k)
	}
	k.watch = NewElector(self, group, k.bounds)
	k.view.Store(k.watch.View())
	k.changed.Store(&signal{done: make(chan struct{})})
	k.tasks.Go(k.loop)
	return k
}

// Close stops all work on the group and waits for it.
func (k *Monitor) Close() error { return k.tasks.Close() }

// View returns what is known of the group. It is never nil.
func (k *Monitor) View() *View { return k.view.Load() }

// Changed returns a channel that is closed at the next change of term or
// primary. Take it before the View, so that no change is missed.
func (k *Monitor) Changed() <-chan struct{} { return k.changed.Load().done }

// Observe takes a status that came along with an answer to other work. It
// never blocks; statuses that add little are dropped.
func (k *Monitor) Observe(endpoint ident.Endpoint, status Status, now time.Time) {
	v := k.View()
	i := v.Index(endpoint)
	if i == NoEndpoint {
		return
	}
	s := &v.Endpoints[i]
	if s.Reachable && status.Term == s.Status.Term && now.Sub(s.SeenAt) < observeGap {
		return
	}
	k.offer(Observed{Endpoint: endpoint, Status: status}, now)
}

// Failed tells that a request lost the endpoint, or was refused by it for its
// term. It never blocks, and makes the next probe come at once.
func (k *Monitor) Failed(endpoint ident.Endpoint, term ident.Term, now time.Time) {
	k.offer(WorkFailed{Endpoint: endpoint, Term: term}, now)
}

// Receive takes the state of the group as a peer knows it.
func (k *Monitor) Receive(state peer.GroupState, now time.Time) {
	if k.events != nil {
		k.events.Observe(state.Stamp, now)
	}
	k.send(PeerStateReceived{State: state}, now)
}

// SetDocument takes the group as a new document describes it.
func (k *Monitor) SetDocument(group envdoc.Group) {
	k.send(DocumentChanged{Group: group}, time.Now())
}

// SetRank sets this instance's place, from 0, among the of instances that
// could watch the group.
func (k *Monitor) SetRank(place, of int) {
	k.send(RankChanged{Place: place, Of: of}, time.Now())
}

// SetLeaving sets the endpoints that are listed as leaving.
func (k *Monitor) SetLeaving(endpoints []ident.Endpoint) {
	k.send(LeavingChanged{Endpoints: endpoints}, time.Now())
}

// offer drops the message when the mailbox is full.
func (k *Monitor) offer(msg Msg, at time.Time) {
	select {
	case k.mailbox <- letter{msg: msg, at: at}:
	default:
		k.gauges.dropped.Inc()
	}
}

// send waits for room in the mailbox, at most until Close.
func (k *Monitor) send(msg Msg, at time.Time) {
	select {
	case k.mailbox <- letter{msg: msg, at: at}:
	case <-k.tasks.Context().Done():
	}
}

func (k *Monitor) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	k.handle(Tick{}, time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case at := <-ticker.C:
			k.handle(Tick{}, at)
		case l := <-k.mailbox:
			k.handle(l.msg, l.at)
		}
	}
}

// handle runs one message. Time does not go back between messages.
func (k *Monitor) handle(msg Msg, at time.Time) {
	if at.Before(k.last) {
		at = k.last
	}
	k.last = at
	if _, ok := msg.(roundAsked); ok {
		k.runRound(at)
		return
	}
	for _, c := range k.watch.Update(msg, at) {
		k.carryOut(c, at)
	}
}

func (k *Monitor) publish(v *View) {
	old := k.view.Swap(v)
	if old.Term == v.Term && old.PrimaryName() == v.PrimaryName() {
		return
	}
	k.gauges.changes.Inc()
	k.gauges.term.Set(float64(v.Term.Counter()))
	done := k.changed.Swap(&signal{done: make(chan struct{})})
	close(done.done)
}
