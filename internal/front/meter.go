package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
)

var (
	readsReplica  = metrics.NewCounter(`marjoram_reads_total{role="replica"}`)
	readsPrimary  = metrics.NewCounter(`marjoram_reads_total{role="primary"}`)
	writes        = metrics.NewCounter(`marjoram_writes_total`)
	movedReads    = metrics.NewCounter(`marjoram_reads_moved_total`)
	confirmTime   = metrics.NewHistogram(`marjoram_confirm_seconds`)
	parkedTotal   = metrics.NewCounter(`marjoram_parked_total`)
	unknownTotal  = metrics.NewCounter(`marjoram_outcome_unknown_total`)
	repeatsServed = metrics.NewCounter(`marjoram_repeats_served_total`)
)

func countRead(role group.Role) {
	if role == group.ReplicaRole {
		readsReplica.Inc()
		return
	}
	readsPrimary.Inc()
}

func countRefusal(e *fault.Error) {
	if e.Outcome == fault.Unknown {
		unknownTotal.Inc()
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_refusals_total{code=%q}`, string(e.Code))).Inc()
}
