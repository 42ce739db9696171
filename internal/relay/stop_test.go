package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// scriptedCaller sends the statements of a channel and records the answers.
type scriptedCaller struct {
	statements chan engine.Statement
	closed     chan struct{}
	answers    chan engine.Answer
}

func newScriptedCaller() *scriptedCaller {
	return &scriptedCaller{
		statements: make(chan engine.Statement, 4), closed: make(chan struct{}), answers: make(chan engine.Answer, 4),
	}
}

func (c *scriptedCaller) Login() (ident.Route, string, error) { return "orders", "k1", nil }
func (c *scriptedCaller) FinishLogin(engine.Reason) error     { return nil }
func (c *scriptedCaller) Interrupt()                          {}
func (c *scriptedCaller) Unread() bool                        { return false }
func (c *scriptedCaller) Reply(_ engine.Statement, a engine.Answer) error {
	c.answers <- a
	return nil
}

func (c *scriptedCaller) Next() (engine.Statement, error) {
	select {
	case s := <-c.statements:
		return s, nil
	case <-c.closed:
		return engine.Statement{}, net.ErrClosed
	}
}

func (c *scriptedCaller) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// countingLimiter grants all operations and counts them.
type countingLimiter struct{ spent, refunded int }

func (l *countingLimiter) Spend(ident.Account, engine.Quota) (bool, time.Duration) {
	l.spent++
	return true, 0
}
func (l *countingLimiter) Refund(ident.Account) { l.refunded++ }

func oneRoute() *engine.Catalog {
	c := &engine.Catalog{
		Version:  1,
		Routes:   map[ident.Route]engine.Route{"orders": {Name: "orders", Group: "db", Timeout: 2 * time.Second}},
		Accounts: map[ident.Account]engine.Account{"shop": {Name: "shop", Keys: []string{"k1"}}},
	}
	c.BuildKeyIndex()
	return c
}

// serving runs f with a session of a front whose calls no owner answers.
func serving(ctx context.Context, f func(front *Front, l *countingLimiter, c *scriptedCaller)) {
	var catalog atomic.Pointer[engine.Catalog]
	catalog.Store(oneRoute())
	owner := &otherOwner{}
	r := NewRouter(ctx, "self", owner)
	r.SetSender(owner)
	l, c := &countingLimiter{}, newScriptedCaller()
	front := NewFront(r, l, &catalog)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = front.Serve(ctx, c)
	}()
	f(front, l, c)
	cancel()
	_ = c.Close()
	<-done
	_ = r.Close()
}

// Giving a statement up must not read what its session writes.
func TestGiveUpRacesWithLimit(t *testing.T) {
	g := NewWithT(t)
	serving(t.Context(), func(front *Front, _ *countingLimiter, c *scriptedCaller) {
		front.EndBy(time.Now().Add(time.Second))
		c.statements <- engine.Statement{ID: "1", Op: engine.Write, Text: "WRITE a 1"}
		time.Sleep(100 * time.Millisecond)
		g.Expect(front.GiveUp()).To(BeZero())
		g.Expect((<-c.answers).Outcome).To(Equal(engine.Unknown))
	})
}

// An operation whose first statement is refused by a stop must not count against
// the quota.
func TestStopKeepsQuotaOfRefusedTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		serving(t.Context(), func(front *Front, l *countingLimiter, c *scriptedCaller) {
			c.statements <- engine.Statement{ID: "1", Op: engine.Begin, Text: "BEGIN"}
			g.Expect((<-c.answers).OK()).To(BeTrue())
			front.EndStatements()
			c.statements <- engine.Statement{ID: "2", Op: engine.Read, Text: "READ a"}
			g.Expect((<-c.answers).Outcome).To(Equal(engine.NotRun))
			g.Expect(l.spent - l.refunded).To(BeZero())
		})
	})
}

// slowConn answers each request after a while.
type slowConn struct{ took time.Duration }

func (c slowConn) Do(_ Request, timeout time.Duration) (engine.Answer, error) {
	if c.took > timeout {
		time.Sleep(timeout)
		return engine.Answer{}, context.DeadlineExceeded
	}
	time.Sleep(c.took)
	return engine.Answer{Outcome: engine.Answered}, nil
}
func (c slowConn) Close() error { return nil }

// The requests of one call share its time-out, or a local call outlives the stop
// that gave it that time.
func TestEachRequestOfCallTakesWholeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		p := NewGroupPool(t.Context(), "db", nil, nil)
		defer func() { g.Expect(p.Close()).To(Succeed()) }()
		const timeout = 700 * time.Millisecond
		call := &engine.Call{
			Group: "db", Phase: engine.First, Timeout: timeout,
			Begin:     engine.Statement{Op: engine.Begin},
			Statement: engine.Statement{Op: engine.Execute, Template: engine.StatementTemplate{Text: "q"}},
			Variables: []engine.Variable{{Name: "a", Value: "1"}, {Name: "b", Value: "2"}},
		}
		began := time.Now()
		_, _ = p.send(call, grant{conn: newEndpointConn(1, "db-a", slowConn{took: 600 * time.Millisecond})}, timeout)
		g.Expect(time.Since(began)).To(BeNumerically("<=", timeout))
	})
}
