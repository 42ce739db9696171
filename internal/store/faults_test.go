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
	// eventTimeout limits how long a test waits for an event.
	eventTimeout = 5 * time.Second
)

// attempt is the result of one operator in one round.
type attempt struct {
	change ident.Change
	head   store.Head
	err    error
}

// accept repeats the call with the same change until its outcome is known.
func (a *attempt) accept(ctx context.Context, p *store.Platform, base ident.Version, name string) {
	text := fmt.Appendf(nil, "text of %s", a.change)
	for ctx.Err() == nil {
		a.head, a.err = p.Documents.Accept(ctx, trial, base, headBy(string(a.change), name), text)
		if !errors.Is(a.err, store.ErrUnavailable) {
			return
		}
	}
}

// race makes every operator accept a document on the same base concurrently.
func race(ctx context.Context, p *store.Platform, base ident.Version) []attempt {
	attempts := make([]attempt, operators)
	var g errgroup.Group
	for i := range operators {
		attempts[i].change = ident.Change(fmt.Sprintf("%d-%d", base, i))
		g.Go(func() error {
			attempts[i].accept(ctx, p, base, fmt.Sprint("operator ", i))
			return nil
		})
	}
	_ = g.Wait()
	return attempts
}

// expectOneWinner checks that exactly one attempt succeeded and returns its
// head.
func expectOneWinner(g *WithT, attempts []attempt) store.Head {
	var winners []store.Head
	for _, a := range attempts {
		if a.err == nil {
			g.Expect(a.head.Change).To(Equal(a.change), "the stored change must be the caller's own")
			winners = append(winners, a.head)
			continue
		}
		g.Expect(a.err).To(MatchError(store.ErrConflict))
	}
	g.Expect(winners).To(HaveLen(1))
	for _, a := range attempts {
		g.Expect(a.head).To(Equal(winners[0]), "losers must get the winner's head")
	}
	return winners[0]
}

func TestConcurrentAcceptsHaveOneWinner(t *testing.T) {
	for _, loseProbability := range []float64{0, 0.4} {
		t.Run(fmt.Sprintf("lost answers %.1f", loseProbability), func(t *testing.T) {
			g := NewWithT(t)
			s, p := open(t)
			s.SetFaults(plat.Faults{LoseProbability: loseProbability})
			for round := range rounds {
				winner := expectOneWinner(g, race(t.Context(), p, ident.Version(round)))
				g.Expect(winner.Version).To(Equal(ident.Version(round + 1)))
				g.Expect(p.Documents.Head(t.Context(), trial)).To(Equal(winner))
				g.Expect(p.Documents.Text(t.Context(), trial, winner.Version)).To(HaveSuffix(string(winner.Change)))
			}
			heads, err := p.Documents.History(t.Context(), trial, 2*rounds)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(versions(heads)).To(Equal([]ident.Version{6, 5, 4, 3, 2, 1}))
			g.Expect(s.Counters().Lost > 0).To(Equal(loseProbability > 0))
		})
	}
}

func TestOwnWriteIsRecognisedAfterALostAnswer(t *testing.T) {
	lease := store.Lease{Key: store.LeaseKey{Account: "shop"}, Holder: "p1", Epoch: 1, Renewal: 1}
	record := store.TermRecord{Group: "orders", Term: 9, Primary: "o-1", PromotedBy: "p1"}
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
		{"PutItem", func(ctx context.Context, p *store.Platform) error { return p.TermRecords.Record(ctx, trial, record) }},
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
	head, err := p.Documents.Accept(ctx, trial, 0, headBy("a", "anna"), []byte("one"))
	if err == nil && (head.Version != 1 || head.Change != "a") {
		return fmt.Errorf("accepted as %+v", head)
	}
	return err
}

// TestLostAnswersExhaustTheAttempts loses every answer. The outcome of the
// write is unknown then, and repeating the same change finds it out.
func TestLostAnswersExhaustTheAttempts(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t, store.WithAttempts(2))
	s.SetFaults(plat.Faults{LoseProbability: 1, LoseOnly: "TransactWriteItems"})
	g.Expect(acceptFirst(t.Context(), p)).To(MatchError(store.ErrUnavailable))
	s.SetFaults(plat.Faults{})
	g.Expect(acceptFirst(t.Context(), p)).To(Succeed())
	g.Expect(p.Documents.History(t.Context(), trial, 10)).To(HaveLen(1))
}

