package store_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	operators = 12
	rounds    = 6
	// settled bounds how long a test waits for an event.
	settled = 5 * time.Second
)

// attempt is what one operator got out of one round.
type attempt struct {
	change ident.Change
	head   store.Head
	err    error
}

// run accepts until the outcome is known, each time with the same change.
func (a *attempt) run(ctx context.Context, p *store.Platform, base ident.Version, name string) {
	text := fmt.Appendf(nil, "text of %s", a.change)
	for ctx.Err() == nil {
		a.head, a.err = p.Documents.Accept(ctx, trial, base, author(string(a.change), name), text)
		if !errors.Is(a.err, store.ErrUnavailable) {
			return
		}
	}
}

// race lets every operator accept on the same base at once.
func race(ctx context.Context, p *store.Platform, base ident.Version) []attempt {
	attempts := make([]attempt, operators)
	var g errgroup.Group
	for i := range operators {
		attempts[i].change = ident.Change(fmt.Sprintf("%d-%d", base, i))
		g.Go(func() error {
			attempts[i].run(ctx, p, base, fmt.Sprint("operator ", i))
			return nil
		})
	}
	_ = g.Wait()
	return attempts
}

// expectOneWinner checks a round and returns the winner.
func expectOneWinner(g *WithT, attempts []attempt) store.Head {
	var winners []store.Head
	for _, a := range attempts {
		if a.err == nil {
			g.Expect(a.head.Change).To(Equal(a.change), "a win by the change of another")
			winners = append(winners, a.head)
			continue
		}
		g.Expect(a.err).To(MatchError(store.ErrConflict))
	}
	g.Expect(winners).To(HaveLen(1))
	for _, a := range attempts {
		g.Expect(a.head).To(Equal(winners[0]), "the loser sees the winner")
	}
	return winners[0]
}

func TestRacedOperatorsHaveOneWinner(t *testing.T) {
	for _, share := range []float64{0, 0.4} {
		t.Run(fmt.Sprintf("lost answers %.1f", share), func(t *testing.T) {
			g := NewWithT(t)
			s, p := open(t)
			s.SetFaults(plat.Faults{LoseProbability: share})
			for round := range rounds {
				winner := expectOneWinner(g, race(t.Context(), p, ident.Version(round)))
				g.Expect(winner.Version).To(Equal(ident.Version(round + 1)))
				g.Expect(p.Documents.Head(t.Context(), trial)).To(Equal(winner))
				g.Expect(p.Documents.Text(t.Context(), trial, winner.Version)).To(HaveSuffix(string(winner.Change)))
			}
			heads, err := p.Documents.History(t.Context(), trial, 2*rounds)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(versions(heads)).To(Equal([]ident.Version{6, 5, 4, 3, 2, 1}))
			g.Expect(s.Counters().Lost > 0).To(Equal(share > 0))
		})
	}
}

func TestOwnWriteIsRecognisedAfterALostAnswer(t *testing.T) {
	lease := store.Lease{Key: store.LeaseKey{Account: "shop"}, Holder: "p1", Epoch: 1, Renewal: 1}
	reign := store.TermRecord{Group: "orders", Term: 9, Primary: "o-1", PromotedBy: "p1"}
	member := store.Member{Instance: "p1", Start: 1, Renewal: 1}
	for _, c := range []struct {
		operation string
		write     func(ctx context.Context, p *store.Platform) error
	}{
		{"PutObject", acceptFirst},
		{"TransactWriteItems", acceptFirst},
		{"PutItem", func(ctx context.Context, p *store.Platform) error {
			return p.Leases.Swap(ctx, trial, store.Lease{}, lease)
		}},
		{"PutItem", func(ctx context.Context, p *store.Platform) error { return p.TermRecords.Record(ctx, trial, reign) }},
		{"PutItem", func(ctx context.Context, p *store.Platform) error { return p.Members.Put(ctx, trial, member) }},
	} {
		g := NewWithT(t)
		s, p := open(t)
		s.SetFaults(plat.Faults{LoseNext: 1, LoseOnly: c.operation})
		g.Expect(c.write(t.Context(), p)).To(Succeed())
		g.Expect(s.Counters().Lost).To(BeEquivalentTo(1))
	}
}

func acceptFirst(ctx context.Context, p *store.Platform) error {
	head, err := p.Documents.Accept(ctx, trial, 0, author("a", "anna"), []byte("one"))
	if err == nil && (head.Version != 1 || head.Change != "a") {
		return fmt.Errorf("accepted as %+v", head)
	}
	return err
}

// TestLostAnswersExhaustTheTries loses every answer: the outcome is unknown,
// and a repeat of the same change settles it.
func TestLostAnswersExhaustTheTries(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t, store.WithTries(2))
	s.SetFaults(plat.Faults{LoseProbability: 1, LoseOnly: "TransactWriteItems"})
	g.Expect(acceptFirst(t.Context(), p)).To(MatchError(store.ErrUnavailable))
	s.SetFaults(plat.Faults{})
	g.Expect(acceptFirst(t.Context(), p)).To(Succeed())
	g.Expect(p.Documents.History(t.Context(), trial, 10)).To(HaveLen(1))
}

