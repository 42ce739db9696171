package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// stats holds the metrics of the process. They are created once, so that
// sending a message formats no metric names.
type stats struct {
	sent          [kinds]*metrics.Counter
	sentBytes     [kinds]*metrics.Counter
	received      [kinds]*metrics.Counter
	receivedBytes [kinds]*metrics.Counter
	dropped       *metrics.Counter
	unknown       *metrics.Counter
	malformed     *metrics.Counter
	refused       *metrics.Counter
	connected     *metrics.Gauge
}

func newStats() *stats {
	s := &stats{
		dropped:   metrics.GetOrCreateCounter("marjoram_peer_dropped_total"),
		unknown:   metrics.GetOrCreateCounter("marjoram_peer_unknown_total"),
		malformed: metrics.GetOrCreateCounter("marjoram_peer_malformed_total"),
		refused:   metrics.GetOrCreateCounter("marjoram_peer_refused_total"),
		connected: metrics.GetOrCreateGauge("marjoram_peer_connected", nil),
	}
	for k := range Kind(kinds) {
		s.sent[k] = counterOf("messages_sent", k)
		s.sentBytes[k] = counterOf("bytes_sent", k)
		s.received[k] = counterOf("messages_received", k)
		s.receivedBytes[k] = counterOf("bytes_received", k)
	}
	return s
}

func counterOf(name string, kind Kind) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("marjoram_peer_%s_total{type=%q}", name, kind))
}

func (s *stats) countSent(kind Kind, bytes int) {
	s.sent[kind].Inc()
	s.sentBytes[kind].Add(bytes)
}

func (s *stats) countReceived(kind Kind, bytes int) {
	s.received[kind].Inc()
	s.receivedBytes[kind].Add(bytes)
}
