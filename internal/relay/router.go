package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// answerSlack is how much longer than the call's own budget an answer of
	// another instance is waited for: the way there and back.
	answerSlack = 150 * time.Millisecond
	// maxHomes bounds the instances that one call is offered to.
	maxHomes = 3
	// lostRetry is when to come back after an instance was lost.
	lostRetry = 50 * time.Millisecond
)

// TxLocation is where a transaction holds a connection.
type TxLocation struct {
	Instance ident.Instance
	Tx       engine.TxID
}

// Sender sends messages to other instances.
type Sender interface {
	// Offer reports whether the message was queued.
	Offer(to ident.Instance, m peer.Message) bool
}

// GroupLocator finds and runs groups.
type GroupLocator interface {
	// OwnerOf returns the instance that holds a group's connections, other
	// than those to avoid.
	OwnerOf(g ident.Group, avoid ...ident.Instance) ident.Instance
	// Local returns this instance's own connections to a group, nil when the
	// group is not known.
	Local(g ident.Group) *GroupPool
}

// waitingCall is a call that another instance runs.
type waitingCall struct {
	to     ident.Instance
	group  ident.Group
	answer chan peer.Answer // closed when the instance is lost
	late   atomic.Bool      // the caller was answered already
}

// Router brings calls to where they run.
type Router struct {
	self  ident.Instance
	homes GroupLocator
	link  Sender
	tasks *tasks.Group

	number  atomic.Uint64
	waiting *xsync.Map[uint64, *waitingCall]
}

// NewRouter returns a router for the instance named self. SetSender is called
// before the first call.
func NewRouter(ctx context.Context, self ident.Instance, homes GroupLocator) *Router {
	return &Router{self: self, homes: homes, tasks: tasks.New(ctx), waiting: xsync.NewMap[uint64, *waitingCall]()}
}

// SetSender gives the way to other instances.
func (r *Router) SetSender(l Sender) { r.link = l }

// Close waits for the calls of other instances that run here.
func (r *Router) Close() error { return r.tasks.Close() }

// Run runs a call where its transaction is, or where its group's connections
// are, and returns where its transaction now is.
func (r *Router) Run(ctx context.Context, call *engine.Call, at TxLocation) (engine.Answer, TxLocation) {
	if call.Phase == engine.Next || call.Phase == engine.End {
		a, p, _ := r.runAt(ctx, call, at.Instance)
		return a, p
	}
	var tried []ident.Instance
	for {
		home := r.homes.OwnerOf(call.Group, tried...)
		a, p, lost := r.runAt(ctx, call, home)
		tried = append(tried, home)
		if !lost || !call.Repeatable() || len(tried) == maxHomes || home == r.self {
			return a, p
		}
		trace.Event("CallMoved", "Request", call.Statement.ID, "Group", call.Group, "Lost", home, "Tried", len(tried))
	}
}

// Rollback rolls back the transaction at a place without waiting for it.
func (r *Router) Rollback(g ident.Group, at TxLocation) {
	call := &engine.Call{Group: g, Phase: engine.End, Tx: at.Tx}
	if at.Instance == r.self {
		if h := r.homes.Local(g); h != nil {
			h.end(at.Tx)
		}
		return
	}
	r.link.Offer(at.Instance, peer.Call{Call: *call})
}

// runAt runs a call at one instance. Lost reports that the instance was lost
// before it answered.
func (r *Router) runAt(ctx context.Context, call *engine.Call, home ident.Instance) (a engine.Answer, p TxLocation, lost bool) {
	if home == r.self {
		a, tx := r.runHere(ctx, r.self, call)
		return a, TxLocation{Instance: r.self, Tx: tx}, false
	}
	number := r.number.Add(1)
	answer := r.expect(number, home, call.Group)
	if !r.link.Offer(home, peer.Call{Number: number, Call: *call}) {
		r.forget(number)
		return engine.Refuse(engine.Aborted, lostRetry, "the instance that serves the group is out of reach"), TxLocation{}, true
	}
	defer r.abandon(number)
	timer := time.NewTimer(call.Timeout + answerSlack)
	defer timer.Stop()
	select {
	case m, ok := <-answer:
		if !ok {
			return call.LostAnswer("the instance that serves the group was lost"), TxLocation{}, true
		}
		return m.Answer, TxLocation{Instance: home, Tx: m.Tx}, false
	case <-timer.C:
		return call.LostAnswer("the instance that serves the group did not answer"), TxLocation{}, false
	case <-ctx.Done():
		return call.LostAnswer("the instance stops"), TxLocation{}, false
	}
}

func (r *Router) runHere(ctx context.Context, owner ident.Instance, call *engine.Call) (engine.Answer, engine.TxID) {
	h := r.homes.Local(call.Group)
	if h == nil {
		return engine.Refuse(engine.NoEndpoint, lostRetry, "no endpoint of the group is known"), 0
	}
	return h.Run(ctx, owner, call)
}

func (r *Router) expect(number uint64, to ident.Instance, g ident.Group) chan peer.Answer {
	answer := make(chan peer.Answer, 1)
	r.waiting.Store(number, &waitingCall{to: to, group: g, answer: answer})
	return answer
}

// abandon keeps a call that got no answer, so that a transaction in a late one
// is rolled back.
func (r *Router) abandon(number uint64) {
	if w, ok := r.waiting.Load(number); ok {
		w.late.Store(true)
	}
}

func (r *Router) forget(number uint64) { r.waiting.Delete(number) }

// ReceiveCall runs a call of another instance.
func (r *Router) ReceiveCall(from ident.Instance, m peer.Call) {
	r.tasks.Go(func(ctx context.Context) error {
		a, tx := r.runHere(ctx, from, &m.Call)
		if m.Call.Phase == engine.End {
			return nil
		}
		if !r.link.Offer(from, peer.Answer{Number: m.Number, Answer: a, Tx: tx}) && tx != 0 {
			r.Rollback(m.Call.Group, TxLocation{Instance: r.self, Tx: tx})
		}
		return nil
	})
}

// ReceiveAnswer takes the answer to a call that was sent. An answer that
// nobody waits for is rolled back where it left a transaction.
func (r *Router) ReceiveAnswer(from ident.Instance, m peer.Answer) {
	w, ok := r.waiting.LoadAndDelete(m.Number)
	if !ok || w.to != from {
		return
	}
	w.answer <- m // it has room for the only answer
	if m.Tx != 0 && w.late.Load() {
		r.Rollback(w.group, TxLocation{Instance: from, Tx: m.Tx})
	}
}

// PeerLost fails the calls that an instance was to answer.
func (r *Router) PeerLost(n ident.Instance) {
	r.waiting.Range(func(number uint64, w *waitingCall) bool {
		if w.to != n {
			return true
		}
		if _, mine := r.waiting.LoadAndDelete(number); mine {
			close(w.answer)
		}
		return true
	})
}
