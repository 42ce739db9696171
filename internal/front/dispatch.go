package front

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The times after which a refused caller may retry, and the limit of attempts
// within one request.
const (
	retryPrimary = 250 * time.Millisecond
	retryBehind  = 100 * time.Millisecond
	maxAttempts  = 8
)

// heldConn is an endpoint connection acquired for one transaction.
type heldConn struct {
	pool  *back.Pool
	conn  *back.Conn
	index int
	role  group.Role
	term  ident.Term
	// request is the request identifier recorded with the transaction.
	request stmt.RequestID
}

// work is one batch and the state of its execution.
type work struct {
	batch      *back.Batch
	plan       plan
	route      *Route
	need       group.Requirements
	deadline   time.Time
	attempts   int
	mayHaveRun bool // an endpoint whose connection was lost may have run the batch
}

// dispatch runs one batch. It returns a refusal for the caller, or a failure
// that ends the session.
func (s *session) dispatch(ctx context.Context, b *back.Batch) (refusal, failure error) {
	if isStopping(ctx) {
		return errStopping, nil
	}
	now := time.Now()
	route := s.server.routes.Get(s.identity.Route)
	if route == nil {
		return nil, s.fatal(fault.Refuse(fault.NoRoute, 0, "the route %q was removed", s.identity.Route))
	}
	if err := s.server.admitter.Check(&s.identity, now); err != nil {
		return s.refuseIdentity(err)
	}
	p := newPlan(b, route)
	if done, err := s.answerLocally(b, &p); done || err != nil {
		return nil, err
	}
	s.opensTx = p.opensTx && p.executes
	if p.refusal != nil {
		return p.refusal, nil
	}
	w := &work{batch: b, plan: p, route: route, deadline: now.Add(s.server.options.RequestTimeout)}
	if s.held != nil {
		return s.continueTransaction(ctx, w)
	}
	if s.status != 'I' {
		return s.inFailedTx(b)
	}
	return s.startAdmitted(ctx, w, now)
}

// refuseIdentity refuses a request whose key is not in force. A revoked key
// ends the session and rolls back its transaction. A temporary refusal, which
// has a retry delay, keeps the session open unless it holds a transaction.
func (s *session) refuseIdentity(err error) (refusal, failure error) {
	if fault.From(err).RetryIn > 0 && s.held == nil {
		return err, nil
	}
	return nil, s.fatal(err)
}

// startAdmitted spends a token of the account's quota on the request, and
// refunds it when nothing ran.
func (s *session) startAdmitted(ctx context.Context, w *work, now time.Time) (refusal, failure error) {
	if !w.plan.executes {
		return s.start(ctx, w)
	}
	if err := s.server.admitter.SpendWait(ctx, &s.identity, now); err != nil {
		return err, nil
	}
	refusal, failure = s.start(ctx, w)
	if refusal != nil && w.mayHaveRun {
		refusal = withUnknownOutcome(refusal)
	}
	if refusal != nil && fault.From(refusal).Outcome == fault.NotRun {
		s.server.admitter.Refund(&s.identity, time.Now())
	}
	return refusal, failure
}

// withUnknownOutcome keeps the code and the retry hint of a refusal, but not
// the claim that nothing ran: an endpoint whose connection was lost may have
// run the read before another endpoint refused it.
func withUnknownOutcome(refusal error) error {
	e := *fault.From(refusal)
	if e.Outcome == fault.NotRun {
		e.Outcome = fault.Unknown
	}
	return &e
}

// start runs a batch that is not part of an open transaction.
func (s *session) start(ctx context.Context, w *work) (refusal, failure error) {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	w.need = group.Requirements{
		Write:      w.plan.write && w.plan.executes,
		MaxAge:     w.route.MaxAge.Std(),
		DataCentre: s.server.options.DataCentre,
		Rotation:   s.server.rotation.Add(1),
	}
	if s.server.options.ReadsAtPrimary {
		w.need.Write = true
	} else if w.plan.executes && !w.need.Write {
		if err := s.learnFloor(ctx, w); err != nil {
			return err, nil
		}
	}
	for w.attempts = 1; w.attempts <= maxAttempts; w.attempts++ {
		again, refusal, failure := s.attempt(ctx, w)
		if !again {
			return refusal, failure
		}
	}
	return fault.Refuse(fault.NoPrimary, retryPrimary, "no endpoint of group %s could serve the request", w.route.Group.Name), nil
}

// attempt runs the batch on one endpoint. It reports true when the caller
// should try again, at another endpoint or after a change of primary.
func (s *session) attempt(ctx context.Context, w *work) (again bool, refusal, failure error) {
	if isStopping(ctx) {
		return false, errStopping, nil
	}
	held, refusal := s.acquire(ctx, w)
	if refusal != nil {
		return false, refusal, nil
	}
	if held == nil {
		return true, nil, nil
	}
	s.held = held
	s.mayWrite = held.role == group.PrimaryRole && !w.plan.readOnly
	result, err := s.run(held, w, preconditionsOf(w, held))
	if err != nil {
		return s.handleLostConn(w, held, err)
	}
	if result.FailedCheck != nil {
		return s.handleFailedCheck(ctx, w, held, &result)
	}
	if s.needsPrimary(w, held, &result) {
		w.need.Write = true
		s.release(true)
		s.out = s.out[:0]
		movedReads.Inc()
		return true, nil, nil
	}
	if s.lostTerm(&result) {
		return s.handleLostTerm(ctx, w, held, &result)
	}
	s.count(w, held)
	refusal, failure = s.finish(ctx, w, &result)
	return false, refusal, failure
}

// preconditionsOf returns the preconditions that the endpoint checks before it
// runs the batch.
func preconditionsOf(w *work, held *heldConn) back.Preconditions {
	if !w.plan.executes {
		return back.Preconditions{}
	}
	if held.role == group.ReplicaRole {
		return back.Preconditions{Floor: w.need.Floor, MaxAgeMS: w.need.MaxAge.Milliseconds()}
	}
	p := back.Preconditions{PrimaryTerm: held.term, Floor: w.need.Floor, ReadOnly: w.plan.readOnly, LastWrite: !w.plan.readOnly}
	if w.plan.request != "" && w.need.Write {
		p.RequestID, p.Digest = w.plan.request, w.plan.digest
		held.request = p.RequestID
	}
	return p
}

// run sends the batch to the endpoint and relays the answer.
func (s *session) run(held *heldConn, w *work, p back.Preconditions) (back.Result, error) {
	s.parsed, s.committed = 0, false
	s.setRunning(held.conn)
	defer s.setRunning(nil)
	return held.conn.Run(w.batch, &p, s, w.deadline)
}

func (s *session) count(w *work, held *heldConn) {
	switch {
	case !w.plan.executes:
	case w.plan.write || w.need.Write:
		writes.Inc()
	default:
		countRead(held.role)
	}
}
