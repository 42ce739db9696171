package group

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var centres = []ident.DataCentre{"milano-a", "brescia-b", "verona-c"}

func drawView(t *rapid.T) *View {
	v := &View{Term: 2, Primary: rapid.IntRange(NoEndpoint, 2).Draw(t, "primary")}
	for i := range 3 {
		s := EndpointView{
			Endpoint:  envdoc.Endpoint{DataCentre: rapid.SampledFrom(centres).Draw(t, "centre"), Slots: 2},
			Status:    Status{Term: ident.Term(rapid.IntRange(1, 2).Draw(t, "term")), Role: ReplicaRole},
			SeenAt:    epoch.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "seen")) * time.Second),
			Reachable: rapid.Bool().Draw(t, "reachable"),
			Leaving:   rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		}
		s.Status.Last = ident.LogPosition{Term: s.Status.Term, Position: ident.Position(rapid.IntRange(0, 9).Draw(t, "last"))}
		s.Status.DataAge = time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond
		if i == v.Primary {
			s.Status.Role = PrimaryRole
		}
		v.Endpoints = append(v.Endpoints, s)
	}
	return v
}

// naive is a straightforward version of View.Choose: it returns the class and
// cost of the best allowed endpoint, where a lower class is better.
func naive(v *View, r Requirements, now time.Time) (class, cost int) {
	class, cost = 9, 0
	for i, s := range v.Endpoints {
		if s.Leaving || r.Avoid.Has(i) || r.Write && i != v.Primary {
			continue
		}
		c, k := 4, r.Load(i)
		if s.Endpoint.DataCentre != r.DataCentre {
			k += 2
		}
		age := s.Status.DataAge
		if old := now.Sub(s.SeenAt); old > 2*time.Second {
			age += old
		}
		switch {
		case i == v.Primary && (r.Write || s.Reachable):
			c, k = 2, 0
		case i == v.Primary:
			k = 0
		case !s.Reachable:
			continue
		case s.Status.Term == v.Term && s.Status.Last.Covers(r.Floor) && (r.MaxAge == 0 || age <= r.MaxAge):
			c = 1
		default:
			c = 3
		}
		if c < class || c == class && k < cost {
			class, cost = c, k
		}
	}
	return class, cost
}

func TestChooseMatchesNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		loads := rapid.SliceOfN(rapid.IntRange(0, 5), 3, 3).Draw(t, "loads")
		n := Requirements{
			Write:      rapid.Bool().Draw(t, "write"),
			Floor:      ident.LogPosition{Term: 2, Position: ident.Position(rapid.IntRange(0, 9).Draw(t, "floor"))},
			MaxAge:     time.Duration(rapid.IntRange(0, 2).Draw(t, "age")*100) * time.Millisecond,
			Avoid:      Mask(rapid.IntRange(0, 7).Draw(t, "avoid")),
			DataCentre: rapid.SampledFrom(centres).Draw(t, "near"),
			Load:       func(i int) int { return loads[i] },
			Rotation:   rapid.Uint32().Draw(t, "turn"),
		}
		c := v.Choose(n, epoch)
		class, cost := naive(v, n, epoch)
		g := NewWithT(t)
		if c.Index == NoEndpoint {
			g.Expect(class).To(Equal(9))
			return
		}
		only := n
		only.Avoid = ^Mask(0) &^ Mask(1<<c.Index)
		chosen, paid := naive(v, only, epoch)
		g.Expect([]int{chosen, paid}).To(Equal([]int{class, cost}))
		g.Expect(c.ExpectedFresh).To(Equal(class != 3))
		g.Expect(c.Role == PrimaryRole).To(Equal(c.Index == v.Primary))
	})
}

func TestChooseEstimatesReplicaProgress(t *testing.T) {
	g := NewWithT(t)
	m := func(p ident.Position) ident.LogPosition { return ident.LogPosition{Term: 2, Position: p} }
	v := &View{Term: 2, Primary: 0, PositionHistory: []PositionSample{{At: epoch, Position: m(5)}, {At: epoch.Add(50 * time.Millisecond), Position: m(9)}}}
	v.Endpoints = []EndpointView{
		{Reachable: true, SeenAt: epoch, Status: Status{Term: 2, Role: PrimaryRole}},
		{Reachable: true, SeenAt: epoch, Status: Status{Term: 2, Role: ReplicaRole, Last: m(3), DataAge: 40 * time.Millisecond}},
	}
	chosen := func(floor ident.Position, after time.Duration) int {
		return v.Choose(Requirements{Floor: m(floor)}, epoch.Add(after)).Index
	}
	g.Expect(chosen(3, 0)).To(Equal(1))
	g.Expect(chosen(5, 59*time.Millisecond)).To(Equal(0))
	g.Expect(chosen(5, 60*time.Millisecond)).To(Equal(1))
	g.Expect(chosen(9, 109*time.Millisecond)).To(Equal(0))
	g.Expect(chosen(9, 110*time.Millisecond)).To(Equal(1))
	g.Expect(chosen(10, time.Second)).To(Equal(0))
	g.Expect(chosen(9, 3*time.Second)).To(Equal(0))
}

func BenchmarkChoose(b *testing.B) {
	v := &View{Term: 2, Primary: 0}
	for i := range 3 {
		v.Endpoints = append(v.Endpoints, EndpointView{
			Endpoint: envdoc.Endpoint{DataCentre: centres[i], Slots: 2}, Reachable: true, SeenAt: epoch,
			Status: Status{Term: 2, Role: ReplicaRole, Last: ident.LogPosition{Term: 2, Position: 9}},
		})
	}
	loads := []int{1, 2, 3}
	n := Requirements{Floor: ident.LogPosition{Term: 2, Position: 5}, MaxAge: time.Second, DataCentre: centres[2], Load: func(i int) int { return loads[i] }}
	b.ReportAllocs()
	for b.Loop() {
		n.Rotation++
		if v.Choose(n, epoch).Index == NoEndpoint {
			b.Fatal("no choice")
		}
	}
}
