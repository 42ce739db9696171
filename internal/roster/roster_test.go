package roster

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// gathered returns the rosters of instances that all see each other.
func gathered(names ...ident.Instance) map[ident.Instance]*Roster {
	all := make(map[ident.Instance]*Roster)
	for _, n := range names {
		r := New(Member{Instance: n, DataCentre: ident.DataCentre(n[:1])})
		r.SetOwn(State{Serving: true})
		for _, o := range names {
			r.Learn(Member{Instance: o, DataCentre: ident.DataCentre(o[:1])})
			if o != n {
				r.Connected(o, true, false)
				r.Hear(o, State{Serving: true})
			}
		}
		all[n] = r
	}
	return all
}

func TestInstancesAgreeOnHomes(t *testing.T) {
	g := NewWithT(t)
	all := gathered("a1", "a2", "b1", "b2", "c1")
	for _, group := range []ident.Group{"g1", "g2", "g3"} {
		home := all["a1"].Home(group, "b")
		g.Expect(string(home)).To(HavePrefix("b"), "the home lies near the primary")
		for _, r := range all {
			g.Expect(r.Home(group, "b")).To(Equal(home))
		}
	}
}

func TestHomeMovesWhereItMust(t *testing.T) {
	g := NewWithT(t)
	r := gathered("a1", "b1", "b2")["a1"]
	first := r.Home("g", "b")
	g.Expect(r.Home("g", "b", first)).NotTo(Equal(first))
	r.Hear(first, State{Serving: true, Leaving: true})
	second := r.Home("g", "b")
	g.Expect(second).NotTo(Equal(first))
	r.Hear(second, State{Serving: true, Unfit: []ident.Group{"g"}})
	g.Expect(r.Home("g", "b")).To(Equal(ident.Instance("a1")), "one of another data centre is better than none")
	g.Expect(r.Home("h", "b")).To(Equal(second), "it is unfit for one group only")
	r.Connected("b1", false, true)
	r.Connected("b2", false, true)
	g.Expect(r.Home("g", "b")).To(Equal(ident.Instance("a1")))
}

func TestShareOfTheRate(t *testing.T) {
	g := NewWithT(t)
	r := gathered("a1", "a2", "b1", "b2", "c1")["a1"]
	g.Expect(r.Share()).To(Equal(1.0))
	for _, n := range []ident.Instance{"a2", "b1", "b2"} {
		r.Connected(n, false, true)
	}
	g.Expect(r.Share()).To(BeNumerically("<=", 0.2), "most may have a keeper of their own")
	for _, n := range []ident.Instance{"a2", "b1", "b2"} {
		r.Connected(n, false, false)
	}
	g.Expect(r.Share()).To(Equal(1.0), "processes that ended spend nothing")
}

func TestHomeFollowsAPrimaryThatStays(t *testing.T) {
	g := NewWithT(t)
	p := NewPlaces()
	now := time.Unix(1000, 0)
	g.Expect(p.Near(now, "g")).To(BeEmpty())
	p.See(now, "g", "a")
	g.Expect(p.Near(now, "g")).To(Equal(ident.DataCentre("a")))
	p.See(now, "g", "b")
	g.Expect(p.Near(now.Add(settleTime), "g")).To(Equal(ident.DataCentre("a")))
	g.Expect(p.Near(now.Add(settleTime+1), "g")).To(Equal(ident.DataCentre("b")))
}

// All work of a group passes through its home, so a weak instance holds none
// while a strong one is in the same data centre.
func TestHomesAreStrong(t *testing.T) {
	g := NewWithT(t)
	r := New(Member{Instance: "m1", DataCentre: "m", Capacity: 0.2})
	r.SetOwn(State{Serving: true})
	learn := func(n ident.Instance, dc ident.DataCentre, capacity float64) {
		r.Learn(Member{Instance: n, DataCentre: dc, Start: 1, Capacity: capacity})
		r.Connected(n, true, false)
		r.Hear(n, State{Serving: true})
	}
	for i := range 10 {
		learn(ident.Instance(fmt.Sprintf("m-weak-%d", i)), "m", 0.2)
	}
	learn("m-strong-1", "m", 0.8)
	learn("m-strong-2", "m", 0.7)
	learn("b-strong", "b", 0.8)
	homes := make(map[ident.Instance]int)
	for i := range 40 {
		homes[r.Home(ident.Group(fmt.Sprint(i)), "m")]++
	}
	g.Expect(homes).To(HaveLen(2))
	g.Expect(homes).To(And(HaveKey(ident.Instance("m-strong-1")), HaveKey(ident.Instance("m-strong-2"))))

	r.Connected("m-strong-1", false, false)
	r.Connected("m-strong-2", false, false)
	g.Expect(string(r.Home("1", "m"))).To(HavePrefix("m"), "a weak one near the primary goes before a strong one far from it")
}
