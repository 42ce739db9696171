package front

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// continueTransaction runs a batch on the connection of the open transaction.
func (s *session) continueTransaction(ctx context.Context, w *work) (refusal, failure error) {
	held := s.held
	s.mayWrite = held.role == group.PrimaryRole
	result, err := s.run(held, w, s.txPreconditions(w, held))
	if err != nil {
		return s.handleLostTx(w, held, err)
	}
	if result.FailedCheck != nil {
		return s.txCheckFailed(w, result.FailedCheck), nil
	}
	if s.lostTerm(&result) {
		s.status = result.Status
		if s.status == 'I' {
			s.release(true)
		}
		return fault.Refuse(fault.NoPrimary, retryPrimary, "the transaction's endpoint was replaced as the primary; nothing of the transaction took effect").WithCause(result.BatchError), nil
	}
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	return s.finish(ctx, w, &result)
}

// txPreconditions returns the preconditions of a batch in an open transaction.
// The first statement with a request identifier records it with the
// transaction.
func (s *session) txPreconditions(w *work, held *heldConn) back.Preconditions {
	p := back.Preconditions{LastWrite: s.mayWrite && w.plan.executes}
	if s.mayWrite && w.plan.executes && w.plan.request != "" && w.plan.request != held.request {
		p.RequestID, p.Digest = w.plan.request, w.plan.digest
		held.request = p.RequestID
	}
	return p
}

// txCheckFailed returns the refusal for a failed precondition in an open
// transaction.
func (s *session) txCheckFailed(w *work, e *back.ServerError) error {
	switch e.Code {
	case group.CodeRecorded:
		return alreadyCommitted(w.plan.request, e)
	case group.CodeMismatch:
		return requestMismatch(w.plan.request)
	}
	return fault.Refuse(e.Code, 0, "a precondition failed in the transaction: %s", e.Message).WithCause(e)
}

// handleLostTx handles a transaction whose connection was lost. The endpoint
// rolls it back unless a COMMIT had been sent.
func (s *session) handleLostTx(w *work, held *heldConn, err error) (refusal, failure error) {
	s.release(false)
	if errors.Is(err, errAnswerTooLong) {
		s.status = 'I'
		return err, nil
	}
	var lost *back.LostError
	if !errors.As(err, &lost) {
		return nil, err
	}
	s.reportLost(w, held)
	loss := stmt.Loss{Sent: lost.Sent, Relayed: s.relayed, NoEffect: !s.mayWrite || !w.plan.mayCommit, InTransaction: true}
	if stmt.ClassifyLoss(loss) == stmt.NotRun {
		s.status = 'E'
		return fault.Refuse(fault.NoPrimary, retryPrimary, "the connection to the transaction's endpoint was lost; nothing of the transaction took effect").WithCause(err), nil
	}
	s.status = 'I'
	return fault.Indeterminate(err, "the connection to the endpoint was lost during the commit; the transaction may have taken effect"), nil
}

// inFailedTx answers a caller whose transaction was lost with its connection as
// PostgreSQL answers in a failed transaction: every statement is refused until
// the caller ends the transaction.
func (s *session) inFailedTx(b *back.Batch) (refusal, failure error) {
	if !endsTxOnly(b) {
		return fault.Refuse("25P02", 0, "the transaction has failed; end it before sending other statements"), nil
	}
	if b.Executes() {
		s.status = 'I'
	}
	return nil, s.answerBatch(b, "ROLLBACK")
}

// endsTxOnly reports whether a batch does nothing but end a transaction.
func endsTxOnly(b *back.Batch) bool {
	if b.Simple != nil {
		return endsTx(b.Simple)
	}
	bound := false
	for i := range b.Steps {
		step := &b.Steps[i]
		if step.Statement != nil && !endsTx(&step.Statement.Text) {
			return false
		}
		bound = bound || step.Op == back.OpBind
		if step.Op == back.OpExecute && !bound {
			return false
		}
	}
	return true
}

func endsTx(t *stmt.Text) bool {
	return !t.Multiple && (t.Kind == stmt.Commit || t.Kind == stmt.Rollback)
}
