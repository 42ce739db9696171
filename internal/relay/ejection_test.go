package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// failingDialer opens connections to endpoints that accept all connections and
// answer BEGIN, while one of them fails all other statements.
type failingDialer struct{ failing ident.Endpoint }

func (d *failingDialer) Dial(_ context.Context, _ ident.Group, e sched.Endpoint, _ ident.Account) (Conn, error) {
	return failingConn{fails: e.ID == d.failing}, nil
}

type failingConn struct{ fails bool }

func (c failingConn) Do(r Request, _ time.Duration) (engine.Answer, error) {
	a := engine.Answer{Outcome: engine.Answered, Position: ident.LogPosition{Term: 1, Position: 5}}
	switch {
	case r.Statement.Op == engine.Begin:
		a.State = engine.InTx
	case c.fails:
		a.Reason = engine.Failed
	}
	return a, nil
}

func (c failingConn) DoAll(requests []Request, timeout time.Duration) ([]engine.Answer, error) {
	return doEach(c, requests, timeout)
}

func (failingConn) Close() error { return nil }

func newFailingPool(t *testing.T, failing ident.Endpoint, observe func(sched.Message)) *GroupPool {
	p := NewGroupPool(t.Context(), "orders", &failingDialer{failing: failing}, observe)
	p.Update(sched.Limits{MaxConns: 16})
	p.Update(sched.Ownership{Owner: true})
	p.Update(sched.Directory{Endpoints: []sched.Endpoint{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}}})
	p.Update(sched.Primary{Endpoint: "a", Usable: true})
	p.Update(sched.EndpointObserved{Endpoint: "a", Began: clock.Now(), Position: ident.LogPosition{Term: 1, Position: 5}, WasPrimary: true})
	return p
}

// Reads of a replica that answers each of them with a failure are tried at the
// primary. The replica was tried first by every read, because it answers fast.
func TestReplicaThatFailsReadsIsEjected(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	defer clock.Replace(func() time.Time { return now })() // calls take no time, so both endpoints are as fast
	p := newFailingPool(t, "b", func(sched.Message) {})
	defer func() { g.Expect(p.Close()).To(Succeed()) }()
	before := ejections.Get()
	tries := 0
	for range 30 {
		call := engine.Call{Phase: engine.Single, Account: "shop", MaxLag: time.Minute, Timeout: 5 * time.Second, Statement: engine.Statement{Op: engine.Read}}
		a, _ := p.Run(t.Context(), processOf("i"), &call)
		g.Expect(a.OK()).To(BeTrue(), a.Detail)
		tries += a.Tries
	}
	g.Expect(ejections.Get() - before).To(BeNumerically("==", 1))
	g.Expect(p.ejectedGauge().Get()).To(BeNumerically("==", 1))
	g.Expect(tries).To(BeNumerically("<=", 35))
}

// A primary that fails the writes of three accounts is reported to the elector.
func TestPrimaryThatFailsWritesIsReported(t *testing.T) {
	g := NewWithT(t)
	reports := make(chan sched.PrimaryFailing, 1)
	p := newFailingPool(t, "a", func(m sched.Message) {
		if m, ok := m.(sched.PrimaryFailing); ok {
			reports <- m
		}
	})
	defer func() { g.Expect(p.Close()).To(Succeed()) }()
	for n := range 12 {
		account := []ident.Account{"x", "y", "z"}[n%3]
		call := engine.Call{Phase: engine.Single, Account: account, PrimaryOnly: true, Timeout: 5 * time.Second, Statement: engine.Statement{Op: engine.Write}}
		a, _ := p.Run(t.Context(), processOf("i"), &call)
		g.Expect(a.Reason).To(Equal(engine.Failed))
	}
	p.reportPrimary(clock.Now())
	g.Expect(reports).To(Receive(Equal(sched.PrimaryFailing{Endpoint: "a", Outcomes: sched.OutcomeCounts{Failed: 12}, Accounts: 3})))
}
