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

// lostTerm reports whether the endpoint was replaced as the primary while it
// ran the batch, and so refused to commit.
func (s *session) lostTerm(r *back.Result) bool {
	if r.BatchError == nil || s.relayed || r.Wrote {
		return false
	}
	return r.BatchError.Code == group.CodeSealed || r.BatchError.Code == group.CodeNotPrimary
}

// handleLostTerm handles an endpoint that was replaced as the primary while it
// ran the batch. A single transaction took no effect and can be retried on
// another endpoint.
func (s *session) handleLostTerm(ctx context.Context, w *work, held *heldConn, r *back.Result) (again bool, refusal, failure error) {
	s.release(r.Status == 'I')
	s.out, s.buffering = s.out[:0], false
	if w.plan.mayCommit {
		return false, fault.Indeterminate(r.BatchError, "the endpoint was replaced as the primary between several transactions"), nil
	}
	return s.handleNotPrimary(ctx, w, held)
}

// needsPrimary reports whether a replica rejected the batch as a write: nothing
// ran, and the primary has to run it.
func (s *session) needsPrimary(w *work, held *heldConn, r *back.Result) bool {
	return r.BatchError != nil && r.BatchError.Code == fault.ReadOnly &&
		held.role == group.ReplicaRole && !w.plan.readOnly && !s.relayed && r.Status == 'I'
}

// handleLostConn handles an exchange that ended without a complete answer. A
// read runs again at another endpoint, unless the caller has cancelled it.
func (s *session) handleLostConn(w *work, held *heldConn, err error) (again bool, refusal, failure error) {
	cancelled := s.clearCancelSent()
	s.release(false)
	if errors.Is(err, errAnswerTooLong) {
		return false, err, nil
	}
	var lost *back.LostError
	if !errors.As(err, &lost) {
		return false, nil, err // the caller has disconnected
	}
	s.reportLost(w, held)
	loss := stmt.Loss{Sent: lost.Sent, Relayed: s.relayed, NoEffect: !s.mayWrite || !w.plan.executes}
	retry := stmt.ClassifyLoss(loss) == stmt.RetryElsewhere
	if retry && cancelled {
		return false, fault.Cancel(err, "the request was cancelled and the endpoint's answer was lost"), nil
	}
	if retry {
		s.out, s.buffering = s.out[:0], false
		w.mayHaveRun = w.mayHaveRun || lost.Sent == stmt.SentSome && w.plan.executes
		w.need.Avoid = w.need.Avoid.With(held.index)
		return true, nil, nil
	}
	return false, fault.Indeterminate(err, "the connection to the endpoint was lost before its answer; the request may have taken effect"), nil
}

// reportLost reports an endpoint whose connection was lost. The session itself
// closes the connection when it ends, which says nothing about the endpoint.
func (s *session) reportLost(w *work, held *heldConn) {
	if !s.isEnding() {
		w.route.Group.Monitor.Failed(held.conn.Endpoint, held.term, time.Now())
	}
}

// handleFailedCheck handles a failed precondition; nothing of the batch ran.
func (s *session) handleFailedCheck(ctx context.Context, w *work, held *heldConn, r *back.Result) (again bool, refusal, failure error) {
	s.release(true)
	s.out = s.out[:0]
	e := r.FailedCheck
	switch e.Code {
	case group.CodeBehind, group.CodeStale:
		if held.role == group.PrimaryRole {
			return false, fault.Refuse(fault.Behind, retryBehind, "no endpoint of group %s has caught up with the session's writes", w.route.Group.Name), nil
		}
		w.need.Avoid = w.need.Avoid.With(held.index)
		return true, nil, nil
	case group.CodeNotPrimary, group.CodeSealed:
		return s.handleNotPrimary(ctx, w, held)
	case group.CodeRecorded:
		refusal, failure = s.answerRecorded(ctx, w, held, r)
		return false, refusal, failure
	case group.CodeMismatch:
		return false, requestMismatch(w.plan.request), nil
	}
	klog.ErrorS(e, "Unexpected precondition error", "endpoint", held.conn.Endpoint)
	return false, fault.Refuse(fault.Internal, 0, "a precondition failed at the endpoint: %s", e.Message).WithCause(e), nil
}

// handleNotPrimary reports an endpoint that is not the primary of the expected
// term, and waits for a change of primary unless a new term is already known.
func (s *session) handleNotPrimary(ctx context.Context, w *work, held *heldConn) (again bool, refusal, failure error) {
	g := w.route.Group
	changed := g.Monitor.Changed()
	g.Monitor.Failed(held.conn.Endpoint, held.term, time.Now())
	if g.Monitor.View().Term != held.term {
		return true, nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	if err := s.waitForPrimary(ctx, w, changed); err != nil {
		return false, err, nil
	}
	return true, nil, nil
}
