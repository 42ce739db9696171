package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
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
	need     group.Need
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
	if fault.Of(err).RetryIn > 0 && s.lent == nil {
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
	if refusal != nil && fault.Of(refusal).Outcome == fault.NotRun {
		s.server.gate.Return(&s.badge, time.Now())
	}
	return refusal, failure
}

// mayHaveRun keeps the code and the hint of a refusal, but not the claim that
// nothing ran: a read was lost at one endpoint before it was refused.
func mayHaveRun(refusal error) error {
	e := *fault.Of(refusal)
	if e.Outcome == fault.NotRun {
		e.Outcome = fault.Unknown
	}
	return &e
}

// start runs a batch that opens a transaction or is one by itself.
func (s *session) start(ctx context.Context, w *work) (refusal, failure error) {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	w.need = group.Need{
		Write:  w.plan.write && w.plan.runs,
		MaxAge: w.route.MaxAge.Std(),
		Near:   s.server.options.DataCentre,
		Turn:   s.server.turn.Add(1),
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

// learnFloor sets the mark that the data must cover. A session that came
// without a token learns it once, from the group.
func (s *session) learnFloor(ctx context.Context, w *work) error {
	w.need.Floor = s.token.Mark(w.route.Group.Name)
	if !w.need.Floor.Zero() || s.shown {
		return nil
	}
	if s.floor.Zero() {
		floor, err := w.route.Group.Keeper.Floor(ctx, time.Now())
		if err != nil {
			return fault.Refuse(fault.NoPrimary, retryPrimary, "the group's position could not be learned").Because(err)
		}
		s.floor = floor
	}
	w.need.Floor = s.floor
	return nil
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
		return false, fault.Lose(r.Failed, "the endpoint was replaced in the midst of several transactions"), nil
	}
	return s.deposed(w, l)
}

// borrow chooses an endpoint and takes a connection to it. It returns neither
// when the choice should be made again.
func (s *session) borrow(ctx context.Context, w *work) (*loan, error) {
	g := w.route.Group
	changed := g.Keeper.Changed()
	view := g.Keeper.View()
	choice := s.choose(w, view, time.Now())
	if choice.Index == group.NoEndpoint {
		return nil, s.park(ctx, w, changed)
	}
	name := view.Endpoints[choice.Index].Endpoint.Name
	pool := g.Pools[name]
	if pool == nil {
		w.need.Avoid = w.need.Avoid.With(choice.Index)
		return nil, nil
	}
	conn, err := pool.Lend(ctx, back.Claim{Account: s.badge.Account, Weight: s.server.gate.Weight(&s.badge)}, time.Now())
	if err == nil {
		return &loan{pool: pool, conn: conn, index: choice.Index, role: choice.Role, term: choice.Term}, nil
	}
	if errors.Is(err, back.ErrUnreachable) || errors.Is(err, back.ErrClosed) {
		return nil, s.unreachable(ctx, w, name, &choice, changed)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, fault.Refuse(fault.OverLimit, retryPrimary, "no connection to endpoint %s came free", name).Because(err)
	}
	return nil, err
}

// choose returns the endpoint for the batch.
func (s *session) choose(w *work, view *group.View, now time.Time) group.Choice {
	g := w.route.Group
	need := w.need
	need.Load = func(i int) int { return g.load(view, i) }
	return view.Choose(need, now)
}

// unreachable reports an endpoint that could not be connected to, and waits
// for a change when it was the primary.
func (s *session) unreachable(ctx context.Context, w *work, name ident.Endpoint, c *group.Choice, changed <-chan struct{}) error {
	w.route.Group.Keeper.Failed(name, c.Term, time.Now())
	if c.Role == group.PrimaryRole {
		return s.park(ctx, w, changed)
	}
	w.need.Avoid = w.need.Avoid.With(c.Index)
	return nil
}

// park waits for a primary for a bounded time; then the request is refused.
func (s *session) park(ctx context.Context, w *work, changed <-chan struct{}) error {
	parkedTotal.Inc()
	w.need.Avoid = 0
	ctx, cancel := context.WithDeadline(ctx, w.deadline.Add(s.server.options.ParkTime-s.server.options.RequestTimeout))
	defer cancel()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.NoPrimary, retryPrimary, "group %s has no primary", w.route.Group.Name)
	}
}

// load is the number of statements in flight at an endpoint.
func (g *Group) load(v *group.View, index int) int {
	if p := g.Pools[v.Endpoints[index].Endpoint.Name]; p != nil {
		return p.Busy()
	}
	return 0
}

