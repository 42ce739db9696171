package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// wasDeposed reports whether the endpoint lost its term while the batch ran,
// so that it refused to commit.
func (s *session) wasDeposed(r *back.Result) bool {
	if r.Failed == nil || s.relayed || r.Wrote {
		return false
	}
	return r.Failed.Code == group.CodeSealed || r.Failed.Code == group.CodeNotPrimary
}

// overtaken decides what follows when the endpoint lost its term while it ran
// the batch. A single transaction took no effect and may run elsewhere.
func (s *session) overtaken(w *work, l *loan, r *back.Result) (again bool, refusal, failure error) {
	s.endLoan(r.Status == 'I')
	s.out, s.hold = s.out[:0], false
	if w.plan.commits {
		return false, fault.Indeterminate(r.Failed, "the endpoint was replaced in the midst of several transactions"), nil
	}
	return s.deposed(w, l)
}

// mayMove reports whether a replica refused the batch as a write, so that it
// ran nothing and belongs to the primary.
func (s *session) mayMove(w *work, l *loan, r *back.Result) bool {
	return r.Failed != nil && r.Failed.Code == fault.ReadOnly &&
		l.role == group.ReplicaRole && !w.plan.readOnly && !s.relayed && r.Status == 'I'
}

// lost decides what follows when an exchange ended without a whole answer.
func (s *session) lost(w *work, l *loan, err error) (again bool, refusal, failure error) {
	s.endLoan(false)
	if errors.Is(err, errTooMuchHeld) {
		return false, err, nil
	}
	var lost *back.LostError
	if !errors.As(err, &lost) {
		return false, nil, err // the caller itself is gone
	}
	w.route.Group.Monitor.Failed(l.conn.Endpoint, l.term, time.Now())
	loss := stmt.Loss{Sent: lost.Sent, Relayed: s.relayed, NoEffect: !s.careful || !w.plan.runs}
	if stmt.ClassifyLoss(loss) == stmt.RetryElsewhere {
		s.out, s.hold = s.out[:0], false
		w.reached = w.reached || lost.Sent == stmt.SentSome && w.plan.runs
		w.need.Avoid = w.need.Avoid.With(l.index)
		return true, nil, nil
	}
	return false, fault.Indeterminate(err, "the endpoint was lost before its answer; the request may have taken effect"), nil
}

// checked decides what follows from a failed check; nothing ran.
func (s *session) checked(ctx context.Context, w *work, l *loan, r *back.Result) (again bool, refusal, failure error) {
	s.endLoan(true)
	s.out = s.out[:0]
	e := r.Refused
	switch e.Code {
	case group.CodeBehind, group.CodeStale:
		if l.role == group.PrimaryRole {
			return false, fault.Refuse(fault.Behind, retryBehind, "no endpoint of group %s holds what the session has written", w.route.Group.Name), nil
		}
		w.need.Avoid = w.need.Avoid.With(l.index)
		return true, nil, nil
	case group.CodeNotPrimary, group.CodeSealed:
		return s.deposed(w, l)
	case group.CodeRecorded:
		refusal, failure = s.recorded(ctx, w, l, r)
		return false, refusal, failure
	case group.CodeMismatch:
		return false, mismatch(w.plan.request), nil
	}
	klog.ErrorS(e, "Check failed", "endpoint", l.conn.Endpoint)
	return false, fault.Refuse(fault.Internal, 0, "a check failed at the endpoint: %s", e.Message).WithCause(e), nil
}

// deposed reports an endpoint that is not the primary it was taken for.
func (s *session) deposed(w *work, l *loan) (again bool, refusal, failure error) {
	g := w.route.Group
	changed := g.Monitor.Changed()
	g.Monitor.Failed(l.conn.Endpoint, l.term, time.Now())
	if g.Monitor.View().Term != l.term {
		return true, nil, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), w.deadline)
	defer cancel()
	if err := s.park(ctx, w, changed); err != nil {
		return false, err, nil
	}
	return true, nil, nil
}
