package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/puzpuzpuz/xsync/v4"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// answerMargin is how much longer than the call's timeout the router waits
	// for the answer of another instance. It covers the network round trip.
	answerMargin = 150 * time.Millisecond
	// maxOwners limits the instances that one call is tried at.
	maxOwners = 3
	// abandonedLimit is how long the late answer to a call that opens a
	// transaction is awaited: several times the longest statement timeout.
	abandonedLimit = 30 * time.Second
	// lostRetry is the retry delay after an instance was lost.
	lostRetry = 50 * time.Millisecond
)

// TxLocation is the process that holds an open transaction, and the ID of the
// transaction there.
type TxLocation struct {
	Process ident.Process
	Tx      engine.TxID
}

// Sender sends messages to other instances.
type Sender interface {
	// Offer queues a message. It reports whether the message was queued.
	Offer(to ident.Instance, m peer.Message) bool
}

// ProcessSender sends messages that refer to what one process has said before.
type ProcessSender interface {
	// Process returns the process that the link to an instance leads to. It returns
	// false if there is no link.
	Process(of ident.Instance) (ident.Process, bool)
	// Deliver queues a message to one process and reports whether it did. The message
	// is dropped if the instance has started again.
	Deliver(to ident.Process, m peer.Message) bool
}

// GroupLocator locates the owners and the local pools of groups.
type GroupLocator interface {
	// OwnerOf returns the instance that owns a group, excluding the instances
	// to avoid.
	OwnerOf(g ident.Group, avoid ...ident.Instance) ident.Instance
	// Local returns this instance's pool of a group, or nil if the group is not
	// known.
	Local(g ident.Group) *GroupPool
}

// waitingCall is a call that another instance is running.
type waitingCall struct {
	to        ident.Process
	group     ident.Group
	answer    chan peer.Answer // closed when the instance is lost
	abandoned atomic.Int64     // when the caller was answered otherwise, in Unix nanoseconds, or zero
}

// Router sends calls to the instance that runs them.
type Router struct {
	self    ident.Process
	locator GroupLocator
	sender  ProcessSender
	tasks   *tasks.Group

	inbound   *inbound
	forwarded forwardedCalls // the calls that run here for other instances
	lastCall  atomic.Uint64
	waiting   *xsync.Map[uint64, *waitingCall]
}

// NewRouter returns a router for the process self. SetSender has to be called
// before the first call.
func NewRouter(ctx context.Context, self ident.Process, locator GroupLocator) *Router {
	return &Router{self: self, locator: locator, tasks: tasks.New(ctx), inbound: newInbound(), forwarded: newForwardedCalls(), waiting: xsync.NewMap[uint64, *waitingCall]()}
}

// SetSender sets the sender of messages to other instances.
func (r *Router) SetSender(s ProcessSender) { r.sender = s }

// Close waits for the calls that run here for other instances.
func (r *Router) Close() error { return r.tasks.Close() }

// Run runs a call on the process that holds its transaction, or else on the
// owner of its group. It returns the location of the call's transaction.
func (r *Router) Run(ctx context.Context, call *engine.Call, location TxLocation) (engine.Answer, TxLocation) {
	if call.Phase == engine.Next || call.Phase == engine.End {
		a, at, _ := r.runAt(ctx, call, location.Process)
		return a, at
	}
	var tried []ident.Instance
	for {
		owner := r.locator.OwnerOf(call.Group, tried...)
		a, at, lost := r.runAt(ctx, call, r.processOf(owner))
		tried = append(tried, owner)
		if !lost || !call.Repeatable() || len(tried) == maxOwners || owner == r.self.Instance || ctx.Err() != nil {
			return a, at
		}
		trace.Event("CallMoved", "Request", call.Statement.ID, "Group", call.Group, "Lost", owner, "Tried", len(tried))
	}
}

// processOf returns the process that runs as an instance, as far as is known.
func (r *Router) processOf(n ident.Instance) ident.Process {
	if n == r.self.Instance {
		return r.self
	}
	if p, ok := r.sender.Process(n); ok {
		return p
	}
	return ident.Process{Instance: n}
}

// Rollback rolls back a transaction in the background.
func (r *Router) Rollback(g ident.Group, location TxLocation) {
	call := &engine.Call{Group: g, Phase: engine.End, Tx: location.Tx}
	if location.Process == r.self {
		if pool := r.locator.Local(g); pool != nil {
			pool.rollback(location.Tx)
		}
		return
	}
	r.sender.Deliver(location.Process, peer.Call{Call: *call})
}

// runAt runs a call on one process. lost is set when the process was lost
// before it answered. A transaction whose answer does not come stays at its
// location, so that the session rolls it back there.
func (r *Router) runAt(ctx context.Context, call *engine.Call, target ident.Process) (a engine.Answer, at TxLocation, lost bool) {
	if target == r.self {
		a, tx := r.runHere(ctx, r.self, call)
		return a, TxLocation{Process: r.self, Tx: tx}, false
	}
	at = TxLocation{Process: target, Tx: call.Tx}
	number := r.lastCall.Add(1)
	answer := r.addWaiting(number, target, call.Group)
	if !r.sender.Deliver(target, peer.Call{Number: number, Call: *call}) {
		r.removeWaiting(number)
		detail := "the owner of the group is unreachable"
		if call.Tx != 0 {
			detail = "the transaction ended with the process that held it, or with the link to it"
		}
		return engine.Refuse(engine.Aborted, lostRetry, detail), at, true
	}
	defer r.abandon(number, target, call, answer)
	timer := time.NewTimer(call.Timeout + answerMargin)
	defer timer.Stop()
	// After a withdrawal, done is nil and only the answer is waited for.
	for done := ctx.Done(); ; done = nil {
		select {
		case m, ok := <-answer:
			if !ok {
				return call.LostAnswer("the connection to the owner of the group was lost"), at, true
			}
			return m.Answer, TxLocation{Process: target, Tx: m.Tx}, false
		case <-timer.C:
			return call.LostAnswer("the owner of the group did not answer"), at, false
		case <-done:
			if !errors.Is(context.Cause(ctx), errCallerLeft) {
				return call.LostAnswer("the instance is shutting down"), at, false
			}
			r.sender.Deliver(target, peer.CallWithdrawn{Number: number}) // the owner still answers the call
		}
	}
}

