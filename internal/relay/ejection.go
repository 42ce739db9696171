package relay

import (
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
)

// logEjection logs that an endpoint gets no reads for some time, or again.
func (p *GroupPool) logEjection(c sched.Command) {
	switch c := c.(type) {
	case sched.EndpointEjected:
		trace.Event("EndpointEjected", "Group", p.group, "Endpoint", c.Endpoint, "For", c.For.String(), "Own", c.Own, "Rest", c.Rest)
	case sched.EndpointReturned:
		trace.Event("EndpointReturned", "Group", p.group, "Endpoint", c.Endpoint, "Own", c.Own, "Rest", c.Rest)
	}
}
