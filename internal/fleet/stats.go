package fleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

type stats struct {
	dropped      *metrics.Counter
	readsFailed  *metrics.Counter
	reads        *metrics.Counter
	writesFailed *metrics.Counter
	writes       *metrics.Counter
	version      *metrics.Gauge
	live         *metrics.Gauge
	trustLeft    *metrics.Gauge
}

func newStats() *stats {
	return &stats{
		dropped:      metrics.GetOrCreateCounter("marjoram_fleet_dropped_total"),
		reads:        metrics.GetOrCreateCounter("marjoram_fleet_store_reads_total"),
		readsFailed:  metrics.GetOrCreateCounter("marjoram_fleet_store_reads_failed_total"),
		writes:       metrics.GetOrCreateCounter("marjoram_fleet_store_writes_total"),
		writesFailed: metrics.GetOrCreateCounter("marjoram_fleet_store_writes_failed_total"),
		version:      metrics.GetOrCreateGauge("marjoram_fleet_document_version", nil),
		live:         metrics.GetOrCreateGauge("marjoram_fleet_live_instances", nil),
		trustLeft:    metrics.GetOrCreateGauge("marjoram_fleet_trust_left_seconds", nil),
	}
}

func (s *stats) countRead(err error) {
	s.reads.Inc()
	if err != nil {
		s.readsFailed.Inc()
	}
}

func (s *stats) countWrite(err error) {
	s.writes.Inc()
	if err != nil {
		s.writesFailed.Inc()
	}
}

// update sets the gauges. The remaining trust is zero while keyed requests are
// refused.
func (s *stats) update(f *Fleet, now time.Time) {
	s.version.Set(float64(f.Version()))
	s.live.Set(float64(len(f.Live())))
	var left time.Duration
	if f.Trusted(now) {
		left = time.Duration(f.trustedUntil.Load() - int64(now.Sub(f.base)))
	}
	s.trustLeft.Set(left.Seconds())
}
