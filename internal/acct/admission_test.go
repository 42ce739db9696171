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

// newFullAdmission returns the Admission of an instance that holds every part,
// with full buckets.
func newFullAdmission(tb testing.TB, rate, burst ident.Tokens) (*Admission, *Authenticator, time.Time) {
	tb.Helper()
	now := time.Unix(1000, 0)
	timing := DefaultTiming(DefaultLease)
	q := NewQuota("entry-1", timing, RankByHash, rand.New(rand.NewPCG(1, 1)), now)
	authenticator := NewAuthenticator()
	authenticator.Set(testDocument(rate, burst))
	todo := q.Update(AccountsChanged{Version: 1, Accounts: testDocument(rate, burst).Accounts}, now)
	rows := make(map[store.LeaseKey]store.Lease)
	end := now.Add(time.Minute)
	for now.Before(end) {
		now = now.Add(TickInterval)
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
				todo = append(todo, q.Update(LeasesRead{StartedAt: now, Rows: all}, now)...)
			case SwapLease:
				rows[c.New.Key] = c.New
				todo = append(todo, q.Update(SwapDone{New: c.New, Result: SwapOK}, now)...)
			}
		}
	}
	return NewAdmission(authenticator, q.Limiter(), func() {}, func() time.Time { return now }), authenticator, now
}

func code(err error) fault.Code {
	if err == nil {
		return ""
	}
	return fault.From(err).Code
}

func TestLoginAndCheck(t *testing.T) {
	g := NewWithT(t)
	admission, authenticator, now := newFullAdmission(t, 10, 10)
	identity, err := admission.Login(testRoute, buyers, testKey, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(admission.Check(&identity, now)).To(Succeed())
	g.Expect(admission.Weight(&identity)).To(Equal(3))

	refused := func(route ident.Route, account ident.Account, key string) fault.Code {
		_, err := admission.Login(route, account, key, now)
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

	revoked := testDocument(10, 10)
	revoked.Accounts[0].Keys = nil
	authenticator.Set(revoked)
	g.Expect(code(admission.Check(&identity, now))).To(Equal(fault.BadKey))
	withoutRoute := testDocument(10, 10)
	withoutRoute.Routes = withoutRoute.Routes[1:]
	authenticator.Set(withoutRoute)
	g.Expect(code(admission.Check(&identity, now))).To(Equal(fault.NoRoute))
}

func TestUntrustedDocument(t *testing.T) {
	g := NewWithT(t)
	admission, authenticator, now := newFullAdmission(t, 10, 10)
	identity, err := admission.Login(testRoute, buyers, testKey, now)
	g.Expect(err).NotTo(HaveOccurred())
	authenticator.SetTrusted(false)
	refusal := fault.From(admission.Check(&identity, now))
	g.Expect(refusal.Outcome).To(Equal(fault.NotRun))
	g.Expect(refusal.RetryIn).To(BeNumerically(">", 0))
	g.Expect(admission.Check(&Identity{Route: openRoute}, now)).To(Succeed())
	authenticator.SetTrusted(true)
	g.Expect(admission.Check(&identity, now)).To(Succeed())
}

func TestSpendUpToBurst(t *testing.T) {
	g := NewWithT(t)
	admission, _, now := newFullAdmission(t, 100, 40)
	identity := Identity{Route: testRoute, Account: buyers}
	for range 40 {
		g.Expect(admission.Spend(&identity, now)).To(Succeed())
	}
	refusal := fault.From(admission.Spend(&identity, now))
	g.Expect(refusal.Code).To(Equal(fault.OverLimit))
	g.Expect(refusal.Outcome).To(Equal(fault.NotRun))
	g.Expect(refusal.RetryIn).To(And(BeNumerically(">", 0), BeNumerically("<", maxRetry)))
	g.Expect(admission.Spend(&identity, now.Add(time.Second))).To(Succeed())
	g.Expect(admission.Spend(&Identity{Route: openRoute}, now)).To(Succeed())
	g.Expect(code(admission.Spend(&Identity{Route: testRoute, Account: "nobody"}, now))).To(Equal(fault.BadKey))
	g.Expect(code(admission.Spend(&identity, now.Add(DefaultLease)))).To(Equal(fault.OverLimit), "the lease has lapsed")
}

func TestRefund(t *testing.T) {
	g := NewWithT(t)
	b := newBucket(time.Hour, 8)
	second := int64(time.Second)
	b.end.Store(100 * second)
	b.open(8, 0)
	for range 8 {
		g.Expect(b.spend(second)).To(BeTrue())
	}
	g.Expect(b.refund(2*second)).To(BeFalse(), "the bucket was full a moment ago")
	for range 4 {
		g.Expect(b.refund(12 * second)).To(BeTrue())
	}
	g.Expect(b.refund(12*second)).To(BeFalse(), "half the burst was already refunded")
	g.Expect(b.level(12 * second)).To(Equal(int64(4)))
}

// Requests that spend while tokens are lent and settled concurrently never get
// more than the part holds.
func TestBucketUnderConcurrentLoans(t *testing.T) {
	g := NewWithT(t)
	const full, now = 3000, int64(time.Second)
	b := newBucket(time.Hour, full)
	b.end.Store(2 * now)
	b.open(full, now)
	var spent, spentByBorrowers atomic.Int64
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
			spentByBorrowers.Add(3)
			b.settleLoan(5, 2, now)
		}
	}
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(spent.Load() + spentByBorrowers.Load() + b.level(now)).To(BeNumerically("<=", full))
	g.Expect(b.limit.Load()).To(Equal(int64(full)))
}