// TestOutageIsBounded checks that no call takes longer than all its attempts
// and backoffs together.
func TestOutageIsBounded(t *testing.T) {
	const (
		attempts       = 3
		attemptTimeout = 50 * time.Millisecond
		attemptTime    = (1 + 2 + 4) * attemptTimeout
		backoffTime    = 150 * time.Millisecond // both backoffs at their maximum
		slack          = time.Second
	)
	for _, f := range []plat.Faults{
		{Outage: plat.Refuse, ListOutage: true},
		{Outage: plat.Hang, ListOutage: true},
		{Delay: envdoc.Duration(10 * attemptTimeout), ListOutage: true},
	} {
		g := NewWithT(t)
		s, p := open(t, store.WithAttempts(attempts), store.WithAttemptTimeout(attemptTimeout))
		s.SetFaults(f)
		start := time.Now()
		var calls errgroup.Group
		for i, call := range allCalls(t.Context(), p) {
			calls.Go(func() error {
				if err := call(); !errors.Is(err, store.ErrUnavailable) {
					return fmt.Errorf("call %d returned %w", i, err)
				}
				return nil
			})
		}
		g.Expect(calls.Wait()).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("<", attemptTime+backoffTime+slack))
		s.SetFaults(plat.Faults{})
		g.Eventually(func() error { return acceptFirst(t.Context(), p) }).WithTimeout(eventTimeout).Should(Succeed())
	}
}

func allCalls(ctx context.Context, p *store.Platform) []func() error {
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

// TestSlowStoreIsNotAnOutage delays every answer beyond the timeout of the last
// attempt. The calls still succeed.
func TestSlowStoreIsNotAnOutage(t *testing.T) {
	const attemptTimeout = 100 * time.Millisecond
	g := NewWithT(t)
	s, p := open(t, store.WithAttemptTimeout(attemptTimeout))
	s.SetFaults(plat.Faults{Delay: envdoc.Duration(5 * attemptTimeout)})
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

func TestCancelledContextEndsCall(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t)
	s.SetFaults(plat.Faults{Outage: plat.Hang})
	ctx, cancel := context.WithCancel(t.Context())
	var call errgroup.Group
	call.Go(func() error { return acceptFirst(ctx, p) })
	g.Eventually(func() uint64 { return s.Counters().Refused }).WithTimeout(eventTimeout).Should(BeNumerically(">", 0))
	cancel()
	g.Expect(call.Wait()).To(And(MatchError(store.ErrUnavailable), MatchError(context.Canceled)))
}

// TestLateWriteIsRecognised checks that a write that takes effect after its
// author gave up is recognised when the author repeats it.
func TestLateWriteIsRecognised(t *testing.T) {
	const attemptTimeout = 100 * time.Millisecond
	g := NewWithT(t)
	s, p := open(t, store.WithAttempts(1), store.WithAttemptTimeout(attemptTimeout))
	old := store.Lease{Key: store.LeaseKey{Account: "shop"}, Epoch: 1}
	updated := old
	updated.Holder, updated.Epoch = "p1", 2
	g.Expect(p.Leases.Swap(t.Context(), trial, store.Lease{}, old)).To(Succeed())

	s.SetFaults(plat.Faults{Delay: envdoc.Duration(3 * attemptTimeout)})
	g.Expect(p.Leases.Swap(t.Context(), trial, old, updated)).To(MatchError(store.ErrUnavailable))
	s.SetFaults(plat.Faults{})
	g.Eventually(func() uint64 { return s.Counters().Writes }).WithTimeout(eventTimeout).Should(BeEquivalentTo(2))
	g.Expect(p.Leases.Swap(t.Context(), trial, old, updated)).To(Succeed())
	g.Expect(p.Leases.All(t.Context(), trial)).To(ConsistOf(updated))
}

func TestDamagedTextIsRefused(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t)
	g.Expect(acceptFirst(t.Context(), p)).To(Succeed())
	s.CorruptObjects()
	_, err := p.Documents.Text(t.Context(), trial, 1)
	g.Expect(err).To(MatchError(store.ErrDamaged))
}
