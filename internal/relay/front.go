package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// catalogTime is how long a new caller waits for the first configuration,
	// less than callers wait for a welcome.
	catalogTime = 1500 * time.Millisecond
	// catalogPoll is how often it looks.
	catalogPoll = 10 * time.Millisecond
)

// ErrMalformed reports input that is no statement. The session goes on.
var ErrMalformed = errors.New("malformed statement")

var (
	statementSeconds = metrics.GetOrCreateHistogram("marjoram_statement_seconds")
	// statements is made once, so that counting a statement formats no name.
	statements = newStatementCounters()
)

// countStatement counts an answer. One of an instance of another version may hold
// values that are not known here; they count as invalid.
func countStatement(a engine.Answer) {
	outcome, reason := int(a.Outcome), int(a.Reason)
	if outcome >= engine.Outcomes || reason >= engine.Reasons {
		outcome, reason = 0, 0
	}
	statements[outcome][reason].Inc()
}

func newStatementCounters() (all [engine.Outcomes][engine.Reasons]*metrics.Counter) {
	for o := range all {
		for r := range all[o] {
			all[o][r] = metrics.NewCounter(fmt.Sprintf("marjoram_statements_total{outcome=%q,reason=%q}", engine.Outcome(o), engine.Reason(r)))
		}
	}
	return all
}

// ErrInterrupted reports that a caller had sent nothing when it was
// interrupted.
var ErrInterrupted = errors.New("session interrupted")

// Caller is one caller's connection in the caller's own protocol.
type Caller interface {
	// Login reads who the caller is.
	Login() (ident.Route, string, error)
	// Welcome ends the login. With a reason other than NoReason it refuses it.
	Welcome(reason engine.Reason) error
	// Next reads a statement. ErrMalformed leaves the session open.
	Next() (engine.Statement, error)
	// Interrupt makes Next return ErrInterrupted as soon as no statement has
	// begun to arrive.
	Interrupt()
	// Reply answers the statement that was read last.
	Reply(s engine.Statement, a engine.Answer) error
	Close() error
}

// QuotaLimiter counts operations against the accounts' quotas.
type QuotaLimiter interface {
	// Spend takes one operation, or says when to come back.
	Spend(a ident.Account, q engine.Quota) (ok bool, retryIn time.Duration)
	// Refund gives an operation back that was spent and did not run.
	Refund(a ident.Account)
}

// Front serves callers' sessions.
type Front struct {
	router  *Router
	gate    QuotaLimiter
	catalog *atomic.Pointer[engine.Catalog]

	next     atomic.Uint64
	mu       sync.Mutex
	sessions map[*session]struct{}
	stopping atomic.Bool
}

// session is one caller with its state.
type session struct {
	caller Caller
	state  *engine.Session
	place  TxLocation
	id     ident.Session
}

// NewFront returns a front that uses the catalog in force at each statement.
func NewFront(r *Router, g QuotaLimiter, catalog *atomic.Pointer[engine.Catalog]) *Front {
	return &Front{router: r, gate: g, catalog: catalog, sessions: make(map[*session]struct{})}
}

// Serve serves one caller until it leaves.
func (f *Front) Serve(ctx context.Context, c Caller) error {
	defer func() { _ = c.Close() }()
	route, key, err := c.Login()
	if err != nil {
		return errors.Wrap(err, "log in")
	}
	id := ident.Session(f.next.Add(1))
	if !f.awaitCatalog(ctx) {
		return errors.Wrap(c.Welcome(engine.Overloaded), "refuse login")
	}
	_, _, reason := f.catalog.Load().Admit(route, key)
	if reason != engine.NoReason {
		trace.Event("LoginRefused", "Session", id, "Route", route, "Reason", reason.String(), "Version", f.catalog.Load().Version)
		return errors.Wrap(c.Welcome(reason), "refuse login")
	}
	s := &session{caller: c, state: engine.NewSession(id, route, key), id: id}
	f.enter(s)
	defer f.leave(s)
	if err := c.Welcome(engine.NoReason); err != nil {
		return errors.Wrap(err, "welcome caller")
	}
	return f.loop(ctx, s)
}

// awaitCatalog waits for the first configuration: without one, nobody can be
// told that a route or a key does not exist.
func (f *Front) awaitCatalog(ctx context.Context) bool {
	until := clock.Now().Add(catalogTime)
	for f.catalog.Load().Version == 0 {
		if clock.Now().After(until) || !tasks.Pause(ctx, catalogPoll) {
			return false
		}
	}
	return true
}

