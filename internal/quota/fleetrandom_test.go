package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// randomSeeds is the number of random cases.
const randomSeeds = uint64(60)

// randomCase returns a random load with random faults.
func randomCase(seed uint64) (c fleetCase, faults bool) {
	random := rand.New(rand.NewPCG(seed, 11))
	pick := func(from ...float64) float64 { return from[random.IntN(len(from))] }
	moment := func() time.Duration { return time.Duration((3 + 5*random.Float64()) * float64(time.Second)) }
	c = fleetCase{
		instances: int(pick(8, 24, 70, 195)), rate: pick(5, 16, 43, 100, 214), offered: pick(1.1, 1.3, 2, 4, 8),
		group: int(pick(1, 1, 3, 6)), span: 15 * time.Second,
	}
	if random.IntN(3) == 0 {
		return c, false
	}
	c.loss = pick(0, 0.01, 0.05, 0.2)
	c.frozen = random.IntN(c.instances)
	for _, fault := range []func(){
		func() { c.lowerAt, c.lowered = moment(), c.rate*pick(0.25, 0.5, 0.9) },
		func() { c.restartAt = moment() },
		func() { c.handovers = []time.Duration{moment(), moment(), moment()} },
		func() { c.freezeAt = moment() },
		func() { c.freezeAt, c.frozen = moment(), 0 },
	} {
		if random.IntN(3) == 0 {
			fault()
		}
	}
	return c, true
}

// TestRandomFleetStaysInBounds guards against operations beyond the quota under
// lost messages, quota owners that change, instances that freeze or restart, and
// a quota that is lowered; and against quota that is lost without a fault.
func TestRandomFleetStaysInBounds(t *testing.T) {
	for seed := range randomSeeds {
		c, faults := randomCase(seed)
		r := runFleet(seed, c)
		if r.most > 1 {
			t.Errorf("seed %d: %.3f of the limit in a window: %+v", seed, r.most, c)
		}
		if faults {
			continue
		}
		// A quota of 5 operations a second is served 65 times in the time that
		// counts, so two operations at its ends are 3 %.
		least := 0.95*min(1, reference(seed, c)) - 2/(c.rate*(c.span-2*time.Second).Seconds())
		if r.served < least {
			t.Errorf("seed %d: served %.3f of the quota, want %.3f: %+v", seed, r.served, least, c)
		}
	}
}
