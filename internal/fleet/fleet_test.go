package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// withFleet runs f in virtual time with three instances that have version 1 in
// force.
func withFleet(t *testing.T, f func(g *WithT, p *platform, a, b, c *instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPlatform()
		p.accept("one")
		a, b, c := p.join("a", 1), p.join("b", 1), p.join("c", 1)
		time.Sleep(propagationBound)
		for _, i := range []*instance{a, b, c} {
			g.Expect(i.Version()).To(Equal(ident.Version(1)))
			g.Expect(i.Ready(time.Now())).To(BeTrue())
			g.Expect(i.Live()).To(Equal([]ident.Instance{"a", "b", "c"}))
		}
		f(g, p, a, b, c)
		p.restore()
		for _, i := range []*instance{a, b, c} {
			g.Expect(i.Close()).To(Succeed())
			g.Expect(i.Trusted(time.Now())).To(BeFalse())
		}
	})
}

func TestFleetPropagatesToInstancesWithoutStore(t *testing.T) {
	withFleet(t, func(g *WithT, p *platform, a, b, c *instance) {
		p.cutStore("a", "b")
		g.Expect(c.Prepare(context.Background(), 2)).To(Succeed())
		p.accept("two")
		c.Refresh()
		time.Sleep(propagationBound)
		for _, i := range []*instance{a, b, c} {
			g.Expect(i.appliedVersions()).To(Equal([]ident.Version{1, 2}))
			g.Expect(i.Trusted(time.Now())).To(BeTrue())
			applied := i.records(DocumentApplied)[1]
			g.Expect(applied.Cause).To(Equal(i.records(DocumentSeen)[1].Ref))
		}
		g.Expect([]event.Ref{b.records(DocumentApplied)[1].Ref, c.records(DocumentApplied)[1].Ref}).To(
			ContainElement(a.records(DocumentSeen)[1].Cause), "the peer's record is the cause")
		g.Expect(b.Versions()).To(Equal([]InstanceVersion{
			{Instance: "a", Version: 2, Connected: true},
			{Instance: "b", Version: 2, Connected: true},
			{Instance: "c", Version: 2, Connected: true},
		}))
	})
}

func TestFleetServesThroughStoreOutage(t *testing.T) {
	withFleet(t, func(g *WithT, p *platform, a, b, c *instance) {
		time.Sleep(DefaultBounds().Announce) // until the instances have settled
		p.cutStore("a", "b", "c")
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, i := range []*instance{a, b, c} {
				g.Expect(i.Trusted(time.Now())).To(BeTrue())
			}
		}
		g.Expect(a.Live()).To(HaveLen(3))
		g.Expect(a.records(EvidenceLost)).To(BeEmpty())

		p.cutStore("d")
		d := p.join("d", 1) // cannot read the member rows
		time.Sleep(propagationBound)
		g.Expect(d.Version()).To(Equal(ident.Version(1)))
		g.Expect(d.Ready(time.Now())).To(BeFalse())
		g.Expect(p.leave(d)).NotTo(Succeed(), "the row can't be deleted")
	})
}

func TestFleetIsNotTrustedWhenIsolated(t *testing.T) {
	withFleet(t, func(g *WithT, p *platform, a, b, c *instance) {
		p.cutStore("a")
		p.locked(func() { p.peersCut["a"] = true })
		time.Sleep(DefaultBounds().Evidence)
		g.Expect(a.Trusted(time.Now())).To(BeFalse())
		g.Expect(errors.Is(a.Prepare(context.Background(), 2), ErrNotAnnounced)).To(BeTrue())
		g.Expect(b.Trusted(time.Now())).To(BeTrue())
		g.Expect(b.Prepare(context.Background(), 2)).To(Succeed())

		p.restore()
		time.Sleep(propagationBound)
		g.Expect(a.Trusted(time.Now())).To(BeTrue())
		lost, regained := a.records(EvidenceLost), a.records(EvidenceRegained)
		g.Expect(regained[len(regained)-1].Cause).To(Equal(lost[len(lost)-1].Ref))
	})
}

func TestFleetIsNotTrustedOnOldEvidence(t *testing.T) {
	withFleet(t, func(g *WithT, _ *platform, a, _, _ *instance) {
		// A paused process may call Trusted for its first request after it
		// resumes, before its loop has run.
		g.Expect(a.Trusted(time.Now().Add(DefaultBounds().Evidence))).To(BeFalse())
	})
}

func TestFleetKeepsVersionWhenNextIsRefused(t *testing.T) {
	withFleet(t, func(g *WithT, p *platform, a, b, c *instance) {
		p.accept("-two")
		time.Sleep(propagationBound)
		for _, i := range []*instance{a, b, c} {
			g.Expect(i.Version()).To(Equal(ident.Version(1)))
			g.Expect(i.records(DocumentRefused)).To(HaveLen(1))
			g.Expect(i.Trusted(time.Now())).To(BeTrue())
		}
		p.accept("three")
		time.Sleep(propagationBound)
		g.Expect(a.appliedVersions()).To(Equal([]ident.Version{1, 3}))
	})
}

func TestFleetNewInstanceIsNotReadyWithoutDocument(t *testing.T) {
	withFleet(t, func(g *WithT, p *platform, a, _, _ *instance) {
		p.locked(func() { p.documentsCut["d"], p.peersCut["d"] = true, true })
		d := p.join("d", 1)
		time.Sleep(propagationBound)
		g.Expect(d.Ready(time.Now())).To(BeFalse())
		p.locked(func() { delete(p.peersCut, "d") })
		time.Sleep(propagationBound)
		g.Expect(d.Ready(time.Now())).To(BeTrue(), "learns from peers")
		g.Expect(a.Live()).To(HaveLen(4))

		g.Expect(p.leave(d)).To(Succeed())
		time.Sleep(tickInterval)
		g.Expect(a.Live()).To(HaveLen(3), "a leaving peer is removed from the live list at once")
	})
}

func TestFleetOverSockets(t *testing.T) {
	g := NewWithT(t)
	p := newPlatform()
	var all []*instance
	for _, n := range []ident.Instance{"a", "b", "c"} {
		all = append(all, joinMesh(t, p, n))
	}
	inForce := func(v ident.Version) func() bool {
		return func() bool {
			for _, i := range all {
				if i.Version() != v || !i.Ready(time.Now()) || len(i.Live()) != len(all) {
					return false
				}
			}
			return true
		}
	}
	p.accept("one")
	g.Eventually(inForce(1), propagationBound).Should(BeTrue())
	g.Expect(all[0].Prepare(context.Background(), 2)).To(Succeed())
	startedAt := time.Now()
	p.accept("two")
	all[0].Refresh()
	g.Eventually(inForce(2), propagationBound).Should(BeTrue())
	t.Logf("in force on all after %v", time.Since(startedAt))
}
