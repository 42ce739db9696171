package lead

import (
	"strings"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
)

// TestSwitchFromFailingPrimaryLosesNoCommit replaces a primary that fails most
// calls during the random faults of the simulation. The switch must not drop a
// commit that the primary acknowledged in the meantime.
func TestSwitchFromFailingPrimaryLosesNoCommit(t *testing.T) {
	assert.Fatal()
	switches := 0
	for seed := range uint64(simSeeds()) {
		s := newSim(t, seed)
		s.callsFail = true
		s.run()
		switches += strings.Count(strings.Join(s.log, "\n"), "it fails most calls")
	}
	if switches < simSeeds()/4 {
		t.Fatalf("only %d switches in %d runs", switches, simSeeds())
	}
}
