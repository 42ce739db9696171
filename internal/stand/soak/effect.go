package soak

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// activeFault is a fault in effect, with the endpoint that it affects.
type activeFault struct {
	Fault
	endpoint ident.Endpoint
}

// platformFaults merges the platform faults in effect.
func platformFaults(active []activeFault) plat.Faults {
	var out plat.Faults
	for _, f := range active {
		switch f.Kind {
		case RefuseStore:
			if out.Outage == plat.NoOutage {
				out.Outage = plat.Refuse
			}
		case SilenceStore:
			out.Outage = plat.Hang
		case SlowStore:
			out.Delay = max(out.Delay, envdoc.Duration(f.Delay))
		case LoseStore:
			out.LoseProbability = max(out.LoseProbability, float64(f.Count)/100)
		}
	}
	return out
}

// endpointFaults merges the lasting faults in effect on one endpoint. A primary
// applies the replication lag to its replicas; it is never below base. A
// replica applies the apply lag.
func endpointFaults(active []activeFault, name ident.Endpoint, base time.Duration) endpt.Faults {
	cutGroup, cutCallers := false, false
	lag, apply, slow := envdoc.Duration(base), envdoc.Duration(0), envdoc.Duration(0)
	for _, f := range active {
		if f.endpoint != name {
			continue
		}
		switch f.Kind {
		case CutPrimary:
			cutGroup = true
		case CutCallers:
			cutCallers = true
		case LagReplicas:
			lag = max(lag, envdoc.Duration(f.Delay))
			apply = max(apply, envdoc.Duration(f.Delay))
		case SlowStatements:
			slow = max(slow, envdoc.Duration(f.Delay))
		}
	}
	return endpt.Faults{CutGroup: &cutGroup, CutCallers: &cutCallers, ReplicationLag: &lag, ApplyLag: &apply, Slow: &slow}
}