// TestOutageIsBounded checks that no call waits longer than its tries.
func TestOutageIsBounded(t *testing.T) {
	const (
		tries      = 3
		tryTimeout = 50 * time.Millisecond
		trying     = (1 + 2 + 4) * tryTimeout
		waits      = 150 * time.Millisecond // both backoffs at their longest
		slack      = time.Second
	)
	for _, f := range []plat.Faults{
		{Outage: plat.Refuse, ListOutage: true},
		{Outage: plat.Silence, ListOutage: true},
		{Delay: envdoc.Duration(10 * tryTimeout), ListOutage: true},
	} {
		g := NewWithT(t)
		s, p := open(t, store.WithTries(tries), store.WithTryTimeout(tryTimeout))
		s.SetFaults(f)
		start := time.Now()
		var calls errgroup.Group
		for i, call := range everyCall(t.Context(), p) {
			calls.Go(func() error {
				if err := call(); !errors.Is(err, store.ErrUnavailable) {
					return fmt.Errorf("call %d gave %w", i, err)
				}
				return nil
			})
		}
		g.Expect(calls.Wait()).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("<", trying+waits+slack))
		s.SetFaults(plat.Faults{})
		g.Eventually(func() error { return acceptFirst(t.Context(), p) }).WithTimeout(settled).Should(Succeed())
	}
}

func everyCall(ctx context.Context, p *store.Platform) []func() error {
	return []func() error{
		func() error { return acceptFirst(ctx, p) },
		func() error { _, err := p.Documents.Head(ctx, trial); return err },
		func() error { _, err := p.Documents.Text(ctx, trial, 1); return err },
		func() error { _, err := p.Documents.History(ctx, trial, 1); return err },
		func() error { return p.Leases.Swap(ctx, trial, store.Lease{}, store.Lease{Epoch: 1}) },
		func() error { _, err := p.Leases.All(ctx, trial); return err },
		func() error { return p.Members.Put(ctx, trial, store.Member{Instance: "p1"}) },
		func() error { return p.Members.Delete(ctx, trial, "p1") },
		func() error { return p.TermRecords.Record(ctx, trial, store.TermRecord{Group: "orders"}) },
		func() error { _, err := p.Directory.List(ctx); return err },
	}
}

// TestSlowStoreIsNoOutage lets every answer take longer than the longest wait
// for a try.
func TestSlowStoreIsNoOutage(t *testing.T) {
	const tryTimeout = 100 * time.Millisecond
	g := NewWithT(t)
	s, p := open(t, store.WithTryTimeout(tryTimeout))
	s.SetFaults(plat.Faults{Delay: envdoc.Duration(5 * tryTimeout)})
	lease := store.Lease{Key: store.LeaseKey{Account: "shop"}, Holder: "p1", Epoch: 1}
	var calls errgroup.Group
	calls.Go(func() error { return acceptFirst(t.Context(), p) })
	calls.Go(func() error { return p.Leases.Swap(t.Context(), trial, store.Lease{}, lease) })
	calls.Go(func() error {
		return p.TermRecords.Record(t.Context(), trial, store.TermRecord{Group: "orders", Term: 1})
	})
	g.Expect(calls.Wait()).To(Succeed())
	g.Expect(p.Leases.All(t.Context(), trial)).To(ConsistOf(lease))
}

func TestEndedContextEndsACall(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t)
	s.SetFaults(plat.Faults{Outage: plat.Silence})
	ctx, cancel := context.WithCancel(t.Context())
	var call errgroup.Group
	call.Go(func() error { return acceptFirst(ctx, p) })
	g.Eventually(func() uint64 { return s.Counters().Refused }).WithTimeout(settled).Should(BeNumerically(">", 0))
	cancel()
	g.Expect(call.Wait()).To(And(MatchError(store.ErrUnavailable), MatchError(context.Canceled)))
}

// TestLateWriteIsRecognised lets a write take effect after its author gave up.
func TestLateWriteIsRecognised(t *testing.T) {
	const tryTimeout = 100 * time.Millisecond
	g := NewWithT(t)
	s, p := open(t, store.WithTries(1), store.WithTryTimeout(tryTimeout))
	old := store.Lease{Key: store.LeaseKey{Account: "shop"}, Epoch: 1}
	fresh := old
	fresh.Holder, fresh.Epoch = "p1", 2
	g.Expect(p.Leases.Swap(t.Context(), trial, store.Lease{}, old)).To(Succeed())

	s.SetFaults(plat.Faults{Delay: envdoc.Duration(3 * tryTimeout)})
	g.Expect(p.Leases.Swap(t.Context(), trial, old, fresh)).To(MatchError(store.ErrUnavailable))
	s.SetFaults(plat.Faults{})
	g.Eventually(func() uint64 { return s.Counters().Writes }).WithTimeout(settled).Should(BeEquivalentTo(2))
	g.Expect(p.Leases.Swap(t.Context(), trial, old, fresh)).To(Succeed())
	g.Expect(p.Leases.All(t.Context(), trial)).To(ConsistOf(fresh))
}

func TestDamagedTextIsRefused(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t)
	g.Expect(acceptFirst(t.Context(), p)).To(Succeed())
	s.Damage()
	_, err := p.Documents.Text(t.Context(), trial, 1)
	g.Expect(err).To(MatchError(store.ErrDamaged))
}
