package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// learnFloor sets the log position that the data must cover. A session without
// a token queries the group for it once and keeps the result.
func (s *session) learnFloor(ctx context.Context, w *work) error {
	w.need.Floor = s.token.Position(w.route.Group.Name)
	if !w.need.Floor.Zero() || s.hasToken {
		return nil
	}
	if s.floor.Zero() {
		floor, err := w.route.Group.Monitor.Floor(ctx, time.Now())
		if err != nil {
			return fault.Refuse(fault.NoPrimary, retryPrimary, "the group's log position could not be determined").WithCause(err)
		}
		s.floor = floor
	}
	w.need.Floor = s.floor
	return nil
}

// acquire chooses an endpoint and acquires a connection to it. It returns nil
// and no error when the caller should choose again.
func (s *session) acquire(ctx context.Context, w *work) (*heldConn, error) {
	g := w.route.Group
	changed := g.Monitor.Changed()
	view := g.Monitor.View()
	choice := s.choose(w, view, time.Now())
	if choice.Index == group.NoEndpoint {
		return nil, s.waitForPrimary(ctx, w, changed)
	}
	name := view.Endpoints[choice.Index].Endpoint.Name
	pool := g.Pools[name]
	if pool == nil {
		w.need.Avoid = w.need.Avoid.With(choice.Index)
		return nil, nil
	}
	conn, err := pool.Acquire(ctx, back.Requester{Account: s.identity.Account, Weight: s.server.admitter.Weight(&s.identity)}, time.Now())
	if err == nil {
		return &heldConn{pool: pool, conn: conn, index: choice.Index, role: choice.Role, term: choice.Term}, nil
	}
	if errors.Is(err, back.ErrUnreachable) || errors.Is(err, back.ErrClosed) {
		return nil, s.unreachable(ctx, w, name, &choice, changed)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, fault.Refuse(fault.OverLimit, retryPrimary, "no connection to endpoint %s became available", name).WithCause(err)
	}
	if isStopping(ctx) {
		return nil, errStopping
	}
	return nil, err
}

// choose returns the endpoint for the batch.
func (s *session) choose(w *work, view *group.View, now time.Time) group.Choice {
	g := w.route.Group
	need := w.need
	need.Load = func(i int) int { return g.inFlight(view, i) }
	return view.Choose(need, now)
}

// unreachable reports an endpoint that could not be connected to, and waits for
// a change of primary when it was the primary.
func (s *session) unreachable(ctx context.Context, w *work, name ident.Endpoint, c *group.Choice, changed <-chan struct{}) error {
	w.route.Group.Monitor.Failed(name, c.Term, time.Now())
	if c.Role == group.PrimaryRole {
		return s.waitForPrimary(ctx, w, changed)
	}
	w.need.Avoid = w.need.Avoid.With(c.Index)
	return nil
}

// waitForPrimary waits for a change of primary, at most until
// Options.PrimaryWait after the request began. Then it returns a refusal.
func (s *session) waitForPrimary(ctx context.Context, w *work, changed <-chan struct{}) error {
	primaryWaits.Inc()
	w.need.Avoid = 0
	ctx, cancel := context.WithDeadline(ctx, w.deadline.Add(s.server.options.PrimaryWait-s.server.options.RequestTimeout))
	defer cancel()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.NoPrimary, retryPrimary, "group %s has no primary", w.route.Group.Name)
	}
}

// inFlight returns the number of requests that hold or wait for a connection to
// an endpoint.
func (g *Group) inFlight(v *group.View, index int) int {
	if p := g.Pools[v.Endpoints[index].Endpoint.Name]; p != nil {
		return p.Busy()
	}
	return 0
}
