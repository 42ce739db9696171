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

// finish completes a batch that the endpoint has answered: it keeps the
// connection if a transaction is open, waits for a write to be confirmed and
// sends the caller the new session token.
func (s *session) finish(ctx context.Context, w *work, r *back.Result) (refusal, failure error) {
	s.status = r.Status
	if r.Status == 'I' {
		s.release(true)
	}
	if r.LastWriteUnknown && s.committed {
		return fault.Indeterminate(r.BatchError, "it could not be determined what was committed before the error"), nil
	}
	if !r.Wrote {
		return nil, nil
	}
	w.observe(r)
	s.token = s.token.With(w.route.Group.Name, r.Position)
	s.hasToken = true
	if err := s.confirm(ctx, w, r); err != nil {
		return err, nil
	}
	return nil, s.sendToken()
}

// observe reports the primary's log position to the monitor, so that replicas
// that hold the write can be chosen at once.
func (w *work) observe(r *back.Result) {
	status := group.Status{Term: r.Position.Term, Role: group.PrimaryRole, Last: r.Position, Confirmed: r.Confirmed}
	w.route.Group.Monitor.Observe(r.Endpoint, status, time.Now())
}

// confirm waits until a majority holds the write, if the route requires it.
func (s *session) confirm(ctx context.Context, w *work, r *back.Result) error {
	if w.route.Durability == envdoc.Primary {
		return nil
	}
	if r.Confirmed >= r.Position.Position {
		return nil
	}
	assert.That(s.buffering || r.BatchError != nil, "front.confirm.held", "write at %v would be acknowledged before its confirmation", r.Position)
	began := time.Now()
	if err := w.route.Group.Confirmer.Wait(ctx, r.Position); err != nil {
		return fault.Indeterminate(err, "the write was not confirmed by a majority; it may have taken effect")
	}
	confirmTime.UpdateDuration(began)
	return nil
}

// release releases the held connection, which is reused only when keep is true
// and no cancel was sent for it.
func (s *session) release(keep bool) {
	if s.held == nil {
		return
	}
	held := s.held
	s.held = nil
	keep = keep && !s.clearCancelSent()
	held.pool.Release(held.conn, keep, time.Now())
}
