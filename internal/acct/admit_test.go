package acct

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// holdEverything returns a gate whose instance holds every part, full.
func holdEverything(tb testing.TB, rate, burst ident.Tokens) (*Admission, *Authenticator, time.Time) {
	tb.Helper()
	now := time.Unix(1000, 0)
	timing := DefaultTiming(DefaultLease)
	q := NewQuota("entry-1", timing, RankByHash, rand.New(rand.NewPCG(1, 1)), now)
	book := NewAuthenticator()
	book.Set(testDocument(rate, burst))
	todo := q.Update(AccountsChanged{Version: 1, Accounts: testDocument(rate, burst).Accounts}, now)
	rows := make(map[store.LeaseKey]store.Lease)
	end := now.Add(time.Minute)
	for now.Before(end) {
		now = now.Add(TickEvery)
		todo = append(todo, q.Update(Tick{}, now)...)
		for len(todo) > 0 {
			c := todo[0]
			todo = todo[1:]
			switch c := c.(type) {
			case ReadLeases:
				var all []store.Lease
				for _, r := range rows {
					all = append(all, r)
				}
				todo = append(todo, q.Update(LeasesRead{Began: now, Rows: all}, now)...)
			case SwapLease:
				rows[c.Fresh.Key] = c.Fresh
				todo = append(todo, q.Update(SwapDone{Fresh: c.Fresh, Result: SwapOK}, now)...)
			}
		}
	}
	return NewAdmission(book, q.Limiter(), func() {}, func() time.Time { return now }), book, now
}

func code(err error) fault.Code {
	if err == nil {
		return ""
	}
	return fault.From(err).Code
}

func TestLoginAndCheck(t *testing.T) {
	g := NewWithT(t)
	gate, book, now := holdEverything(t, 10, 10)
	badge, err := gate.Login(testRoute, buyers, testKey, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gate.Check(&badge, now)).To(Succeed())
	g.Expect(gate.Weight(&badge)).To(Equal(3))

	refused := func(route ident.Route, account ident.Account, key string) fault.Code {
		_, err := gate.Login(route, account, key, now)
		if err != nil {
			g.Expect(err.Error()).NotTo(ContainSubstring(key))
			g.Expect(fault.From(err).Outcome).To(Equal(fault.NotRun))
		}
		return code(err)
	}
	g.Expect(refused("nowhere", buyers, testKey)).To(Equal(fault.NoRoute))
	g.Expect(refused(testRoute, buyers, "mk_wrong")).To(Equal(fault.BadKey))
	g.Expect(refused(testRoute, "nobody", testKey)).To(Equal(fault.BadKey))
	g.Expect(refused(testRoute, "drivers", testKey)).To(Equal(fault.BadKey))
	g.Expect(refused("slots", buyers, testKey)).To(Equal(fault.NotAllowed))
	g.Expect(refused(openRoute, "", "mk_any")).To(BeEmpty())

	withdrawn := testDocument(10, 10)
	withdrawn.Accounts[0].Keys = nil
	book.Set(withdrawn)
	g.Expect(code(gate.Check(&badge, now))).To(Equal(fault.BadKey))
	without := testDocument(10, 10)
	without.Routes = without.Routes[1:]
	book.Set(without)
	g.Expect(code(gate.Check(&badge, now))).To(Equal(fault.NoRoute))
}

func TestUntrustedDocument(t *testing.T) {
	g := NewWithT(t)
	gate, book, now := holdEverything(t, 10, 10)
	badge, err := gate.Login(testRoute, buyers, testKey, now)
	g.Expect(err).NotTo(HaveOccurred())
	book.SetTrusted(false)
	refusal := fault.From(gate.Check(&badge, now))
	g.Expect(refusal.Outcome).To(Equal(fault.NotRun))
	g.Expect(refusal.RetryIn).To(BeNumerically(">", 0))
	g.Expect(gate.Check(&Identity{Route: openRoute}, now)).To(Succeed())
	book.SetTrusted(true)
	g.Expect(gate.Check(&badge, now)).To(Succeed())
}

