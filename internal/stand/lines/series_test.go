package lines_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/lines"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TestSeries checks that series strike instances again shortly after their start, one,
// several and all of them, that each fault ends, and that a server starts empty only
// while nothing else happens to its group.
func TestSeries(t *testing.T) {
	g := NewWithT(t)
	const length = time.Minute
	groups := []*emul.Group{emul.NewGroup(named("g1")), emul.NewGroup(named("g2"))}
	kinds, together, quick, frozen := map[string]int{}, 0, 0, 0
	for seed := range uint64(40) {
		plan := lines.NewSeries(seed, groups, 3, length)
		g.Expect(lines.NewSeries(seed, groups, 3, length)).To(Equal(plan))
		struck, stopped := map[ident.Instance]time.Duration{}, map[ident.Instance]time.Duration{}
		for i, f := range plan {
			kinds[f.Kind]++
			g.Expect(lines.ParseFault(f.String())).To(HaveField("Kind", f.Kind))
			g.Expect(f.Kind).NotTo(Equal("evacuate"))
			if f.Instance != "" && f.Kind != "thaw" {
				if at, ok := struck[f.Instance]; ok && f.At-at < 4*time.Second {
					quick++
				}
				struck[f.Instance] = f.At
				if since(struck, f.At) == 3 {
					together++
				}
			}
			if at, ok := stopped[f.Instance]; ok && f.Kind == "freeze" && f.At < at+grace {
				frozen++
			}
			if f.Kind == "stop" {
				stopped[f.Instance] = f.At
			}
			if f.Kind == "wipe" {
				expectQuiet(g, plan, i)
			}
		}
	}
	g.Expect(kinds["freeze"]).To(Equal(kinds["thaw"]))
	for _, k := range []string{"kill", "freeze", "stop", "lapse", "copy", "return", "wipe", "crash", "fail", "storedown", "storeup"} {
		g.Expect(kinds).To(HaveKey(k))
	}
	g.Expect(quick).To(BeNumerically(">", 200))
	g.Expect(frozen).To(BeZero(), "an instance that is frozen while it stops can't end in time")
	g.Expect(together).To(BeNumerically(">", 50))
	for _, f := range lines.NewSeries(1, groups, 0, length) {
		g.Expect(f.Instance).To(BeEmpty())
	}
}

// expectQuiet checks that other servers of the group of the fault with index i have no
// fault at about that time.
func expectQuiet(g Gomega, plan []lines.Fault, i int) {
	wipe := plan[i]
	for _, f := range plan {
		near := f.At > wipe.At-5*time.Second && f.At < wipe.At+5*time.Second
		if f.Server != "" && f.Server[:2] == wipe.Server[:2] && f.Server != wipe.Server {
			g.Expect(near).To(BeFalse(), "%s near %s", f, wipe)
		}
	}
}
