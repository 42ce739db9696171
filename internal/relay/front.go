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
	// catalogTimeout is how long a new caller waits for the first
	// configuration. It is shorter than the login timeout of callers.
	catalogTimeout = 1500 * time.Millisecond
	// catalogPoll is the interval between two checks for it.
	catalogPoll = 10 * time.Millisecond
)

// ErrMalformed reports input that is not a valid statement. The session
// continues.
var ErrMalformed = errors.New("malformed statement")

var (
	statementSeconds = metrics.GetOrCreateHistogram("marjoram_statement_seconds")
	// statements is built once, so that counting a statement does not format a
	// metric name.
	statements = newStatementCounters()
)

// countStatement counts an answer. An instance of another version may send
// values that are unknown here; they count as invalid.
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

// ErrInterrupted reports that the session was interrupted while no statement
// was arriving.
var ErrInterrupted = errors.New("session interrupted")

// Caller is one caller's connection in the caller's own protocol.
type Caller interface {
	// Login reads the route and the key of the caller.
	Login() (ident.Route, string, error)
	// FinishLogin accepts the login, or rejects it if reason is not NoReason.
	FinishLogin(reason engine.Reason) error
	// Next reads a statement. The session stays open after ErrMalformed.
	Next() (engine.Statement, error)
	// Interrupt makes Next return ErrInterrupted unless a statement has begun
	// to arrive.
	Interrupt()
	// Reply sends the answer to the latest statement.
	Reply(s engine.Statement, a engine.Answer) error
	// Unread reports whether the caller has sent bytes that were not read.
	Unread() bool
	// Disconnected reports whether the caller has closed the connection and
	// everything it sent has been read.
	Disconnected() bool
	Close() error
}

// QuotaLimiter counts operations against the quotas of accounts.
type QuotaLimiter interface {
	// Spend takes one operation. If none is available, retryIn is the
	// recommended delay before a retry.
	Spend(a ident.Account, q engine.Quota) (ok bool, retryIn time.Duration)
	// Refund gives back an operation that was spent and did not run.
	Refund(a ident.Account)
}

// Front serves callers' sessions.
type Front struct {
	router  *Router
	limiter QuotaLimiter
	catalog *atomic.Pointer[engine.Catalog]

	next atomic.Uint64
	stop stopping

	mu       sync.Mutex
	logins   map[Caller]struct{} // connections whose login is not complete
	sessions map[*session]struct{}
}

// NewFront returns a front. It loads the catalog in force for each statement.
func NewFront(r *Router, l QuotaLimiter, catalog *atomic.Pointer[engine.Catalog]) *Front {
	return &Front{
		router: r, limiter: l, catalog: catalog,
		logins: make(map[Caller]struct{}), sessions: make(map[*session]struct{}),
	}
}

// Serve serves one caller until the connection ends.
func (f *Front) Serve(ctx context.Context, c Caller) error {
	s, err := f.login(ctx, c)
	if s == nil {
		f.closeCaller(c, 0)
		return err
	}
	defer f.closeCaller(c, s.id)
	defer f.removeSession(s)
	ctx, cancel := s.contextUntilCallerLeft(ctx)
	defer cancel()
	if err := c.FinishLogin(engine.NoReason); err != nil {
		return errors.Wrap(err, "accept login")
	}
	return f.loop(ctx, s)
}

// login reads and checks a caller's login. The session is nil if it was refused.
func (f *Front) login(ctx context.Context, c Caller) (*session, error) {
	if !f.addLogin(c) {
		return nil, nil
	}
	defer f.removeLogin(c)
	route, key, err := c.Login()
	if err != nil {
		return nil, errors.Wrap(err, "log in")
	}
	id := ident.Session(f.next.Add(1))
	reason := f.admit(ctx, route, key)
	if reason != engine.NoReason {
		trace.Event("LoginRefused", "Session", id, "Route", route, "Reason", reason.String(), "Version", f.catalog.Load().Version)
		return nil, errors.Wrap(c.FinishLogin(reason), "refuse login")
	}
	s := newSession(id, c, engine.NewSession(id, route, key))
	f.addSession(s)
	return s, nil
}

// admit returns why a caller may not log in, or NoReason.
func (f *Front) admit(ctx context.Context, route ident.Route, key string) engine.Reason {
	if f.stop.statementsEnd.Load() {
		return engine.Aborted
	}
	if !f.awaitCatalog(ctx) {
		return engine.Overloaded
	}
	_, _, reason := f.catalog.Load().Admit(route, key)
	return reason
}

// awaitCatalog waits for the first configuration. Without one, the proxy can't
// tell whether a route or a key exists.
func (f *Front) awaitCatalog(ctx context.Context) bool {
	deadline := clock.Now().Add(catalogTimeout)
	for f.catalog.Load().Version == 0 {
		if clock.Now().After(deadline) || !tasks.Pause(ctx, catalogPoll) {
			return false
		}
	}
	return true
}

