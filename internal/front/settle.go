package front

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// settle ends a batch that was answered: it keeps the connection for an open
// transaction, confirms a write, and tells the caller the new token.
func (s *session) settle(ctx context.Context, w *work, r *back.Result) (refusal, failure error) {
	s.status = r.Status
	if r.Status == 'I' {
		s.endLoan(true)
	}
	if r.LastWriteUnknown && s.committed {
		return fault.Indeterminate(r.Failed, "what was committed ahead of the error could not be learned"), nil
	}
	if !r.Wrote {
		return nil, nil
	}
	w.observe(r)
	s.token = s.token.With(w.route.Group.Name, r.Position)
	s.shown = true
	if err := s.confirm(ctx, w, r); err != nil {
		return err, nil
	}
	return nil, s.sendToken()
}

// observe tells the keeper how far the primary is, so that replicas that hold
// the write are found at once.
func (w *work) observe(r *back.Result) {
	status := group.Status{Term: r.Position.Term, Role: group.PrimaryRole, Last: r.Position, Confirmed: r.Confirmed}
	w.route.Group.Monitor.Observe(r.Endpoint, status, time.Now())
}

// confirm waits until a majority holds the write, where the route asks for it.
func (s *session) confirm(ctx context.Context, w *work, r *back.Result) error {
	if w.route.Durability == envdoc.Primary {
		return nil
	}
	if r.Confirmed >= r.Position.Position {
		return nil
	}
	assert.That(s.hold || r.Failed != nil, "front.confirm.held", "a write at %v would be acknowledged before its confirmation", r.Position)
	began := time.Now()
	if err := w.route.Group.Confirmer.Wait(ctx, r.Position); err != nil {
		return fault.Indeterminate(err, "the write was not confirmed by a majority; it may have taken effect")
	}
	confirmTime.UpdateDuration(began)
	return nil
}

// endLoan gives the lent connection back.
func (s *session) endLoan(keep bool) {
	if s.lent == nil {
		return
	}
	l := s.lent
	s.lent = nil
	keep = keep && !s.wasStruck()
	l.pool.Release(l.conn, keep, time.Now())
}
