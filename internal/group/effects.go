package group

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// execute runs one command. Calls of a Server run in goroutines of their own,
// and their results arrive as messages.
func (m *Monitor) execute(cmd Cmd, now time.Time) {
	switch c := cmd.(type) {
	case Probe:
		m.call(func(ctx context.Context) Msg { return m.probe(ctx, c) })
	case Seal:
		m.call(func(ctx context.Context) Msg { return m.seal(ctx, c) })
	case Promote:
		m.call(func(ctx context.Context) Msg { return m.promote(ctx, c) })
	case Follow:
		m.call(func(ctx context.Context) Msg { return m.follow(ctx, c) })
	case Publish:
		m.publish(c.View)
	case Announce:
		m.announce(c, now)
	case EmitEvent:
		m.emit(c, now)
	}
}

func (m *Monitor) call(f func(ctx context.Context) Msg) {
	m.tasks.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, m.bounds.CallTimeout)
		defer cancel()
		msg := f(ctx)
		m.send(msg, time.Now())
		return nil
	})
}

func (m *Monitor) probe(ctx context.Context, c Probe) Msg {
	began := time.Now()
	status, err := m.dial(c.Endpoint).Status(ctx)
	if err != nil {
		m.metrics.probesFailed.Inc()
		klog.V(4).InfoS("Probe failed", "group", m.group, "endpoint", c.Endpoint, "err", err)
		return ProbeFailed{Endpoint: c.Endpoint, Began: began, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	m.metrics.probes.Inc()
	return ProbeAnswered{Endpoint: c.Endpoint, Status: status, Began: began}
}

func (m *Monitor) seal(ctx context.Context, c Seal) Msg {
	status, err := m.dial(c.Endpoint).Seal(ctx, c.Term)
	return SealDone{Endpoint: c.Endpoint, Term: c.Term, Status: status, Err: errors.Wrap(err, "seal term")}
}

func (m *Monitor) promote(ctx context.Context, c Promote) Msg {
	status, err := m.dial(c.Endpoint).Promote(ctx, c.Term)
	if err == nil {
		m.metrics.failovers.Inc()
		m.notifyPromoted(c.Term, c.Endpoint)
	}
	return PromoteDone{Endpoint: c.Endpoint, Term: c.Term, Status: status, Err: errors.Wrap(err, "promote")}
}

// notifyPromoted runs the promotion hook in a goroutine of its own, since the
// hook may block and the call has a timeout.
func (m *Monitor) notifyPromoted(term ident.Term, primary ident.Endpoint) {
	if m.promoted == nil {
		return
	}
	m.tasks.Go(func(context.Context) error {
		m.promoted(term, primary)
		return nil
	})
}

func (m *Monitor) follow(ctx context.Context, c Follow) Msg {
	err := m.dial(c.Endpoint).Follow(ctx, c.Term, c.Address)
	return FollowDone{Endpoint: c.Endpoint, Term: c.Term, Err: errors.Wrap(err, "follow primary")}
}

func (m *Monitor) announce(c Announce, now time.Time) {
	if m.peers == nil {
		return
	}
	state := peer.GroupState{Group: m.group, Term: c.Term, Primary: c.Primary, Cause: m.causes.latest(PrimaryChanged)}
	if m.events != nil {
		state.Stamp = m.events.Now(now)
	}
	m.peers.Broadcast(state)
}

func (m *Monitor) emit(c EmitEvent, now time.Time) {
	klog.InfoS("Group event", "group", m.group, "kind", c.Kind, "endpoint", c.Endpoint, "note", c.Note)
	if m.events == nil {
		return
	}
	cause := c.Cause
	if cause == (event.Ref{}) {
		cause = m.causes.latest(c.After)
	}
	subject := event.Subject{Group: m.group, Endpoint: c.Endpoint}
	m.causes.record(c.Kind, m.events.Emit(now, c.Kind, subject, cause, c.Note))
}

// eventTrace holds the latest event of each kind, which is the cause of the
// events that follow it.
type eventTrace struct{ latestEvents []tracedEvent }

type tracedEvent struct {
	kind event.Kind
	ref  event.Ref
}

func (t *eventTrace) latest(kind event.Kind) event.Ref {
	for i := range t.latestEvents {
		if t.latestEvents[i].kind == kind {
			return t.latestEvents[i].ref
		}
	}
	return event.Ref{}
}

func (t *eventTrace) record(kind event.Kind, ref event.Ref) {
	for i := range t.latestEvents {
		if t.latestEvents[i].kind == kind {
			t.latestEvents[i].ref = ref
			return
		}
	}
	t.latestEvents = append(t.latestEvents, tracedEvent{kind: kind, ref: ref})
}
