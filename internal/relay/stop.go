package relay

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
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
	load := FrontLoad{Logins: int(f.logins.Load()), Sessions: len(f.sessions)}
	for s := range f.sessions {
		if s.unanswered() != nil {
			load.Statements++
		}
	}
	return load
}

// shouldClose reports whether a session has to end because the front is
// stopping and the session is idle, or because the front is finishing.
func (f *Front) shouldClose(s *session) bool {
	return f.finishing.Load() || f.stopping.Load() && s.state.State() == engine.Idle
}

// Stop ends idle sessions immediately and the others as soon as they are idle.
// A statement that has begun to arrive is still served.
func (f *Front) Stop() { f.interrupt(&f.stopping) }

// Finish ends all sessions, open transactions included, as soon as the statement
// that they have read is answered. A statement that the front could not answer
// any more must not be read.
func (f *Front) Finish() { f.interrupt(&f.finishing) }

// interrupt sets a flag and makes the sessions notice it.
func (f *Front) interrupt(flag *atomic.Bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flag.Store(true)
	for s := range f.sessions {
		s.caller.Interrupt()
	}
}

// Abort closes all sessions immediately. It returns the number of statements
// that had been read and get no answer.
func (f *Front) Abort() (cut int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		if o := s.unanswered(); o != nil {
			cut++
			logCut(s, o)
		}
		_ = s.caller.Close()
	}
	return cut
}

// logCut counts and logs a statement that gets no answer.
func logCut(s *session, o *openStatement) {
	statementsCut.Inc()
	trace.Event("StatementCut",
		"Request", o.statement.ID, "Session", s.id, "Route", o.route, "Group", o.group,
		"Statement", o.statement.Op.String(), "Took", clock.Now().Sub(o.began).String())
}

// Sessions returns the number of connected callers.
func (f *Front) Sessions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

// closeCaller closes a caller's connection. While the front is stopping, it
// records whether the caller had sent something that is not read any more. The
// session is zero if the caller did not log in.
func (f *Front) closeCaller(c Caller, id ident.Session) {
	if f.stopping.Load() && c.Unread() {
		closedUnread.Inc()
		trace.Event("ClosedUnread", "Session", id)
	}
	_ = c.Close()
}
