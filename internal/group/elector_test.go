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
	faultTime  = 12 * time.Second
	settleTime = 9 * time.Second
	maxGap     = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	assert.Fatal()
	m.Run()
}

// randomRun runs one seed and returns the first violation, or an empty string.
func randomRun(seed uint64, disable func(*safeguards)) string {
	s := newSim(seed, 3+2*int(seed%5/4), 4, disable) // every fifth seed has 5 servers
	s.runUntil(epoch.Add(2 * time.Second))
	s.lossy, s.silentCrashes = seed%2 == 0, seed%3 == 0
	for end := s.now.Add(faultTime); s.now.Before(end) && s.violation == ""; {
		s.fault()
		if s.rng.IntN(4) == 0 { // instances that disagree about their rank
			p := s.proxies[s.rng.IntN(len(s.proxies))]
			s.schedule(&p.host, 0, func() { p.update(RankChanged{Rank: s.rng.IntN(3), Total: 4}) })
		}
		if s.rng.IntN(4) == 0 { // instances that disagree about which endpoint is leaving
			p, n := s.proxies[s.rng.IntN(len(s.proxies))], s.servers[s.rng.IntN(len(s.servers))]
			s.schedule(&p.host, 0, func() { p.update(LeavingChanged{Endpoints: []ident.Endpoint{ident.Endpoint(n.name)}}) })
		}
		s.runUntil(s.now.Add(time.Duration(s.rng.Int64N(int64(time.Second)))))
	}
	s.lossy = false
	for _, p := range s.proxies {
		s.schedule(&p.host, 0, func() { p.update(LeavingChanged{}) })
	}
	s.runUntil(s.now.Add(2550*time.Millisecond + settleTime))
	if s.violation != "" {
		return s.violation
	}
	if missing := s.unsettled(); missing != "" {
		return "not settled: " + missing
	}
	acked := len(s.acked)
	s.runUntil(s.now.Add(500 * time.Millisecond))
	if len(s.acked) == acked {
		return "no write is acknowledged after the faults"
	}
	return s.violation
}

func TestRandomFaultsLoseNoWrite(t *testing.T) {
	for seed := range uint64(*simSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			NewWithT(t).Expect(randomRun(seed, nil)).To(BeEmpty())
		})
	}
}

// TestSafeguardsAreNeeded checks that the random runs detect a violation when
// one of these safeguards is off. The scripts in testdata do so for the others.
func TestSafeguardsAreNeeded(t *testing.T) {
	for _, name := range []string{"sealMajority", "mostAdvanced", "repointReplicas"} {
		t.Run(name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); found == "" && seed < uint64(*simSeeds); seed++ {
				found = randomRun(seed, disableSafeguard[name])
			}
			NewWithT(t).Expect(found).NotTo(BeEmpty())
			t.Log(found)
		})
	}
}
