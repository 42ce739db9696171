package group

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var simSeeds = flag.Int("sim.seeds", 60, "how many seeds the failover simulation runs")

const (
	faultTime   = 12 * time.Second
	settleBound = 9 * time.Second
	gapBound    = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	assert.Fatal()
	m.Run()
}

// randomRun returns what went wrong in one seeded run, or nothing.
func randomRun(seed uint64, off func(*rules)) string {
	s := newSim(seed, 3+2*int(seed%5/4), 4, off) // every fifth group has 5 servers
	s.runUntil(epoch.Add(2 * time.Second))
	s.lossy, s.silentDeaths = seed%2 == 0, seed%3 == 0
	for end := s.now.Add(faultTime); s.now.Before(end) && s.broken == ""; {
		s.fault()
		if s.rng.IntN(4) == 0 { // instances that disagree about their rank
			p := s.proxies[s.rng.IntN(len(s.proxies))]
			s.on(&p.host, 0, func() { p.update(RankChanged{Place: s.rng.IntN(3), Of: 4}) })
		}
		if s.rng.IntN(4) == 0 { // instances that disagree about who leaves
			p, n := s.proxies[s.rng.IntN(len(s.proxies))], s.servers[s.rng.IntN(len(s.servers))]
			s.on(&p.host, 0, func() { p.update(LeavingChanged{Endpoints: []ident.Endpoint{ident.Endpoint(n.name)}}) })
		}
		s.runUntil(s.now.Add(time.Duration(s.rng.Int64N(int64(time.Second)))))
	}
	s.lossy = false
	for _, p := range s.proxies {
		s.on(&p.host, 0, func() { p.update(LeavingChanged{}) })
	}
	s.runUntil(s.now.Add(2550*time.Millisecond + settleBound))
	if s.broken != "" {
		return s.broken
	}
	if lack := s.settled(); lack != "" {
		return "not settled: " + lack
	}
	acked := len(s.acked)
	s.runUntil(s.now.Add(500 * time.Millisecond))
	if len(s.acked) == acked {
		return "no write is acknowledged any more"
	}
	return s.broken
}

func TestRandomFaultsLoseNothing(t *testing.T) {
	for seed := range uint64(*simSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			NewWithT(t).Expect(randomRun(seed, nil)).To(BeEmpty())
		})
	}
}

// TestSafeguardsAreNeeded shows that the runs notice each missing safeguard.
// The scripts show it for those that no random fault isolates.
func TestSafeguardsAreNeeded(t *testing.T) {
	for _, name := range []string{"sealMajority", "mostAdvanced", "guideFollowers"} {
		t.Run(name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); found == "" && seed < uint64(*simSeeds); seed++ {
				found = randomRun(seed, switches[name])
			}
			NewWithT(t).Expect(found).NotTo(BeEmpty())
			t.Log(found)
		})
	}
}
