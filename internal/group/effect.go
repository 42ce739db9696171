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

// carryOut runs one command. Calls of a Server run in goroutines of their own
// and come back as messages.
func (k *Monitor) carryOut(cmd Cmd, now time.Time) {
	switch c := cmd.(type) {
	case Probe:
		k.call(func(ctx context.Context) Msg { return k.probe(ctx, c) })
	case Seal:
		k.call(func(ctx context.Context) Msg { return k.seal(ctx, c) })
	case Promote:
		k.call(func(ctx context.Context) Msg { return k.promote(ctx, c) })
	case Follow:
		k.call(func(ctx context.Context) Msg { return k.follow(ctx, c) })
	case Publish:
		k.publish(c.View)
	case Announce:
		k.announce(c, now)
	case EmitEvent:
		k.emit(c, now)
	}
}

func (k *Monitor) call(f func(ctx context.Context) Msg) {
	k.tasks.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, k.bounds.CallTimeout)
		defer cancel()
		msg := f(ctx)
		k.send(msg, time.Now())
		return nil
	})
}

func (k *Monitor) probe(ctx context.Context, c Probe) Msg {
	began := time.Now()
	status, err := k.dial(c.Endpoint).Status(ctx)
	if err != nil {
		k.gauges.probesFailed.Inc()
		klog.V(4).InfoS("Probe failed", "group", k.group, "endpoint", c.Endpoint, "err", err)
		return ProbeFailed{Endpoint: c.Endpoint, Began: began, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	k.gauges.probes.Inc()
	return StatusSeen{Endpoint: c.Endpoint, Status: status, Began: began}
}

func (k *Monitor) seal(ctx context.Context, c Seal) Msg {
	status, err := k.dial(c.Endpoint).Seal(ctx, c.Term)
	return SealDone{Endpoint: c.Endpoint, Term: c.Term, Status: status, Err: errors.Wrap(err, "seal term")}
}

func (k *Monitor) promote(ctx context.Context, c Promote) Msg {
	status, err := k.dial(c.Endpoint).Promote(ctx, c.Term)
	if err == nil {
		k.gauges.failovers.Inc()
		k.tell(c.Term, c.Endpoint)
	}
	return PromoteDone{Endpoint: c.Endpoint, Term: c.Term, Status: status, Err: errors.Wrap(err, "promote")}
}

// tell calls the hook for promotions, which may block, apart from the call.
func (k *Monitor) tell(term ident.Term, primary ident.Endpoint) {
	if k.promoted == nil {
		return
	}
	k.tasks.Go(func(context.Context) error {
		k.promoted(term, primary)
		return nil
	})
}

func (k *Monitor) follow(ctx context.Context, c Follow) Msg {
	err := k.dial(c.Endpoint).Follow(ctx, c.Term, c.Address)
	return FollowDone{Endpoint: c.Endpoint, Term: c.Term, Err: errors.Wrap(err, "follow primary")}
}

func (k *Monitor) announce(c Announce, now time.Time) {
	if k.peers == nil {
		return
	}
	state := peer.GroupState{Group: k.group, Term: c.Term, Primary: c.Primary, Cause: k.trace.latest(PrimaryChanged)}
	if k.events != nil {
		state.Stamp = k.events.Now(now)
	}
	k.peers.Broadcast(state)
}

func (k *Monitor) emit(c EmitEvent, now time.Time) {
	klog.InfoS("Group event", "group", k.group, "kind", c.Kind, "endpoint", c.Endpoint, "note", c.Note)
	if k.events == nil {
		return
	}
	cause := c.Cause
	if cause == (event.Ref{}) {
		cause = k.trace.latest(c.After)
	}
	subject := event.Subject{Group: k.group, Endpoint: c.Endpoint}
	k.trace.note(c.Kind, k.events.Emit(now, c.Kind, subject, cause, c.Note))
}

// trace remembers the latest event of each kind, as the cause of what follows.
type trace struct{ steps []step }

type step struct {
	kind event.Kind
	ref  event.Ref
}

func (t *trace) latest(kind event.Kind) event.Ref {
	for i := range t.steps {
		if t.steps[i].kind == kind {
			return t.steps[i].ref
		}
	}
	return event.Ref{}
}

func (t *trace) note(kind event.Kind, ref event.Ref) {
	for i := range t.steps {
		if t.steps[i].kind == kind {
			t.steps[i].ref = ref
			return
		}
	}
	t.steps = append(t.steps, step{kind: kind, ref: ref})
}
