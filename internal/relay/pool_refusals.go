package relay

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
)

// evacuatedRefusals counts the calls that were refused or ended because of an
// evacuation. A call that was refused for want of a primary or an endpoint counts
// if an endpoint of the group is evacuated.
var evacuatedRefusals = metrics.GetOrCreateCounter("marjoram_evacuated_refusals_total")

// SetEndpoints replaces the endpoints of the group.
func (p *GroupPool) SetEndpoints(all []sched.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = slices.ContainsFunc(all, func(e sched.Endpoint) bool { return e.Evacuated })
	p.update(clock.Now(), sched.Directory{Endpoints: all})
}

// countEvacuated counts a rejection. The caller holds the mutex.
func (p *GroupPool) countEvacuated(r engine.Reason) {
	if p.evacuated && (r == engine.NoPrimary || r == engine.NoEndpoint) {
		evacuatedRefusals.Inc()
	}
}
