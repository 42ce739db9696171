package acct

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var droppedMessages = metrics.NewCounter("marjoram_quota_messages_dropped_total")

// refusalCounter returns the counter of an account's refused requests.
func refusalCounter(account ident.Account) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_quota_refused_total{account=%q}`, string(account)))
}

// countEvent counts an event by its kind.
func countEvent(kind event.Kind) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_quota_events_total{kind=%q}`, string(kind))).Inc()
}
