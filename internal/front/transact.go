package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// continueTransaction runs a batch on the connection of the open transaction.
func (s *session) continueTransaction(w *work) (refusal, failure error) {
	l := s.lent
	s.careful = l.role == group.PrimaryRole
	result, err := s.run(l, w, s.preludeInside(w, l))
	if err != nil {
		return s.lostTransaction(w, l, err)
	}
	if result.Refused != nil {
		return s.refusedInside(w, result.Refused), nil
	}
	if s.wasDeposed(&result) {
		s.status = result.Status
		if s.status == 'I' {
			s.endLoan(true)
		}
		return fault.Refuse(fault.NoPrimary, retryPrimary, "the transaction's endpoint was replaced; nothing of the transaction took effect").WithCause(result.Failed), nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), w.deadline)
	defer cancel()
	return s.settle(ctx, w, &result)
}

// preludeInside returns the checks of a batch in an open transaction. The first
// statement that bears a request identifier records it with the transaction.
func (s *session) preludeInside(w *work, l *loan) back.Preconditions {
	p := back.Preconditions{LastWrite: s.careful && w.plan.runs}
	if s.careful && w.plan.runs && w.plan.request != "" && w.plan.request != l.request {
		p.RequestID, p.Digest = w.plan.request, w.plan.digest
		l.request = p.RequestID
	}
	return p
}

// refusedInside answers a failed check in an open transaction.
func (s *session) refusedInside(w *work, e *back.ServerError) error {
	switch e.Code {
	case group.CodeRecorded:
		return committedAlready(w.plan.request, e)
	case group.CodeMismatch:
		return mismatch(w.plan.request)
	}
	return fault.Refuse(e.Code, 0, "a check failed in the transaction: %s", e.Message).WithCause(e)
}

// lostTransaction says what became of a transaction whose connection was lost.
// Without a commit on its way the endpoint has rolled it back.
func (s *session) lostTransaction(w *work, l *loan, err error) (refusal, failure error) {
	s.endLoan(false)
	if errors.Is(err, errTooMuchHeld) {
		s.status = 'I'
		return err, nil
	}
	var lost *back.LostError
	if !errors.As(err, &lost) {
		return nil, err
	}
	w.route.Group.Monitor.Failed(l.conn.Endpoint, l.term, time.Now())
	loss := stmt.Loss{Sent: lost.Sent, Relayed: s.relayed, NoEffect: !s.careful || !w.plan.commits, InTransaction: true}
	if stmt.ClassifyLoss(loss) == stmt.NotRun {
		s.status = 'E'
		return fault.Refuse(fault.NoPrimary, retryPrimary, "the transaction's endpoint was lost; nothing of the transaction took effect").WithCause(err), nil
	}
	s.status = 'I'
	return fault.Indeterminate(err, "the endpoint was lost during the commit; the transaction may have taken effect"), nil
}

// afterLoss serves a caller whose transaction was lost with its endpoint, as a
// failed transaction: everything is refused until the caller ends it.
func (s *session) afterLoss(b *back.Batch) (refusal, failure error) {
	if !ends(b) {
		return fault.Refuse("25P02", 0, "the transaction failed; end it before anything else"), nil
	}
	if b.Runs() {
		s.status = 'I'
	}
	return nil, s.answerBatch(b, "ROLLBACK")
}

// ends reports whether a batch is nothing but the end of a transaction.
func ends(b *back.Batch) bool {
	if b.Simple != nil {
		return endsText(b.Simple)
	}
	bound := false
	for i := range b.Steps {
		step := &b.Steps[i]
		if step.Statement != nil && !endsText(&step.Statement.Text) {
			return false
		}
		bound = bound || step.Op == back.OpBind
		if step.Op == back.OpExecute && !bound {
			return false
		}
	}
	return true
}

func endsText(t *stmt.Text) bool {
	return !t.Multiple && (t.Kind == stmt.Commit || t.Kind == stmt.Rollback)
}
