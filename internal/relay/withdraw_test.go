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
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// busyOwner owns every group. Its endpoint does not accept connections, so that
// all calls wait. It records the answers to other instances.
type busyOwner struct {
	oneProcessEach
	pool    *GroupPool
	mu      sync.Mutex
	answers []peer.Answer
}

func (o *busyOwner) OwnerOf(ident.Group, ...ident.Instance) ident.Instance { return "self" }
func (o *busyOwner) Local(ident.Group) *GroupPool                          { return o.pool }

// Offer implements Sender.
func (o *busyOwner) Offer(_ ident.Instance, m peer.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = append(o.answers, m.(peer.Answer))
	return true
}

// Deliver implements Sender.
func (o *busyOwner) Deliver(to ident.Process, m peer.Message) bool { return o.Offer(to.Instance, m) }

// Dial implements Dialer.
func (o *busyOwner) Dial(ctx context.Context, _ ident.Group, _ sched.Endpoint, _ ident.Account) (Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// waiting returns the number of calls in the queue.
func (o *busyOwner) waiting() int {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	return len(o.pool.waiting)
}

// atBusyOwner runs f with a router at which two calls of the instance "near" and
// one of "far" wait.
func atBusyOwner(t *testing.T, f func(g Gomega, r *Router, o *busyOwner)) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		o := &busyOwner{}
		o.pool = NewGroupPool(t.Context(), "db", o, func(sched.Message) {})
		o.pool.Update(sched.Directory{Endpoints: []sched.Endpoint{{ID: "a", Slots: 1}}})
		o.pool.Update(sched.Primary{Endpoint: "a", Usable: true})
		r := NewRouter(t.Context(), processOf("self"), o)
		r.SetSender(o)
		call := func(from ident.Instance, number uint64) {
			c := engine.Call{Group: "db", Phase: engine.Single, Account: "shop", PrimaryOnly: true, Timeout: time.Second, Statement: engine.Statement{Op: engine.Read}}
			r.ReceiveCall(processOf(from), peer.Call{Number: number, Call: c})
		}
		call("near", 1)
		call("near", 2)
		call("far", 1)
		synctest.Wait()
		g.Expect(o.waiting()).To(Equal(3))
		f(g, r, o)
		g.Expect(r.Close()).To(Succeed())
		g.Expect(o.pool.Close()).To(Succeed())
	})
}

// A forwarded call whose caller has left must not keep its place in the queue.
func TestWithdrawnCallLeavesTheQueue(t *testing.T) {
	atBusyOwner(t, func(g Gomega, r *Router, o *busyOwner) {
		r.ReceiveWithdrawal(processOf("near"), peer.CallWithdrawn{Number: 1})
		synctest.Wait()
		g.Expect(o.waiting()).To(Equal(2))
		g.Expect(o.answers).To(ConsistOf(And(HaveField("Number", uint64(1)), HaveField("Answer.Reason", engine.Aborted))))
		r.ReceiveWithdrawal(processOf("near"), peer.CallWithdrawn{Number: 7})
		synctest.Wait()
		g.Expect(o.waiting()).To(Equal(2), "no other call may be affected")
	})
}

// The calls of a lost instance must not keep their places in the queue.
func TestCallsOfLostInstanceLeaveTheQueue(t *testing.T) {
	atBusyOwner(t, func(g Gomega, r *Router, o *busyOwner) {
		r.PeerLost(processOf("near"))
		synctest.Wait()
		g.Expect(o.waiting()).To(Equal(1))
		g.Expect(r.forwarded.cancels.Size()).To(Equal(1), "answered calls must be forgotten")
	})
}

// The caller of a forwarded call disconnects. The owner must be told, and its
// answer awaited: the call may be running.
func TestDisconnectedCallerIsWithdrawn(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		s.caller.statements <- writeStatement
		synctest.Wait()
		s.front.withdrawDisconnected(clock.Now().Add(time.Second))
		synctest.Wait()
		s.Expect(s.owner.withdrawn).To(BeEmpty(), "the caller is still connected")
		s.Expect(s.caller.Close()).To(Succeed())
		for range 2 {
			s.front.withdrawDisconnected(clock.Now().Add(time.Second))
			synctest.Wait()
		}
		s.Expect(s.owner.withdrawn).To(ConsistOf(peer.CallWithdrawn{Number: s.owner.sent[0].Number}))
		s.Expect(s.caller.replies()).To(BeEmpty())
		done := engine.Answer{Outcome: engine.Answered, Signature: "done"}
		s.front.router.ReceiveAnswer(processOf("other"), peer.Answer{Number: s.owner.sent[0].Number, Answer: done})
		s.end()
		s.Expect(s.caller.replies()).To(ConsistOf(done))
	})
}
