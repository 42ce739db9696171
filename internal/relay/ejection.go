package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
)

var ejections = metrics.GetOrCreateCounter("marjoram_endpoint_ejections_total")

// ejectedGauge returns the gauge of a group's ejected endpoints. It exists only
// for groups that had one, because few have.
func (p *GroupPool) ejectedGauge() *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("marjoram_ejected_endpoints{group=%q}", string(p.group)), nil)
}

// recordEjection logs and counts that an endpoint gets no reads for some time, or
// again. The caller holds the mutex.
func (p *GroupPool) recordEjection(c sched.Command) {
	switch c := c.(type) {
	case sched.EndpointEjected:
		trace.Event("EndpointEjected", "Group", p.group, "Endpoint", c.Endpoint, "For", c.For.String(), "Own", c.Own, "Rest", c.Rest)
		ejections.Inc()
	case sched.EndpointReturned:
		trace.Event("EndpointReturned", "Group", p.group, "Endpoint", c.Endpoint, "Own", c.Own, "Rest", c.Rest)
	}
	p.hadEjections = true
	p.updateEjected()
}

// updateEjected updates the gauge. Ejected endpoints may also leave the
// directory. The caller holds the mutex.
func (p *GroupPool) updateEjected() {
	if p.hadEjections {
		p.ejectedGauge().Set(float64(p.scheduler.Ejected()))
	}
}
