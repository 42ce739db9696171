package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// scriptedCaller sends statements that a test gives it and keeps the answers.
type scriptedCaller struct {
	statements  chan engine.Statement
	interrupted chan struct{}
	closed      chan struct{}
	once        sync.Once
	mu          sync.Mutex
	refused     engine.Reason
	answers     []engine.Answer
}

func newScriptedCaller() *scriptedCaller {
	return &scriptedCaller{
		statements: make(chan engine.Statement, 2), interrupted: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

func (c *scriptedCaller) Login() (ident.Route, string, error) { return "orders", "key", nil }

func (c *scriptedCaller) FinishLogin(reason engine.Reason) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = reason
	return nil
}

func (c *scriptedCaller) Next() (engine.Statement, error) {
	select {
	case s := <-c.statements:
		return s, nil
	default:
	}
	select {
	case s := <-c.statements:
		return s, nil
	case <-c.interrupted:
		return engine.Statement{}, ErrInterrupted
	case <-c.closed:
		return engine.Statement{}, net.ErrClosed
	}
}

func (c *scriptedCaller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

func (c *scriptedCaller) Reply(_ engine.Statement, a engine.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return nil
}

func (c *scriptedCaller) Disconnected() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *scriptedCaller) Unread() bool { return len(c.statements) > 0 }

func (c *scriptedCaller) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// replies returns the answers so far.
func (c *scriptedCaller) replies() []engine.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]engine.Answer(nil), c.answers...)
}

// openQuota lets every operation pass and counts those that are not given back.
type openQuota struct{ spent int }

func (q *openQuota) Spend(ident.Account, engine.Quota) (bool, time.Duration) {
	q.spent++
	return true, 0
}
func (q *openQuota) Refund(ident.Account) { q.spent-- }

// stopScene is a front whose calls go to an instance that never answers, and one
// caller.
type stopScene struct {
	Gomega
	front   *Front
	owner   *otherOwner
	caller  *scriptedCaller
	quota   *openQuota
	serving *tasks.Group
}

// connect connects the caller.
func (s stopScene) connect() {
	s.serving.Go(func(ctx context.Context) error {
		_ = s.front.Serve(ctx, s.caller)
		return nil
	})
}

// end disconnects the caller and waits for the front.
func (s stopScene) end() {
	s.Expect(s.caller.Close()).To(Succeed())
	s.Expect(s.serving.Close()).To(Succeed())
}

// scene runs f with a caller that has not connected yet.
func scene(t *testing.T, f func(s stopScene)) {
	routed(t, func(g Gomega, r *Router, o *otherOwner) {
		known := &engine.Catalog{
			Version:  1,
			Routes:   map[ident.Route]engine.Route{"orders": {Name: "orders", Group: "db", Freshness: engine.Current, Timeout: time.Minute}},
			Accounts: map[ident.Account]engine.Account{"shop": {Name: "shop", Keys: []string{"key"}}},
		}
		known.BuildKeyIndex()
		catalog := &atomic.Pointer[engine.Catalog]{}
		catalog.Store(known)
		s := stopScene{Gomega: g, owner: o, caller: newScriptedCaller(), quota: &openQuota{}}
		s.front = NewFront(r, s.quota, catalog)
		s.serving = tasks.New(context.Background())
		f(s)
	})
}

var writeStatement = engine.Statement{ID: "w1", Op: engine.Write, Text: "WRITE a 1"}

func TestStatementGivenUpIsAnsweredOnce(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		s.caller.statements <- writeStatement
		synctest.Wait()
		s.Expect(s.front.Load().Statements).To(Equal(1))
		s.Expect(s.front.GiveUp()).To(BeZero())
		s.Expect(s.caller.replies()).To(ConsistOf(HaveField("Outcome", engine.Unknown)))
		s.Expect(s.caller.closed).To(BeClosed())
		s.end()
		s.Expect(s.caller.replies()).To(HaveLen(1))
	})
}

func TestStatementTooLateForItsInstanceIsNotBegun(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		synctest.Wait()
		s.front.EndStatements()
		s.caller.statements <- writeStatement
		synctest.Wait()
		s.Expect(s.caller.replies()).To(ConsistOf(And(HaveField("Outcome", engine.NotRun), HaveField("RetryIn", lostRetry))))
		s.Expect(s.owner.sent).To(BeEmpty())
		s.Expect(s.caller.closed).To(BeClosed())
		s.end()
	})
}

func TestLoginTooLateForItsInstanceIsRefused(t *testing.T) {
	scene(t, func(s stopScene) {
		s.front.EndStatements()
		s.connect()
		synctest.Wait()
		s.Expect(s.caller.refused).To(Equal(engine.Aborted))
		s.end()
	})
}

func TestCallHasTheTimeOfItsInstance(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		s.front.EndBy(clock.Now().Add(time.Second))
		s.caller.statements <- writeStatement
		synctest.Wait()
		s.Expect(s.owner.sent).To(HaveLen(1))
		s.Expect(s.owner.sent[0].Call.Timeout).To(Equal(time.Second - answerMargin))
		time.Sleep(time.Second)
		synctest.Wait()
		s.Expect(s.caller.replies()).To(ConsistOf(HaveField("Outcome", engine.Unknown)))
		s.end()
	})
}

func TestStatementReceivedWithAnotherIsCutByStop(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		synctest.Wait()
		s.front.stop.idleEnd.Store(true)
		s.caller.statements <- writeStatement
		s.caller.statements <- writeStatement
		time.Sleep(3 * time.Minute)
		s.Expect(s.caller.replies()).To(HaveLen(2))
		s.Expect(s.caller.closed).To(BeClosed())
		s.end()
	})
}

// Giving a statement up must not read what its session writes.
func TestGiveUpRacesWithLimit(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		s.front.EndBy(clock.Now().Add(time.Second))
		s.caller.statements <- writeStatement
		time.Sleep(100 * time.Millisecond)
		s.Expect(s.front.GiveUp()).To(BeZero())
		s.Expect(s.caller.replies()).To(ConsistOf(HaveField("Outcome", engine.Unknown)))
		s.end()
	})
}

// An operation whose first statement is refused by a stop must not count against
// the quota.
func TestStopKeepsQuotaOfRefusedTransaction(t *testing.T) {
	scene(t, func(s stopScene) {
		s.connect()
		s.caller.statements <- engine.Statement{ID: "1", Op: engine.Begin, Text: "BEGIN"}
		synctest.Wait()
		s.Expect(s.caller.replies()).To(ConsistOf(HaveField("Outcome", engine.Answered)))
		s.front.EndStatements()
		s.caller.statements <- engine.Statement{ID: "2", Op: engine.Read, Text: "READ a"}
		synctest.Wait()
		s.Expect(s.caller.replies()).To(HaveLen(2))
		s.Expect(s.caller.replies()[1].Outcome).To(Equal(engine.NotRun))
		s.Expect(s.quota.spent).To(BeZero())
		s.end()
	})
}
