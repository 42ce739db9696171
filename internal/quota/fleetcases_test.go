package quota

import (
	"testing"
	"time"
)

// fleetCases are the loads and faults that every version has to withstand.
func fleetCases() map[string]fleetCase {
	base := fleetCase{instances: 70, rate: 43, offered: 2, span: 30 * time.Second}
	with := func(change func(*fleetCase)) fleetCase {
		c := base
		change(&c)
		return c
	}
	return map[string]fleetCase{
		"twice":          base,
		"a tenth more":   with(func(c *fleetCase) { c.rate, c.offered = 100, 1.1 }),
		"groups":         with(func(c *fleetCase) { c.rate, c.offered, c.group = 20, 1.1, 6 }),
		"eight times":    with(func(c *fleetCase) { c.offered = 8 }),
		"twice at 200/s": with(func(c *fleetCase) { c.rate = 200 }),
		"lowered":        with(func(c *fleetCase) { c.rate, c.offered, c.lowerAt, c.lowered = 172, 0.5, 10*time.Second, 43 }),
		"lowered at 8":   with(func(c *fleetCase) { c.rate, c.offered, c.lowerAt, c.lowered = 172, 2, 10*time.Second, 43 }),
		"restart":        with(func(c *fleetCase) { c.restartAt = 10 * time.Second }),
		"lost messages":  with(func(c *fleetCase) { c.loss = 0.02 }),
		"owner changes": with(func(c *fleetCase) {
			c.handovers = []time.Duration{10 * time.Second, 11 * time.Second, 12 * time.Second}
		}),
		"frozen owner": with(func(c *fleetCase) { c.freezeAt = 10 * time.Second }),
		"frozen other": with(func(c *fleetCase) { c.freezeAt, c.frozen = 10*time.Second, 5 }),
	}
}

// reference returns the share of the quota that one instance serves to the same
// callers, without messages and faults.
func reference(seed uint64, c fleetCase) float64 {
	c.instances, c.loss, c.restartAt, c.handovers, c.freezeAt = 1, 0, 0, nil, 0
	return runFleet(seed, c).served
}

// TestFleetServesQuota guards against grants that expire unused while callers
// are refused, against callers that come back in vain when they were told to, and
// against operations beyond the quota.
func TestFleetServesQuota(t *testing.T) {
	for name, c := range fleetCases() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := runFleet(seed, c)
				t.Logf("seed %d: offered %.3f, served %.3f of the quota, most %.3f of the limit, %d refusals, %d of %d refused again, %d a third time",
					seed, r.offered, r.served, r.most, r.refusals, r.refusedAgain, r.returned, r.givenUp)
				if least := 0.95 * min(1, reference(seed, c)); r.served < least {
					t.Errorf("seed %d: served %.3f of the quota, want %.3f", seed, r.served, least)
				}
				if r.most > 1 {
					t.Errorf("seed %d: %.3f of the limit in a window", seed, r.most)
				}
				// The quota owner can't tell a caller from another one at the same
				// instance, which takes its token now and then.
				if float64(r.refusedAgain) > 0.1*float64(r.returned) {
					t.Errorf("seed %d: %d of %d callers were refused again", seed, r.refusedAgain, r.returned)
				}
				if float64(r.givenUp) > 0.02*float64(r.returned) {
					t.Errorf("seed %d: %d of %d callers were refused a third time", seed, r.givenUp, r.returned)
				}
			}
		})
	}
}
