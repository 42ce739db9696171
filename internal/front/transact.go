package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// continueTransaction runs a batch on the connection of the open transaction.
func (s *session) continueTransaction(w *work) (refusal, failure error) {
	l := s.lent
	s.careful = l.role == group.PrimaryRole
	result, err := s.run(l, w, back.Prelude{LastWrite: s.careful})
	if err != nil {
		return s.lostTransaction(w, l, err)
	}
	if s.wasDeposed(&result) {
		s.status = result.Status
		if s.status == 'I' {
			s.endLoan(true)
		}
		return fault.Refuse(fault.NoPrimary, retryPrimary, "the transaction's endpoint was replaced; nothing of the transaction took effect").Because(result.Failed), nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), w.deadline)
	defer cancel()
	return s.settle(ctx, w, &result)
}

// lostTransaction says what became of a transaction whose connection was lost.
// Without a commit on its way the endpoint has rolled it back.
func (s *session) lostTransaction(w *work, l *loan, err error) (refusal, failure error) {
	s.endLoan(false)
	var lost *back.LostError
	if !errors.As(err, &lost) {
		return nil, err
	}
	w.route.Group.Keeper.Failed(l.conn.Endpoint, l.term, time.Now())
	loss := stmt.Loss{Sent: lost.Sent, Relayed: s.relayed, Harmless: !s.careful || !w.plan.commits, InTransaction: true}
	if stmt.Judge(loss) == stmt.NotRun {
		s.status = 'E'
		return fault.Refuse(fault.NoPrimary, retryPrimary, "the transaction's endpoint was lost; nothing of the transaction took effect").Because(err), nil
	}
	s.status = 'I'
	return fault.Lose(err, "the endpoint was lost during the commit; the transaction may have taken effect"), nil
}

// afterLoss serves a caller whose transaction was lost with its endpoint, as a
// failed transaction: everything is refused until the caller ends it.
func (s *session) afterLoss(b *back.Batch) (refusal, failure error) {
	if !ends(b) {
		return fault.Refuse("25P02", 0, "the transaction was lost; end it before anything else"), nil
	}
	s.status = 'I'
	for i := range b.Steps {
		if err := s.answerLocally(b.Steps[i].Op); err != nil {
			return nil, err
		}
	}
	if b.Simple != nil {
		return nil, s.answerLocally(back.OpExecute)
	}
	return nil, nil
}

// ends reports whether a batch is nothing but the end of a transaction.
func ends(b *back.Batch) bool {
	if b.Simple != nil {
		return endsText(b.Simple)
	}
	for i := range b.Steps {
		if p := b.Steps[i].Statement; p != nil && !endsText(&p.Text) {
			return false
		}
	}
	return true
}

func endsText(t *stmt.Text) bool {
	return !t.Several && (t.Kind == stmt.Commit || t.Kind == stmt.Rollback)
}

// answerLocally gives the answer of an endpoint to the end of a failed
// transaction.
func (s *session) answerLocally(op back.Op) error {
	switch op {
	case back.OpParse:
		return s.Relay(parseComplete, nil)
	case back.OpBind:
		return s.send(&pgproto3.BindComplete{})
	case back.OpDescribe:
		if err := s.send(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
		return s.send(&pgproto3.NoData{})
	case back.OpPortal:
		return s.send(&pgproto3.NoData{})
	case back.OpExecute:
		return s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	}
	return s.send(&pgproto3.CloseComplete{})
}