func (r *Router) runHere(ctx context.Context, origin ident.Process, call *engine.Call) (engine.Answer, engine.TxID) {
	pool := r.locator.Local(call.Group)
	if pool == nil {
		return engine.Refuse(engine.NoEndpoint, lostRetry, "no endpoint of the group is known"), 0
	}
	return pool.Run(ctx, origin, call)
}

func (r *Router) addWaiting(number uint64, to ident.Process, g ident.Group) chan peer.Answer {
	answer := make(chan peer.Answer, 1)
	r.waiting.Store(number, &waitingCall{to: to, group: g, answer: answer})
	return answer
}

// abandon stops waiting for the answer to a call. A call that opens a
// transaction is kept, so that the transaction of a late answer is rolled back.
func (r *Router) abandon(number uint64, target ident.Process, call *engine.Call, answer <-chan peer.Answer) {
	if call.Phase != engine.First {
		r.removeWaiting(number)
		return
	}
	if w, ok := r.waiting.Load(number); ok {
		w.abandoned.Store(clock.Now().UnixNano())
	}
	select {
	case m := <-answer: // it arrived after the timeout
		if m.Tx != 0 {
			r.Rollback(call.Group, TxLocation{Process: target, Tx: m.Tx})
		}
	default:
	}
}

// Expire removes the abandoned calls whose answer is not expected any more.
func (r *Router) Expire(now time.Time) {
	r.waiting.Range(func(number uint64, w *waitingCall) bool {
		if at := w.abandoned.Load(); at != 0 && now.Sub(time.Unix(0, at)) > abandonedLimit {
			r.removeWaiting(number)
		}
		return true
	})
}

func (r *Router) removeWaiting(number uint64) { r.waiting.Delete(number) }

// ReceiveCall runs a call of another process. The answer is for that process only: the
// next one of the same instance gives its calls the same numbers. A call that could not be answered
// any more is refused, and its transaction rolled back.
func (r *Router) ReceiveCall(from ident.Process, m peer.Call) {
	if !r.inbound.admit(clock.Now(), &m.Call) {
		r.refuseCall(from, m)
		return
	}
	ctx, answered := r.forwarded.add(r.tasks.Context(), from, m.Number)
	r.tasks.Go(func(context.Context) error {
		defer r.inbound.done()
		defer answered()
		a, tx := r.runIsolated(ctx, from, &m.Call)
		if m.Call.Phase == engine.End {
			return nil
		}
		if !r.sender.Deliver(from, peer.Answer{Number: m.Number, Answer: a, Tx: tx}) && tx != 0 {
			r.Rollback(m.Call.Group, TxLocation{Process: r.self, Tx: tx})
		}
		return nil
	})
}

// runIsolated is like runHere for a call of another instance. After a panic, it
// is not known what has run.
func (r *Router) runIsolated(ctx context.Context, origin ident.Process, call *engine.Call) (a engine.Answer, tx engine.TxID) {
	err := tasks.Isolate(func() error {
		a, tx = r.runHere(ctx, origin, call)
		return nil
	})
	if err != nil {
		trace.Failure("CallPanicked", err, "Request", call.Statement.ID, "Group", call.Group, "From", origin.Instance)
		return call.LostAnswer("the owner of the group failed while it ran the statement"), 0
	}
	return a, tx
}

// refuseCall answers a call that arrived too late to be run.
func (r *Router) refuseCall(from ident.Process, m peer.Call) {
	if pool := r.locator.Local(m.Call.Group); pool != nil && m.Call.Tx != 0 {
		pool.rollbackOf(from, m.Call.Tx)
	}
	if m.Call.Phase == engine.End {
		return
	}
	a := engine.Refuse(engine.Aborted, lostRetry, "the owner of the group is stopping")
	trace.Event("CallRefused", "Request", m.Call.Statement.ID, "Group", m.Call.Group, "From", from.Instance, "Reason", a.Reason.String(), "Detail", a.Detail)
	r.sender.Deliver(from, peer.Answer{Number: m.Number, Answer: a})
}

// ReceiveAnswer delivers the answer to a forwarded call. If the call was
// abandoned, the transaction of the answer is rolled back.
func (r *Router) ReceiveAnswer(from ident.Process, m peer.Answer) {
	w, ok := r.waiting.Load(m.Number)
	if !ok || w.to != from {
		return
	}
	if _, deleted := r.waiting.LoadAndDelete(m.Number); !deleted {
		return
	}
	w.answer <- m // the channel has room for the only answer
	if m.Tx != 0 && w.abandoned.Load() != 0 {
		r.Rollback(w.group, TxLocation{Process: from, Tx: m.Tx})
	}
}

// PeerLost fails the calls that are waiting for a process, and removes the calls of
// the process from the queues.
func (r *Router) PeerLost(p ident.Process) {
	r.forwarded.withdrawAll(p)
	r.waiting.Range(func(number uint64, w *waitingCall) bool {
		if w.to != p {
			return true
		}
		if _, deleted := r.waiting.LoadAndDelete(number); deleted {
			close(w.answer)
		}
		return true
	})
}
