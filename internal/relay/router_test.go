package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// otherOwner locates every group at the instance "other" and records what is
// sent to it.
type otherOwner struct {
	oneProcessEach
	mu        sync.Mutex
	sent      []peer.Call
	withdrawn []peer.CallWithdrawn
}

func (o *otherOwner) OwnerOf(ident.Group, ...ident.Instance) ident.Instance { return "other" }
func (o *otherOwner) Local(ident.Group) *GroupPool                          { return nil }

// Offer implements Sender.
func (o *otherOwner) Offer(_ ident.Instance, m peer.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w, ok := m.(peer.CallWithdrawn); ok {
		o.withdrawn = append(o.withdrawn, w)
		return true
	}
	o.sent = append(o.sent, m.(peer.Call))
	return true
}

// Deliver implements Sender.
func (o *otherOwner) Deliver(to ident.Process, m peer.Message) bool { return o.Offer(to.Instance, m) }

// oneProcessEach is the part of a Sender for instances that do not start again.
type oneProcessEach struct{}

// Process implements Sender.
func (oneProcessEach) Process(of ident.Instance) (ident.Process, bool) { return processOf(of), true }

// processOf returns the only process of an instance.
func processOf(n ident.Instance) ident.Process { return ident.Process{Instance: n, Incarnation: 1} }

// routed runs f with a router that sends all calls to another instance.
func routed(t *testing.T, f func(g Gomega, r *Router, o *otherOwner)) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		o := &otherOwner{}
		r := NewRouter(t.Context(), processOf("self"), o)
		r.SetSender(o)
		f(g, r, o)
		g.Expect(r.Close()).To(Succeed())
	})
}

// The owner of a group never answers, and its link stays open. The calls that
// timed out must not be kept for ever.
func TestUnansweredCallsAreForgotten(t *testing.T) {
	routed(t, func(g Gomega, r *Router, _ *otherOwner) {
		for _, phase := range []engine.Phase{engine.Single, engine.First} {
			a, _ := r.Run(context.Background(), &engine.Call{Group: "db", Phase: phase, Timeout: time.Second}, TxLocation{})
			g.Expect(a.OK()).To(BeFalse())
		}
		g.Expect(r.waiting.Size()).To(Equal(1), "a late answer may report an open transaction")
		r.Expire(clock.Now().Add(abandonedLimit + 1))
		g.Expect(r.waiting.Size()).To(BeZero())
	})
}

// The late answer to a call that opened a transaction leads to its rollback.
func TestLateTransactionIsRolledBack(t *testing.T) {
	routed(t, func(g Gomega, r *Router, o *otherOwner) {
		r.Run(context.Background(), &engine.Call{Group: "db", Phase: engine.First, Timeout: time.Second}, TxLocation{})
		r.ReceiveAnswer(processOf("other"), peer.Answer{Number: o.sent[0].Number, Tx: 7})
		g.Expect(o.sent).To(HaveLen(2))
		g.Expect(o.sent[1].Call.Phase).To(Equal(engine.End))
		g.Expect(o.sent[1].Call.Tx).To(Equal(engine.TxID(7)))
	})
}

// The owner does not answer a statement of a transaction in time. The session
// must be able to roll the transaction back at the owner, which may be late and
// would keep its connection otherwise.
func TestUnansweredTransactionKeepsItsLocation(t *testing.T) {
	routed(t, func(g Gomega, r *Router, _ *otherOwner) {
		open := TxLocation{Process: processOf("other"), Tx: 7}
		call := &engine.Call{Group: "db", Phase: engine.Next, Tx: open.Tx, Timeout: time.Second}
		a, at := r.Run(context.Background(), call, open)
		g.Expect(a.OK()).To(BeFalse())
		g.Expect(at).To(Equal(open))
	})
}

// sendInBackground runs a call and returns once it has been sent.
func sendInBackground(r *Router) <-chan engine.Answer {
	answered := make(chan engine.Answer, 1)
	r.tasks.Go(func(context.Context) error {
		a, _ := r.Run(context.Background(), &engine.Call{Group: "db", Phase: engine.Single, Timeout: time.Second}, TxLocation{})
		answered <- a
		return nil
	})
	synctest.Wait()
	return answered
}

