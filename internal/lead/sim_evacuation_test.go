package lead

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// simEvacuations requests and withdraws evacuations at random. It has a source
// of random numbers of its own, so that the other faults of a seed stay the same.
type simEvacuations struct {
	random    *rand.Rand
	evacuated map[ident.Endpoint]bool
}

// inject changes the request for the data centre of a random server. Each
// instance learns of it immediately or with its next directory.
func (v *simEvacuations) inject(s *sim) {
	if v == nil || v.random.IntN(100) != 0 {
		return
	}
	id := simIDs[v.random.IntN(len(simIDs))]
	if v.random.IntN(3) == 0 {
		for _, e := range s.servers {
			if e.isPrimary {
				id = e.id
			}
		}
	}
	v.evacuated[id] = !v.evacuated[id]
	s.logf("evacuated %s: %v", id, v.evacuated[id])
	for i := range s.electors {
		if v.random.IntN(3) > 0 {
			s.publish(i)
		}
	}
}

// contains reports whether the data centre of a server is evacuated.
func (v *simEvacuations) contains(id ident.Endpoint) bool { return v != nil && v.evacuated[id] }

// TestEvacuationsLoseNoCommit requests and withdraws evacuations, of several
// data centres at once and during changes of the primary, among the other
// faults. It guards against a switch that drops an acknowledged commit.
func TestEvacuationsLoseNoCommit(t *testing.T) {
	assert.Fatal()
	for _, restart := range []bool{false, true} {
		switches, abandoned := 0, 0
		for seed := range uint64(simSeeds()) {
			s := newSim(t, seed)
			s.restartWhilePending = restart
			s.evacuations = &simEvacuations{random: rand.New(rand.NewPCG(seed, 11)), evacuated: map[ident.Endpoint]bool{}}
			s.run()
			text := strings.Join(s.log, "\n")
			switches += strings.Count(text, "its data centre is evacuated")
			abandoned += strings.Count(text, "the data centre of the successor is evacuated")
		}
		t.Logf("%d switches, %d of them abandoned", switches, abandoned)
		if switches < simSeeds() || abandoned == 0 {
			t.Fatalf("only %d switches and %d abandoned targets in %d runs", switches, abandoned, simSeeds())
		}
	}
}
