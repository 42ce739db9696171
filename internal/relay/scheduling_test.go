package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// openEndpoint is an endpoint that accepts all connections.
type openEndpoint struct{}

// Dial implements Dialer.
func (openEndpoint) Dial(context.Context, ident.Group, sched.Endpoint, ident.Account) (Conn, error) {
	return openEndpoint{}, nil
}

// Do implements Conn.
func (openEndpoint) Do(Request, time.Duration) (engine.Answer, error) {
	return engine.Answer{Outcome: engine.Answered}, nil
}

// DoAll implements Conn.
func (c openEndpoint) DoAll(requests []Request, timeout time.Duration) ([]engine.Answer, error) {
	return doEach(c, requests, timeout)
}

// Close implements Conn.
func (openEndpoint) Close() error { return nil }

// The queue of a group must follow the rates of a configuration: when both
// accounts have calls waiting, the account with three times the rate gets about
// three times the connections.
func TestRatesOfConfigurationWeighAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		n := isolatedNode(t)
		n.config.Dialer = openEndpoint{}
		n.config.Decode = func([]byte) (*engine.Catalog, error) {
			c := emptyCatalog()
			c.Version = 1
			c.Groups = map[ident.Group]engine.GroupLimits{"orders": {Group: "orders", MaxConns: 64}}
			c.Accounts = map[ident.Account]engine.Account{
				"large": {Name: "large", Quota: engine.Quota{Rate: 300}}, "small": {Name: "small", Quota: engine.Quota{Rate: 100}},
			}
			return c, nil
		}
		n.SetConfig(nil, "test")
		pool := n.runners["orders"].pool
		pool.Update(sched.Ownership{Owner: true})
		pool.Update(sched.Directory{Endpoints: []sched.Endpoint{{ID: "a", Slots: 1}}})
		pool.Update(sched.Primary{Endpoint: "a", Usable: true})

		served := make(chan ident.Account, 400)
		calls := tasks.New(t.Context())
		for range 200 {
			for _, account := range []ident.Account{"small", "large"} {
				call := &engine.Call{Phase: engine.Single, Account: account, PrimaryOnly: true, Statement: engine.Statement{Op: engine.Read}}
				calls.Go(func(ctx context.Context) error {
					granted := pool.acquire(ctx, call, nil, clock.Now().Add(time.Minute))
					served <- account
					time.Sleep(time.Millisecond)
					pool.release(granted.conn, false)
					return nil
				})
			}
		}
		g.Expect(calls.Wait()).To(Succeed())
		close(served)
		count := map[ident.Account]int{}
		for account := range served {
			count[account]++
			if count["large"] == 150 {
				break
			}
		}
		g.Expect(count["small"]).To(BeNumerically("~", 50, 10))
	})
}

// The duration of a call must count for the kind of the call, not for reads.
func TestObservationsCarryTheKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		var observed []sched.CallKind
		pool := NewGroupPool(t.Context(), "orders", openEndpoint{}, func(m sched.Message) {
			observed = append(observed, m.(sched.EndpointObserved).Kind)
		})
		pool.Update(sched.Directory{Endpoints: []sched.Endpoint{{ID: "a", Slots: 1}}})
		pool.Update(sched.Primary{Endpoint: "a", Usable: true})
		call := &engine.Call{
			Phase: engine.Single, Account: "shop", PrimaryOnly: true, Priority: 2, Timeout: time.Second, Statement: engine.Statement{Op: engine.Write},
		}
		a, _ := pool.Run(t.Context(), processOf("self"), call)
		g.Expect(a.OK()).To(BeTrue())
		g.Expect(observed).To(ConsistOf(sched.CallKind{PrimaryOnly: true, Writes: true, Priority: 2}))
		g.Expect(pool.Close()).To(Succeed())
	})
}
