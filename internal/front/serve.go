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

// Hints for coming back.
const (
	retryPrimary = 250 * time.Millisecond
	retryBehind  = 100 * time.Millisecond
	maxAttempts  = 8
)

// loan is an endpoint connection lent for one transaction.
type loan struct {
	pool  *back.Pool
	conn  *back.Conn
	index int
	role  group.Role
	term  ident.Term
	// request is the identifier recorded with the transaction.
	request stmt.RequestID
}

// work is one batch on its way to an endpoint.
type work struct {
	batch    *back.Batch
	plan     plan
	route    *Route
	need     group.Requirements
	deadline time.Time
	attempts int
	reached  bool // an endpoint that was lost may have run the batch
}

// dispatch serves one batch. It returns a refusal for the caller, or an error
// that ends the session.
func (s *session) dispatch(ctx context.Context, b *back.Batch) (refusal, failure error) {
	now := time.Now()
	route := s.server.table.Get(s.badge.Route)
	if route == nil {
		return nil, s.fatal(fault.Refuse(fault.NoRoute, 0, "the route %q was withdrawn", s.badge.Route))
	}
	if err := s.server.gate.Check(&s.badge, now); err != nil {
		return s.unkeyed(err)
	}
	p := planOf(b, route)
	if done, err := s.local(b, &p); done || err != nil {
		return nil, err
	}
	s.opening = p.opens && p.runs
	if p.refusal != nil {
		return p.refusal, nil
	}
	w := &work{batch: b, plan: p, route: route, deadline: now.Add(s.server.options.RequestTimeout)}
	if s.lent != nil {
		return s.continueTransaction(w)
	}
	if s.status != 'I' {
		return s.afterLoss(b)
	}
	return s.admitted(ctx, w, now)
}

// unkeyed refuses a request whose key is not in force. A key that was
// withdrawn ends the session and rolls back its transaction; a refusal with a
// time to come back leaves the session as it is.
func (s *session) unkeyed(err error) (refusal, failure error) {
	if fault.From(err).RetryIn > 0 && s.lent == nil {
		return err, nil
	}
	return nil, s.fatal(err)
}

// admitted spends a token of the account's quota on the request, and gives it
// back when nothing ran.
func (s *session) admitted(ctx context.Context, w *work, now time.Time) (refusal, failure error) {
	if !w.plan.runs {
		return s.start(ctx, w)
	}
	if err := s.server.gate.SpendWait(ctx, &s.badge, now); err != nil {
		return err, nil
	}
	refusal, failure = s.start(ctx, w)
	if refusal != nil && w.reached {
		refusal = mayHaveRun(refusal)
	}
	if refusal != nil && fault.From(refusal).Outcome == fault.NotRun {
		s.server.gate.Refund(&s.badge, time.Now())
	}
	return refusal, failure
}

// mayHaveRun keeps the code and the hint of a refusal, but not the claim that
// nothing ran: a read was lost at one endpoint before it was refused.
func mayHaveRun(refusal error) error {
	e := *fault.From(refusal)
	if e.Outcome == fault.NotRun {
		e.Outcome = fault.Unknown
	}
	return &e
}

// start runs a batch that opens a transaction or is one by itself.
func (s *session) start(ctx context.Context, w *work) (refusal, failure error) {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	w.need = group.Requirements{
		Write:      w.plan.write && w.plan.runs,
		MaxAge:     w.route.MaxAge.Std(),
		DataCentre: s.server.options.DataCentre,
		Rotation:   s.server.turn.Add(1),
	}
	if s.server.options.ReadsAtPrimary {
		w.need.Write = true
	} else if w.plan.runs && !w.need.Write {
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

// attempt tries the batch on one endpoint. It reports true when another
// endpoint may be tried.
func (s *session) attempt(ctx context.Context, w *work) (again bool, refusal, failure error) {
	l, refusal := s.borrow(ctx, w)
	if refusal != nil {
		return false, refusal, nil
	}
	if l == nil {
		return true, nil, nil
	}
	s.lent = l
	s.careful = l.role == group.PrimaryRole && !w.plan.readOnly
	result, err := s.run(l, w, preludeOf(w, l))
	if err != nil {
		return s.lost(w, l, err)
	}
	if result.Refused != nil {
		return s.checked(ctx, w, l, &result)
	}
	if s.mayMove(w, l, &result) {
		w.need.Write = true
		s.endLoan(true)
		s.out = s.out[:0]
		movedReads.Inc()
		return true, nil, nil
	}
	if s.wasDeposed(&result) {
		return s.overtaken(w, l, &result)
	}
	s.count(w, l)
	refusal, failure = s.settle(ctx, w, &result)
	return false, refusal, failure
}

// preludeOf returns the checks that go ahead of a batch at its endpoint.
func preludeOf(w *work, l *loan) back.Preconditions {
	if !w.plan.runs {
		return back.Preconditions{}
	}
	if l.role == group.ReplicaRole {
		return back.Preconditions{Floor: w.need.Floor, MaxAgeMS: w.need.MaxAge.Milliseconds()}
	}
	p := back.Preconditions{PrimaryTerm: l.term, Floor: w.need.Floor, ReadOnly: w.plan.readOnly, LastWrite: !w.plan.readOnly}
	if w.plan.request != "" && w.need.Write {
		p.RequestID, p.Digest = w.plan.request, w.plan.digest
		l.request = p.RequestID
	}
	return p
}

// run exchanges the batch with the lent endpoint.
func (s *session) run(l *loan, w *work, p back.Preconditions) (back.Result, error) {
	c := l.conn.Cancel()
	s.parsed, s.committed = 0, false
	s.setRunning(&c)
	defer s.setRunning(nil)
	return l.conn.Run(w.batch, &p, s, w.deadline)
}

func (s *session) count(w *work, l *loan) {
	switch {
	case !w.plan.runs:
	case w.plan.write || w.need.Write:
		writes.Inc()
	default:
		countRead(l.role)
	}
}
