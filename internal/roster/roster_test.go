package roster

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// connectedRosters returns the rosters of instances that are all connected to
// each other.
func connectedRosters(names ...ident.Instance) map[ident.Instance]*Roster {
	all := make(map[ident.Instance]*Roster)
	for _, n := range names {
		r := New(Member{Instance: n, DataCentre: ident.DataCentre(n[:1])})
		r.SetSelf(State{Serving: true})
		for _, o := range names {
			r.Add(Member{Instance: o, DataCentre: ident.DataCentre(o[:1])})
			if o != n {
				r.SetConnected(o, true, false)
				r.SetState(o, State{Serving: true})
			}
		}
		all[n] = r
	}
	return all
}

func TestInstancesAgreeOnOwners(t *testing.T) {
	g := NewWithT(t)
	all := connectedRosters("a1", "a2", "b1", "b2", "c1")
	for _, group := range []ident.Group{"g1", "g2", "g3"} {
		owner := all["a1"].Owner(group, "b")
		g.Expect(string(owner)).To(HavePrefix("b"), "the owner is in the data centre of the primary")
		for _, r := range all {
			g.Expect(r.Owner(group, "b")).To(Equal(owner))
		}
	}
}

func TestOwnerMovesToEligibleInstance(t *testing.T) {
	g := NewWithT(t)
	r := connectedRosters("a1", "b1", "b2")["a1"]
	first := r.Owner("g", "b")
	g.Expect(r.Owner("g", "b", first)).NotTo(Equal(first))
	r.SetState(first, State{Serving: true, Leaving: true})
	second := r.Owner("g", "b")
	g.Expect(second).NotTo(Equal(first))
	r.SetState(second, State{Serving: true, UnreachableGroups: []ident.Group{"g"}})
	g.Expect(r.Owner("g", "b")).To(Equal(ident.Instance("a1")), "falls back to another data centre")
	g.Expect(r.Owner("h", "b")).To(Equal(second), "the primary of one group only is unreachable")
	r.SetConnected("b1", false, true)
	r.SetConnected("b2", false, true)
	g.Expect(r.Owner("g", "b")).To(Equal(ident.Instance("a1")))
}

func TestQuotaShare(t *testing.T) {
	g := NewWithT(t)
	r := connectedRosters("a1", "a2", "b1", "b2", "c1")["a1"]
	g.Expect(r.QuotaShare()).To(Equal(1.0))
	for _, n := range []ident.Instance{"a2", "b1", "b2"} {
		r.SetConnected(n, false, true)
	}
	g.Expect(r.QuotaShare()).To(BeNumerically("<=", 0.2), "the majority may have a second quota owner")
	for _, n := range []ident.Instance{"a2", "b1", "b2"} {
		r.SetConnected(n, false, false)
	}
	g.Expect(r.QuotaShare()).To(Equal(1.0), "stopped instances spend nothing")
}

func TestPreferredLocationFollowsPrimary(t *testing.T) {
	g := NewWithT(t)
	p := NewPreferredLocations()
	now := time.Unix(1000, 0)
	g.Expect(p.DataCentre(now, "g")).To(BeEmpty())
	p.Observe(now, "g", "a")
	g.Expect(p.DataCentre(now, "g")).To(Equal(ident.DataCentre("a")))
	p.Observe(now, "g", "b")
	g.Expect(p.DataCentre(now.Add(settleTime), "g")).To(Equal(ident.DataCentre("a")))
	g.Expect(p.DataCentre(now.Add(settleTime+1), "g")).To(Equal(ident.DataCentre("b")))
}

// All work of a group passes through its owner, so an instance with little
// capacity owns no group while one with more capacity is in the same data
// centre.
func TestOwnersHaveCapacity(t *testing.T) {
	g := NewWithT(t)
	r := New(Member{Instance: "m1", DataCentre: "m", Capacity: 0.2})
	r.SetSelf(State{Serving: true})
	add := func(n ident.Instance, dc ident.DataCentre, capacity float64) {
		r.Add(Member{Instance: n, DataCentre: dc, Start: 1, Capacity: capacity})
		r.SetConnected(n, true, false)
		r.SetState(n, State{Serving: true})
	}
	for i := range 10 {
		add(ident.Instance(fmt.Sprintf("m-weak-%d", i)), "m", 0.2)
	}
	add("m-strong-1", "m", 0.8)
	add("m-strong-2", "m", 0.7)
	add("b-strong", "b", 0.8)
	owners := make(map[ident.Instance]int)
	for i := range 40 {
		owners[r.Owner(ident.Group(fmt.Sprint(i)), "m")]++
	}
	g.Expect(owners).To(HaveLen(2))
	g.Expect(owners).To(And(HaveKey(ident.Instance("m-strong-1")), HaveKey(ident.Instance("m-strong-2"))))

	r.SetConnected("m-strong-1", false, false)
	r.SetConnected("m-strong-2", false, false)
	g.Expect(string(r.Owner("1", "m"))).To(HavePrefix("m"), "the data centre of the primary goes before capacity")
}
