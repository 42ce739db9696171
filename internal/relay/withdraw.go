package relay

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/puzpuzpuz/xsync/v4"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// disconnectCheckAge is how old a statement is before the front checks whether
// its caller is still connected. Nearly all statements are faster.
const disconnectCheckAge = 50 * time.Millisecond

// errCallerLeft is the cause of the end of a session's context when its caller
// has disconnected.
var errCallerLeft = errors.New("the caller disconnected")

// callersLeft counts the callers that disconnected during a statement.
var callersLeft = metrics.GetOrCreateCounter("marjoram_callers_left_total")

// callKey identifies a call that runs here for another instance.
type callKey struct {
	from   ident.Process
	number uint64
}

// forwardedCalls holds the calls that run here for other instances. A call whose
// context ends leaves the queue. If it runs already, it is completed.
type forwardedCalls struct {
	cancels *xsync.Map[callKey, context.CancelFunc]
}

func newForwardedCalls() forwardedCalls {
	return forwardedCalls{cancels: xsync.NewMap[callKey, context.CancelFunc]()}
}

// add returns a context for a call. done has to be called when it is answered.
func (f forwardedCalls) add(parent context.Context, from ident.Process, number uint64) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(parent)
	key := callKey{from: from, number: number}
	f.cancels.Store(key, cancel)
	return ctx, func() {
		f.cancels.Delete(key)
		cancel()
	}
}

// withdraw ends the context of a call.
func (f forwardedCalls) withdraw(from ident.Process, number uint64) {
	if cancel, ok := f.cancels.Load(callKey{from: from, number: number}); ok {
		cancel()
	}
}

// withdrawAll ends the contexts of the calls of a process.
func (f forwardedCalls) withdrawAll(from ident.Process) {
	f.cancels.Range(func(key callKey, cancel context.CancelFunc) bool {
		if key.from == from {
			cancel()
		}
		return true
	})
}

// ReceiveWithdrawal removes a call of another instance from the queue.
func (r *Router) ReceiveWithdrawal(from ident.Process, m peer.CallWithdrawn) {
	r.forwarded.withdraw(from, m.Number)
}

// withdrawDisconnected ends the contexts of the sessions whose callers have
// disconnected during a statement.
func (f *Front) withdrawDisconnected(now time.Time) {
	f.mu.Lock()
	var waiting []*session
	for s := range f.sessions {
		if s.waitingSince(now.Add(-disconnectCheckAge)) {
			waiting = append(waiting, s)
		}
	}
	f.mu.Unlock()
	for _, s := range waiting {
		if s.caller.Disconnected() {
			s.withdrawCalls()
		}
	}
}

// waitingSince reports whether a call of the session has been running or waiting
// since before the given time and has not been withdrawn.
func (s *session) waitingSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open != nil && s.open.call != nil && s.open.began.Before(at) && s.cancelCalls != nil
}

// contextUntilCallerLeft returns a context that ends when the caller is found to
// have left.
func (s *session) contextUntilCallerLeft(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelCalls = cancel
	return ctx, func() { cancel(nil) }
}

// withdrawCalls ends the context of a session whose caller has disconnected, once.
func (s *session) withdrawCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelCalls != nil {
		callersLeft.Inc()
		s.cancelCalls(errCallerLeft)
		s.cancelCalls = nil
	}
}
