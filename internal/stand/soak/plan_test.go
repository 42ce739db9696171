package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var demoShape = Shape{Groups: 3, Servers: 3, Proxies: 3, Accounts: 3}

func TestPlanIsDeterministicForASeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewPlan(7, demoShape, time.Minute)).To(Equal(NewPlan(7, demoShape, time.Minute)))
	g.Expect(NewPlan(7, demoShape, time.Minute)).NotTo(Equal(NewPlan(8, demoShape, time.Minute)))
}

func TestLongPlanHasEveryKindOverlapsAndRepeats(t *testing.T) {
	g := NewWithT(t)
	plan := NewPlan(1, demoShape, 5*time.Minute)
	seen := map[Kind]bool{}
	together, twice := 0, 0
	for n, f := range plan {
		seen[f.Kind] = true
		if n > 0 && f.At < plan[n-1].At+plan[n-1].Length {
			together++
		}
		for _, o := range plan[:n] {
			if o.Kind == f.Kind && o.Group == f.Group && o.Server == f.Server && o.Proxy == f.Proxy && f.At-o.At < 20*time.Second {
				twice++
				break
			}
		}
	}
	for _, k := range Kinds {
		g.Expect(seen).To(HaveKey(k))
	}
	g.Expect(together).To(BeNumerically(">", 0))
	g.Expect(twice).To(BeNumerically(">", 0))
}

// TestPlanRespectsLimits checks the limits that the stand-ins rely on: one
// proxy is always up, kills in one group are spaced, and no fault outlasts the
// run.
func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const length = 3 * time.Minute
		plan := NewPlan(rapid.Uint64().Draw(t, "seed"), demoShape, length)
		for n, f := range plan {
			g.Expect(f.At).To(BeNumerically(">=", quietStart))
			g.Expect(f.At + f.Length).To(BeNumerically("<=", length-quietEnd))
			down := map[int]bool{}
			for m, o := range plan {
				if m != n && f.Kind == KillEndpoint && o.Kind == KillEndpoint && o.Group == f.Group {
					g.Expect((f.At - o.At).Abs()).To(BeNumerically(">=", killSpacing))
				}
				if f.onProxy() && o.onProxy() && o.At <= f.At && f.At < o.At+o.Length+restartTime {
					down[o.Proxy] = true
				}
			}
			g.Expect(len(down)).To(BeNumerically("<", demoShape.Proxies))
		}
	})
}
