package group

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// groupMetrics are the metrics of one group on one instance.
type groupMetrics struct {
	failovers    *metrics.Counter
	changes      *metrics.Counter
	probes       *metrics.Counter
	probesFailed *metrics.Counter
	floorRounds  *metrics.Counter
	floorsFailed *metrics.Counter
	dropped      *metrics.Counter
	term         *metrics.Gauge
}

func newGroupMetrics(group ident.Group) groupMetrics {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_group_%s{group=%q}`, name, string(group)))
	}
	return groupMetrics{
		failovers:    counter("failovers_total"),
		changes:      counter("primary_changes_total"),
		probes:       counter("probes_total"),
		probesFailed: counter("probes_failed_total"),
		floorRounds:  counter("floor_rounds_total"),
		floorsFailed: counter("floor_rounds_failed_total"),
		dropped:      counter("messages_dropped_total"),
		term:         metrics.GetOrCreateGauge(fmt.Sprintf(`marjoram_group_term{group=%q}`, string(group)), nil),
	}
}
