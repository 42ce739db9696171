package front

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// answerRecorded answers a repeated request that is already committed: it waits
// until a majority holds the record, then sends the recorded outcome.
func (s *session) answerRecorded(ctx context.Context, w *work, held *heldConn, r *back.Result) (refusal, failure error) {
	repeatsServed.Inc()
	s.buffering = true
	// The record may be from an earlier term. The primary of this term holds
	// it, so it is durable once this term has confirmed its position.
	proof := *r
	proof.Position.Term = max(held.term, r.Position.Term)
	if r.Position.Zero() {
		return fault.Indeterminate(r.FailedCheck, "the request is recorded, but its log position is not known"), nil
	}
	if err := s.confirm(ctx, w, &proof); err != nil {
		return err, nil
	}
	s.token = s.token.With(w.route.Group.Name, r.Position)
	s.hasToken = true
	if w.plan.opensTx {
		s.status = 'E' // later statements must not run outside the transaction
	}
	if w.plan.opensTx || !replayable(w.batch) {
		return alreadyCommitted(w.plan.request, r.FailedCheck), nil
	}
	if err := s.answerBatch(w.batch, r.FailedCheck.Detail); err != nil {
		return nil, err
	}
	return nil, s.sendToken()
}

// alreadyCommitted returns the error that answers a repeated request whose own
// answer was not recorded, such as rows or the outcomes of several statements.
func alreadyCommitted(request ident.Request, e *back.ServerError) error {
	return &fault.Error{
		Outcome: fault.Answered,
		Code:    group.CodeRecorded,
		Message: "request " + string(request) + " is already committed, with " + e.Detail,
	}
}

func requestMismatch(request ident.Request) error {
	return fault.Refuse(fault.RequestMismatch, 0, "request identifier %q was used for another statement", request)
}

// replayable reports whether the recorded command tag is the complete answer.
func replayable(b *back.Batch) bool {
	if b.Simple != nil {
		return !b.Simple.Multiple && !b.Simple.MayReturnRows()
	}
	runs := 0
	for i := range b.Steps {
		step := &b.Steps[i]
		if step.Op == back.OpExecute {
			runs++
		}
		if step.Op == back.OpBind && step.Statement.MayReturnRows() {
			return false
		}
	}
	return runs == 1
}

// answerBatch sends the answer that an endpoint would give to a batch that
// returns no rows.
func (s *session) answerBatch(b *back.Batch, tag string) error {
	if b.Simple != nil {
		return s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	for i := range b.Steps {
		if err := s.answerStep(&b.Steps[i], tag); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) answerStep(step *back.Step, tag string) error {
	switch step.Op {
	case back.OpParse:
		s.parsed++
		return s.send(&pgproto3.ParseComplete{})
	case back.OpBind:
		return s.send(&pgproto3.BindComplete{})
	case back.OpDescribe:
		if err := s.send(&pgproto3.ParameterDescription{ParameterOIDs: step.Statement.Types}); err != nil {
			return err
		}
		return s.send(&pgproto3.NoData{})
	case back.OpDescribePortal:
		return s.send(&pgproto3.NoData{})
	case back.OpExecute:
		return s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return s.send(&pgproto3.CloseComplete{})
}