func TestSpendToTheBurst(t *testing.T) {
	g := NewWithT(t)
	gate, _, now := holdEverything(t, 100, 40)
	badge := Identity{Route: testRoute, Account: buyers}
	for range 40 {
		g.Expect(gate.Spend(&badge, now)).To(Succeed())
	}
	refusal := fault.From(gate.Spend(&badge, now))
	g.Expect(refusal.Code).To(Equal(fault.OverLimit))
	g.Expect(refusal.Outcome).To(Equal(fault.NotRun))
	g.Expect(refusal.RetryIn).To(And(BeNumerically(">", 0), BeNumerically("<", longestRetry)))
	g.Expect(gate.Spend(&badge, now.Add(time.Second))).To(Succeed())
	g.Expect(gate.Spend(&Identity{Route: openRoute}, now)).To(Succeed())
	g.Expect(code(gate.Spend(&Identity{Route: testRoute, Account: "nobody"}, now))).To(Equal(fault.BadKey))
	g.Expect(code(gate.Spend(&badge, now.Add(DefaultLease)))).To(Equal(fault.OverLimit), "the lease has lapsed")
}

func TestReturn(t *testing.T) {
	g := NewWithT(t)
	b := newBucket(time.Hour, 8)
	second := int64(time.Second)
	b.end.Store(100 * second)
	b.open(8, 0)
	for range 8 {
		g.Expect(b.spend(second)).To(BeTrue())
	}
	g.Expect(b.giveBack(2*second)).To(BeFalse(), "the bucket was full a moment ago")
	for range 4 {
		g.Expect(b.giveBack(12 * second)).To(BeTrue())
	}
	g.Expect(b.giveBack(12*second)).To(BeFalse(), "half the burst came back already")
	g.Expect(b.level(12 * second)).To(Equal(int64(4)))
}

// Requests that spend while the decider lends and settles never get more than
// the part holds.
func TestBucketUnderConcurrentLoans(t *testing.T) {
	g := NewWithT(t)
	const full, now = 3000, int64(time.Second)
	b := newBucket(time.Hour, full)
	b.end.Store(2 * now)
	b.open(full, now)
	var spent, lost atomic.Int64
	group := tasks.New(context.Background())
	for range 4 {
		group.Go(func(context.Context) error {
			for b.spend(now) {
				spent.Add(1)
			}
			return nil
		})
	}
	for range 200 {
		if b.lend(5, now) {
			lost.Add(3)
			b.settle(5, 2, now)
		}
	}
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(spent.Load() + lost.Load() + b.level(now)).To(BeNumerically("<=", full))
	g.Expect(b.limit.Load()).To(Equal(int64(full)))
}

// The cut keeps whole tokens, sums to the account, and grows part by part.
func TestCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := ident.Tokens(rapid.Int64Range(1, 1_000_000).Draw(t, "rate"))
		burst := ident.Tokens(rapid.Int64Range(1, 100_000).Draw(t, "burst"))
		c, more := newCut(rate, burst), newCut(rate, burst+1)
		sum := ident.Tokens(0)
		for i := range c.parts {
			sum += c.burstOf(i)
			if c.parts == more.parts && more.burstOf(i) < c.burstOf(i) {
				t.Fatalf("part %d shrinks as the burst grows", i)
			}
			if p := c.part(i); partsOf(p) != c.parts || indexOf(p) != i {
				t.Fatalf("part %d of %d is numbered %d", i, c.parts, p)
			}
		}
		if sum != burst {
			t.Fatalf("parts hold %d of %d", sum, burst)
		}
		if gained := int64(c.parts) * int64(time.Hour) / int64(c.interval()); gained > int64(rate)*3600 {
			t.Fatalf("parts gain %d an hour at %d a second", gained, rate)
		}
	})
}

func TestPlacementIsEven(t *testing.T) {
	g := NewWithT(t)
	live := []ident.Instance{"a", "b", "c", "d", "e", "f", "g"}
	p := place(buyers, 8, live, RankByHash)
	load := make(map[ident.Instance]int)
	for _, order := range p.orders {
		g.Expect(order).To(ConsistOf(live))
		load[order[0]]++
	}
	for _, n := range load {
		g.Expect(n).To(BeNumerically("<=", 2))
	}
}

func BenchmarkCheckAndSpend(b *testing.B) {
	gate, _, now := holdEverything(b, 1_000_000_000, 100_000_000)
	badge := Identity{Route: testRoute, Account: buyers, KeyHash: envdoc.HashKey(testKey)}
	b.ReportAllocs()
	for b.Loop() {
		if gate.Check(&badge, now) != nil || gate.Spend(&badge, now) != nil {
			b.Fatal("refused")
		}
		now = now.Add(10 * time.Nanosecond)
	}
}

func BenchmarkCheckAndSpendParallel(b *testing.B) {
	gate, _, now := holdEverything(b, 1_000_000_000, 100_000_000)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		badge := Identity{Route: testRoute, Account: buyers, KeyHash: envdoc.HashKey(strings.Clone(testKey))}
		for p.Next() {
			_ = gate.Check(&badge, now)
			_ = gate.Spend(&badge, now)
		}
	})
}