// preludeOf returns the checks that go ahead of a batch at its endpoint.
func preludeOf(w *work, l *loan) back.Prelude {
	if !w.plan.runs {
		return back.Prelude{}
	}
	if l.role == group.ReplicaRole {
		return back.Prelude{Floor: w.need.Floor, MaxAgeMS: w.need.MaxAge.Milliseconds()}
	}
	p := back.Prelude{Lead: l.term, Floor: w.need.Floor, ReadOnly: w.plan.readOnly, LastWrite: !w.plan.readOnly}
	if w.plan.request != "" && w.need.Write {
		p.Once, p.Digest = w.plan.request, w.plan.digest
		l.request = p.Once
	}
	return p
}

// run exchanges the batch with the lent endpoint.
func (s *session) run(l *loan, w *work, p back.Prelude) (back.Result, error) {
	c := l.conn.Cancel()
	s.parsed, s.committed = 0, false
	s.setRunning(&c)
	defer s.setRunning(nil)
	return l.conn.Run(w.batch, &p, s, w.deadline)
}

// mayMove reports whether a replica refused the batch as a write, so that it
// ran nothing and belongs to the primary.
func (s *session) mayMove(w *work, l *loan, r *back.Result) bool {
	return r.Failed != nil && r.Failed.Code == fault.ReadOnly &&
		l.role == group.ReplicaRole && !w.plan.readOnly && !s.relayed && r.Status == 'I'
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
	w.route.Group.Keeper.Failed(l.conn.Endpoint, l.term, time.Now())
	loss := stmt.Loss{Sent: lost.Sent, Relayed: s.relayed, Harmless: !s.careful || !w.plan.runs}
	if stmt.Judge(loss) == stmt.Elsewhere {
		s.out, s.hold = s.out[:0], false
		w.reached = w.reached || lost.Sent == stmt.Some && w.plan.runs
		w.need.Avoid = w.need.Avoid.With(l.index)
		return true, nil, nil
	}
	return false, fault.Lose(err, "the endpoint was lost before its answer; the request may have taken effect"), nil
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
	return false, fault.Refuse(fault.Internal, 0, "a check failed at the endpoint: %s", e.Message).Because(e), nil
}

// deposed reports an endpoint that is not the primary it was taken for.
func (s *session) deposed(w *work, l *loan) (again bool, refusal, failure error) {
	g := w.route.Group
	changed := g.Keeper.Changed()
	g.Keeper.Failed(l.conn.Endpoint, l.term, time.Now())
	if g.Keeper.View().Term != l.term {
		return true, nil, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), w.deadline)
	defer cancel()
	if err := s.park(ctx, w, changed); err != nil {
		return false, err, nil
	}
	return true, nil, nil
}

// settle ends a batch that was answered: it keeps the connection for an open
// transaction, confirms a write, and tells the caller the new token.
func (s *session) settle(ctx context.Context, w *work, r *back.Result) (refusal, failure error) {
	s.status = r.Status
	if r.Status == 'I' {
		s.endLoan(true)
	}
	if r.Unread && s.committed {
		return fault.Lose(r.Failed, "what was committed ahead of the error could not be learned"), nil
	}
	if !r.Wrote {
		return nil, nil
	}
	w.observe(r)
	s.token = s.token.With(w.route.Group.Name, r.Mark)
	s.shown = true
	if err := s.confirm(ctx, w, r); err != nil {
		return err, nil
	}
	return nil, s.sendToken()
}

// observe tells the keeper how far the primary is, so that replicas that hold
// the write are found at once.
func (w *work) observe(r *back.Result) {
	status := group.Status{Term: r.Mark.Term, Role: group.PrimaryRole, Last: r.Mark, Confirmed: r.Confirmed}
	w.route.Group.Keeper.Observe(r.Endpoint, status, time.Now())
}

// confirm waits until a majority holds the write, where the route asks for it.
func (s *session) confirm(ctx context.Context, w *work, r *back.Result) error {
	if w.route.Durability == envdoc.Primary {
		return nil
	}
	if r.Confirmed >= r.Mark.Position {
		return nil
	}
	assert.That(s.hold || r.Failed != nil, "front.confirm.held", "a write at %v would be acknowledged before its confirmation", r.Mark)
	began := time.Now()
	if err := w.route.Group.Confirmer.Wait(ctx, r.Mark); err != nil {
		return fault.Lose(err, "the write was not confirmed by a majority; it may have taken effect")
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
	l.pool.Return(l.conn, keep, time.Now())
}
