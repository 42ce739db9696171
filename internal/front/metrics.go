package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
)

var (
	replicaReads    = metrics.NewCounter(`marjoram_reads_total{role="replica"}`)
	primaryReads    = metrics.NewCounter(`marjoram_reads_total{role="primary"}`)
	writes          = metrics.NewCounter(`marjoram_writes_total`)
	movedReads      = metrics.NewCounter(`marjoram_reads_moved_total`)
	confirmTime     = metrics.NewHistogram(`marjoram_confirm_seconds`)
	primaryWaits    = metrics.NewCounter(`marjoram_parked_total`)
	unknownOutcomes = metrics.NewCounter(`marjoram_outcome_unknown_total`)
	repeatsServed   = metrics.NewCounter(`marjoram_repeats_served_total`)
)

func countRead(role group.Role) {
	if role == group.ReplicaRole {
		replicaReads.Inc()
		return
	}
	primaryReads.Inc()
}

func countRefusal(e *fault.Error) {
	if e.Outcome == fault.Unknown {
		unknownOutcomes.Inc()
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_refusals_total{code=%q}`, string(e.Code))).Inc()
}