// An answer from an instance that the call was not sent to is ignored, and the
// right one is still delivered.
func TestAnswerOfAnotherInstanceIsIgnored(t *testing.T) {
	routed(t, func(g Gomega, r *Router, o *otherOwner) {
		answered := sendInBackground(r)
		right := engine.Answer{Outcome: engine.Answered, Signature: "right"}
		r.ReceiveAnswer(processOf("stranger"), peer.Answer{Number: o.sent[0].Number, Answer: engine.Answer{Outcome: engine.Answered}})
		r.ReceiveAnswer(processOf("other"), peer.Answer{Number: o.sent[0].Number, Answer: right})
		g.Expect(<-answered).To(Equal(right))
	})
}

// restartedOwner is an otherOwner that has started again: there is a link to its second
// process only.
type restartedOwner struct{ otherOwner }

// Process implements ProcessSender.
func (o *restartedOwner) Process(of ident.Instance) (ident.Process, bool) {
	return ident.Process{Instance: of, Incarnation: 2}, true
}

// Deliver implements ProcessSender.
func (o *restartedOwner) Deliver(to ident.Process, m peer.Message) bool {
	return to.Incarnation == 2 && o.Offer(to.Instance, m)
}

// The owner of a group has started again, and has opened another transaction of the same
// number. A statement of the former one must not run there, nor its rollback.
func TestTransactionEndsWithItsProcess(t *testing.T) {
	routed(t, func(g Gomega, r *Router, _ *otherOwner) {
		o := &restartedOwner{}
		r.SetSender(o)
		open := TxLocation{Process: processOf("other"), Tx: 1}
		call := &engine.Call{Group: "db", Phase: engine.Next, Tx: open.Tx, Timeout: time.Second, Statement: engine.Statement{Op: engine.Commit}}
		a, _ := r.Run(context.Background(), call, open)
		g.Expect(a.Outcome).To(Equal(engine.NotRun), "the commit was not sent")
		g.Expect(a.Reason).To(Equal(engine.Aborted))
		r.Rollback("db", open)
		g.Expect(o.sent).To(BeEmpty())
	})
}

// An instance starts again while the owner of a group runs its call. The answer must not
// reach the next process, whose call of the same number is another one.
func TestAnswerIsForTheCallingProcess(t *testing.T) {
	routed(t, func(g Gomega, r *Router, _ *otherOwner) {
		o := &restartedCaller{}
		r.SetSender(o)
		r.ReceiveCall(ident.Process{Instance: "other", Incarnation: 1}, peer.Call{Number: 2, Call: engine.Call{Group: "db", Phase: engine.Single}})
		r.ReceiveCall(ident.Process{Instance: "other", Incarnation: 2}, peer.Call{Number: 2, Call: engine.Call{Group: "db", Phase: engine.Single}})
		synctest.Wait()
		g.Expect(o.delivered).To(ConsistOf(ident.Process{Instance: "other", Incarnation: 1}, ident.Process{Instance: "other", Incarnation: 2}))
	})
}

// restartedCaller records to which processes answers are sent.
type restartedCaller struct {
	oneProcessEach
	mu        sync.Mutex
	delivered []ident.Process
}

// Deliver implements ProcessSender.
func (o *restartedCaller) Deliver(to ident.Process, _ peer.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delivered = append(o.delivered, to)
	return true
}

// An answer of the owner's former process is not that to a call which its next process
// runs.
func TestAnswerOfFormerProcessIsIgnored(t *testing.T) {
	routed(t, func(g Gomega, r *Router, o *otherOwner) {
		answered := sendInBackground(r)
		right := engine.Answer{Outcome: engine.Answered, Signature: "right"}
		r.ReceiveAnswer(ident.Process{Instance: "other", Incarnation: 7}, peer.Answer{Number: o.sent[0].Number, Answer: engine.Answer{Outcome: engine.Answered}})
		r.ReceiveAnswer(processOf("other"), peer.Answer{Number: o.sent[0].Number, Answer: right})
		g.Expect(<-answered).To(Equal(right))
	})
}
