package lines_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/lines"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// spreadGroup is a group with a server in each of three data centres.
func spreadGroup() emul.GroupConfig {
	c := smallGroup
	c.DataCentres = []ident.DataCentre{"z1", "z2", "z3"}
	c.ColdRate, c.ColdTime = 20, 2*time.Second
	return c
}

// The data centre of the primaries is evacuated for longer than the time limit,
// under load. No statement may reach it late, and no write may be lost.
func TestGuaranteesDuringEvacuation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r, lost := trial{group: spreadGroup(), duration: 10 * time.Second, faults: []lines.Fault{
		{At: 2 * time.Second, Kind: "evacuate", DataCentre: "z1"},
		{At: 8500 * time.Millisecond, Kind: "withdraw", DataCentre: "z1"},
	}}.run(t)
	g.Expect(r.Violations()).To(BeZero())
	g.Expect(lost).To(BeZero())
	g.Expect(r.Answered).To(BeNumerically(">", 600))
}

// Evacuations don't change the other faults of a seed. Each is withdrawn, and none
// is requested while the store is unavailable.
func TestPlanEvacuations(t *testing.T) {
	g := NewWithT(t)
	const length = 2 * time.Minute
	plain := []*emul.Group{emul.NewGroup(named("g1"))}
	config := spreadGroup()
	config.Name = "g1"
	spread := []*emul.Group{emul.NewGroup(config)}
	requests := 0
	for seed := range uint64(20) {
		var others []lines.Fault
		inForce, storeDown := map[ident.DataCentre]bool{}, false
		for _, f := range lines.NewPlan(seed, spread, 3, length) {
			g.Expect(lines.ParseFault(f.String())).To(HaveField("DataCentre", f.DataCentre))
			switch f.Kind {
			case "evacuate":
				requests++
				g.Expect(storeDown).To(BeFalse(), "seed %d, %s", seed, f)
				g.Expect(inForce).NotTo(HaveKey(f.DataCentre))
				inForce[f.DataCentre] = true
				g.Expect(len(inForce)).To(BeNumerically("<", 3), "a data centre stays")
			case "withdraw":
				delete(inForce, f.DataCentre)
			default:
				others = append(others, f)
				storeDown = (storeDown || f.Kind == "storedown") && f.Kind != "storeup"
			}
		}
		g.Expect(inForce).To(BeEmpty(), "every request is withdrawn")
		g.Expect(others).To(Equal(lines.NewPlan(seed, plain, 3, length)))
	}
	g.Expect(requests).To(BeNumerically(">", 40))
}