func (f *Front) loop(ctx context.Context, s *session) error {
	for {
		statement, err := s.caller.Next()
		if errors.Is(err, ErrMalformed) {
			a := engine.Refuse(engine.Malformed, 0, err.Error())
			a.State = s.state.State()
			if err := s.caller.Reply(statement, a); err != nil {
				return errors.Wrap(err, "reply")
			}
			continue
		}
		if errors.Is(err, ErrInterrupted) && !f.mustEnd(s) {
			continue // the transaction may go on
		}
		if err != nil {
			return errors.Wrap(err, "read statement")
		}
		hangup, err := f.statement(ctx, s, statement)
		if err != nil || hangup || f.mustEnd(s) {
			return errors.Wrap(err, "serve statement")
		}
	}
}

// statement serves one statement and replies.
func (f *Front) statement(ctx context.Context, s *session, statement engine.Statement) (hangup bool, err error) {
	began := clock.Now()
	group := s.state.Group()
	step := s.state.Receive(statement, f.catalog.Load())
	if step.RollbackTx != 0 {
		f.router.Rollback(group, TxLocation{Instance: s.place.Instance, Tx: step.RollbackTx})
	}
	if step.StartsOperation {
		if refusal, ok := f.spend(s); !ok {
			refusal.State = engine.Idle
			s.state.Reset()
			f.report(s, statement, refusal, began)
			return false, s.caller.Reply(statement, refusal)
		}
	}
	if step.Answer != nil {
		if !step.Answer.OK() {
			f.report(s, statement, *step.Answer, began)
		}
		return step.CloseSession, s.caller.Reply(statement, *step.Answer)
	}
	a := f.call(ctx, s, step.Call)
	if a.Outcome == engine.NotRun && (step.StartsOperation || step.Call.Phase == engine.First) {
		f.gate.Refund(step.Call.Account)
	}
	f.report(s, statement, a, began)
	return false, s.caller.Reply(statement, a)
}

func (f *Front) call(ctx context.Context, s *session, call *engine.Call) engine.Answer {
	a, place := f.router.Run(ctx, call, s.place)
	if call.Phase != engine.Single {
		s.place = place
	}
	if discard := s.state.Finish(call, &a, place.Tx); discard != 0 {
		f.router.Rollback(call.Group, TxLocation{Instance: s.place.Instance, Tx: discard})
	}
	return a
}

func (f *Front) spend(s *session) (engine.Answer, bool) {
	account := s.state.Account()
	known, ok := f.catalog.Load().Accounts[account]
	if !ok {
		return engine.Answer{}, true
	}
	ok, retryIn := f.gate.Spend(account, known.Quota)
	if ok {
		return engine.Answer{}, true
	}
	detail := fmt.Sprintf("the account has used its rate of %g/s, burst %g", known.Quota.Rate, known.Quota.Burst)
	return engine.Refuse(engine.OverQuota, retryIn, detail), false
}

// report logs what became of a statement and counts it.
func (f *Front) report(s *session, statement engine.Statement, a engine.Answer, began time.Time) {
	took := clock.Now().Sub(began)
	rules := s.state.Route()
	countStatement(a)
	statementSeconds.Update(took.Seconds())
	if a.OK() && took < rules.Target {
		return
	}
	trace.Event("Statement",
		"Request", statement.ID, "Session", s.id, "Route", rules.Name, "Account", s.state.Account(),
		"Outcome", a.Outcome.String(), "Reason", a.Reason.String(), "Detail", a.Detail, "Endpoint", a.Endpoint,
		"Home", s.place.Instance, "Version", f.catalog.Load().Version, "Took", took.String(),
		"Waited", a.Waited.String(), "FloorAge", a.FloorAge.String(), "Tries", a.Tries, "RetryIn", a.RetryIn.String())
}

func (f *Front) enter(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions[s] = struct{}{}
}

func (f *Front) leave(s *session) {
	f.mu.Lock()
	delete(f.sessions, s)
	f.mu.Unlock()
	group := s.state.Group()
	if tx := s.state.Abandon(); tx != 0 {
		f.router.Rollback(group, TxLocation{Instance: s.place.Instance, Tx: tx})
	}
}

// mustEnd reports whether a session ends now that it is idle.
func (f *Front) mustEnd(s *session) bool {
	return f.stopping.Load() && s.state.State() == engine.Idle
}

// Stop ends the sessions that are idle, and the others as they become so. A
// statement that has begun to arrive is still served.
func (f *Front) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping.Store(true)
	for s := range f.sessions {
		s.caller.Interrupt()
	}
}

// Abort ends all sessions at once.
func (f *Front) Abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		_ = s.caller.Close()
	}
}

// Sessions returns how many callers are connected.
func (f *Front) Sessions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}