// The bursts of the parts are whole tokens that sum to the account's burst, no
// part shrinks when the burst grows, and the parts gain at most the account's
// rate.
func TestDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := ident.Tokens(rapid.Int64Range(1, 1_000_000).Draw(t, "rate"))
		burst := ident.Tokens(rapid.Int64Range(1, 100_000).Draw(t, "burst"))
		d, more := newDivision(rate, burst), newDivision(rate, burst+1)
		sum := ident.Tokens(0)
		for i := range d.parts {
			sum += d.burstOf(i)
			if d.parts == more.parts && more.burstOf(i) < d.burstOf(i) {
				t.Fatalf("part %d shrinks when the burst grows", i)
			}
			if p := d.part(i); partsOf(p) != d.parts || indexOf(p) != i {
				t.Fatalf("part %d of %d has number %d", i, d.parts, p)
			}
		}
		if sum != burst {
			t.Fatalf("parts hold %d of %d", sum, burst)
		}
		if gained := int64(d.parts) * int64(time.Hour) / int64(d.interval()); gained > int64(rate)*3600 {
			t.Fatalf("parts gain %d per hour at a rate of %d per second", gained, rate)
		}
	})
}

func TestPlacementIsEven(t *testing.T) {
	g := NewWithT(t)
	live := []ident.Instance{"a", "b", "c", "d", "e", "f", "g"}
	p := newPlacement(buyers, 8, live, RankByHash)
	load := make(map[ident.Instance]int)
	for _, order := range p.preferred {
		g.Expect(order).To(ConsistOf(live))
		load[order[0]]++
	}
	for _, n := range load {
		g.Expect(n).To(BeNumerically("<=", 2))
	}
}

func BenchmarkCheckAndSpend(b *testing.B) {
	admission, _, now := newFullAdmission(b, 1_000_000_000, 100_000_000)
	identity := Identity{Route: testRoute, Account: buyers, KeyHash: envdoc.HashKey(testKey)}
	b.ReportAllocs()
	for b.Loop() {
		if admission.Check(&identity, now) != nil || admission.Spend(&identity, now) != nil {
			b.Fatal("refused")
		}
		now = now.Add(10 * time.Nanosecond)
	}
}

func BenchmarkCheckAndSpendParallel(b *testing.B) {
	admission, _, now := newFullAdmission(b, 1_000_000_000, 100_000_000)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		identity := Identity{Route: testRoute, Account: buyers, KeyHash: envdoc.HashKey(strings.Clone(testKey))}
		for p.Next() {
			_ = admission.Check(&identity, now)
			_ = admission.Spend(&identity, now)
		}
	})
}