func (f *Front) loop(ctx context.Context, s *session) error {
	for {
		statement, err := s.caller.Next()
		if errors.Is(err, ErrMalformed) {
			if err := f.refuseMalformed(s, statement, err); err != nil {
				return err
			}
			continue
		}
		if errors.Is(err, ErrInterrupted) && !f.shouldClose(s) {
			continue // an open transaction may continue
		}
		if err != nil {
			return errors.Wrap(err, "read statement")
		}
		closeSession, err := f.serveStatement(ctx, s, statement)
		if err != nil || closeSession || f.shouldClose(s) && !s.caller.Unread() {
			return errors.Wrap(err, "serve statement")
		}
	}
}

// refuseMalformed answers input that is not a statement.
func (f *Front) refuseMalformed(s *session, statement engine.Statement, cause error) error {
	f.begin(clock.Now(), s, statement, nil)
	a := engine.Refuse(engine.Malformed, 0, cause.Error())
	a.State = s.state.State()
	return s.answer(a, "")
}

// begin records that a statement has been read. The call is nil if the front
// answers the statement itself.
func (f *Front) begin(now time.Time, s *session, statement engine.Statement, call *engine.Call) {
	s.begin(&openStatement{
		statement: statement, call: call, began: now, version: f.catalog.Load().Version,
		route: s.state.Route(), group: s.state.Group(), account: s.state.Account(),
	})
}

// serveStatement serves one statement and sends the answer.
func (f *Front) serveStatement(ctx context.Context, s *session, statement engine.Statement) (closeSession bool, err error) {
	now := clock.Now()
	group := s.state.Group()
	step := s.state.Receive(statement, f.catalog.Load())
	inTime := f.stop.limit(now, step)
	f.begin(now, s, statement, step.Call)
	if step.RollbackTx != 0 {
		f.router.Rollback(group, TxLocation{Process: s.location.Process, Tx: step.RollbackTx})
	}
	if !inTime {
		return false, f.refuseStopping(s, step)
	}
	if step.StartsOperation {
		if refusal, ok := f.spendQuota(s); !ok {
			refusal.State = engine.Idle
			s.state.Reset()
			return false, s.answer(refusal, "")
		}
	}
	if step.Answer != nil {
		return step.CloseSession, s.answer(*step.Answer, "")
	}
	a, home := f.call(ctx, s, step.Call)
	if a.Outcome == engine.NotRun && (step.StartsOperation || step.Call.Phase == engine.First) {
		f.limiter.Refund(step.Call.Account)
	}
	return false, s.answer(a, home)
}

// call runs a call. It returns the answer and the instance that ran it.
func (f *Front) call(ctx context.Context, s *session, call *engine.Call) (engine.Answer, ident.Instance) {
	a, location := f.router.Run(ctx, call, s.location)
	if call.Phase != engine.Single {
		s.location = location
	}
	if rollback := s.state.Finish(call, &a, location.Tx); rollback != 0 {
		f.router.Rollback(call.Group, TxLocation{Process: s.location.Process, Tx: rollback})
	}
	return a, location.Process.Instance
}

func (f *Front) spendQuota(s *session) (engine.Answer, bool) {
	account := s.state.Account()
	known, ok := f.catalog.Load().Accounts[account]
	if !ok {
		return engine.Answer{}, true
	}
	ok, retryIn := f.limiter.Spend(account, known.Quota)
	if ok {
		return engine.Answer{}, true
	}
	detail := fmt.Sprintf("the account exceeds its quota of %g operations/s, burst %g", known.Quota.Rate, known.Quota.Burst)
	return engine.Refuse(engine.OverQuota, retryIn, detail), false
}

// logAnswer counts the answer to a statement, and logs it if the statement failed
// or missed its latency objective. The home is the instance that ran the call; it
// is empty if none was asked.
func logAnswer(id ident.Session, o *openStatement, a engine.Answer, home ident.Instance) {
	if o.call == nil && a.OK() {
		return
	}
	took := clock.Now().Sub(o.began)
	countStatement(a)
	statementSeconds.Update(took.Seconds())
	if a.OK() && took < o.route.Target {
		return
	}
	trace.Event("Statement",
		"Request", o.statement.ID, "Session", id, "Route", o.route.Name, "Group", o.group, "Account", o.account,
		"Statement", o.statement.Op.String(),
		"Outcome", a.Outcome.String(), "Reason", a.Reason.String(), "Detail", a.Detail, "Endpoint", a.Endpoint,
		"Home", home, "Version", o.version, "Took", took.String(),
		"Waited", a.Waited.String(), "FloorAge", a.FloorAge.String(), "Tries", a.Tries, "RetryIn", a.RetryIn.String())
}

// addLogin registers a connection. It returns false if all connections have been
// closed.
func (f *Front) addLogin(c Caller) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop.ended.Load() {
		return false
	}
	f.logins[c] = struct{}{}
	return true
}

func (f *Front) removeLogin(c Caller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.logins, c)
}

func (f *Front) addSession(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions[s] = struct{}{}
}

func (f *Front) removeSession(s *session) {
	f.mu.Lock()
	delete(f.sessions, s)
	f.mu.Unlock()
	f.abandonTx(s)
}
