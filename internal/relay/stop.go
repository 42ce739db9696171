package relay

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var (
	// statementsCut counts the statements that were read and whose connection
	// this instance closed without an answer.
	statementsCut = metrics.GetOrCreateCounter("marjoram_statements_cut_total")
	// closedUnread counts the connections that this instance closed while bytes
	// of the caller had not been read. The caller's statement has not run.
	closedUnread = metrics.GetOrCreateCounter("marjoram_sessions_closed_unread_total")
	// repliesFailed counts the answers that could not be written to the caller.
	repliesFailed = metrics.GetOrCreateCounter("marjoram_replies_failed_total")
)

// stopping is the progress of a front's graceful stop.
type stopping struct {
	// end is when the connections end, in Unix nanoseconds, or zero.
	end atomic.Int64
	// idleEnd is set once sessions end as they become idle.
	idleEnd atomic.Bool
	// statementsEnd is set once statements are refused, also in transactions.
	statementsEnd atomic.Bool
	// ended is set once all connections end.
	ended atomic.Bool
}

// limit limits the call of a statement to the time that is left for its answer. It
// reports false if the statement begins an operation or a call too late.
func (t *stopping) limit(now time.Time, step engine.Step) bool {
	if t.statementsEnd.Load() {
		return step.Call == nil && !step.StartsOperation
	}
	end := t.end.Load()
	if end == 0 || step.Call == nil {
		return true
	}
	left := time.Unix(0, end).Sub(now) - answerMargin
	step.Call.Timeout = min(step.Call.Timeout, left)
	return left > 0
}

// EndBy begins a graceful stop: no statement may take longer than until end, when
// the connections end.
func (f *Front) EndBy(end time.Time) { f.stop.end.Store(end.UnixNano()) }

// EndIdle ends idle sessions immediately and the others as soon as they are idle.
// A statement that has begun to arrive is still served.
func (f *Front) EndIdle() { f.interrupt(&f.stop.idleEnd) }

// interrupt sets a flag and makes the sessions notice it. It returns the sessions.
func (f *Front) interrupt(flag *atomic.Bool) []*session {
	f.mu.Lock()
	defer f.mu.Unlock()
	flag.Store(true)
	for s := range f.sessions {
		s.caller.Interrupt()
	}
	return slices.Collect(maps.Keys(f.sessions))
}

// EndStatements refuses all further operations and statements, also inside
// transactions. The statements that have begun continue.
func (f *Front) EndStatements() {
	f.stop.idleEnd.Store(true)
	f.stop.statementsEnd.Store(true)
}

// shouldClose reports whether a session that owes no answer has to end.
func (f *Front) shouldClose(s *session) bool {
	return f.stop.ended.Load() || f.stop.idleEnd.Load() && s.state.State() == engine.Idle
}

// refuseStopping refuses the open statement of a session, whose transaction is
// rolled back. If nothing of the transaction has run, its operation is given back.
func (f *Front) refuseStopping(s *session, step engine.Step) error {
	if step.Call != nil && step.Call.Phase == engine.First {
		f.limiter.Refund(step.Call.Account)
	}
	f.abandonTx(s)
	s.state.Reset()
	return s.answer(engine.Refuse(engine.Aborted, lostRetry, "the instance is shutting down"), "")
}

// abandonTx rolls back the open transaction of a session, if there is one.
func (f *Front) abandonTx(s *session) {
	group := s.state.Group()
	if tx := s.state.Abandon(); tx != 0 {
		f.router.Rollback(group, TxLocation{Process: s.location.Process, Tx: tx})
	}
}

// GiveUp ends all sessions. It answers the statements that have been read and have
// no answer yet: the outcome of those that may commit is unknown, the others have
// no effect. It returns how many answers could not be written. Abort ends the
// connections that take too long.
func (f *Front) GiveUp() (cut int) {
	var failed atomic.Int64
	answers := tasks.New(context.Background())
	for _, s := range f.interrupt(&f.stop.ended) {
		answers.Go(func(context.Context) error {
			if !s.giveUp() {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = answers.Close() // no task fails
	statementsCut.AddInt64(failed.Load())
	return int(failed.Load())
}

// Abort closes all connections immediately, also those in their login.
func (f *Front) Abort() {
	f.stop.ended.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.logins {
		_ = c.Close()
	}
	for s := range f.sessions {
		_ = s.caller.Close()
	}
}

// FrontLoad counts what a front serves at one moment.
type FrontLoad struct {
	// Logins are connections whose login is not complete.
	Logins   int
	Sessions int
	// Statements have been read and not been answered.
	Statements int
}

// Load returns what the front serves.
func (f *Front) Load() FrontLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := FrontLoad{Logins: len(f.logins), Sessions: len(f.sessions)}
	for s := range f.sessions {
		if s.unanswered() {
			load.Statements++
		}
	}
	return load
}

// closeCaller closes a caller's connection. While the front is stopping, it
// records whether the caller had sent something that is not read any more. The
// session is zero if the caller did not log in.
func (f *Front) closeCaller(c Caller, id ident.Session) {
	if f.stop.idleEnd.Load() && c.Unread() {
		closedUnread.Inc()
		trace.Event("ClosedUnread", "Session", id)
	}
	_ = c.Close()
}
