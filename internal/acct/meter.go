package acct

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var droppedMessages = metrics.NewCounter("marjoram_quota_messages_dropped_total")

// refusals returns the counter of an account's requests without a token.
func refusals(account ident.Account) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_quota_refused_total{account=%q}`, string(account)))
}

// count counts a kind of event.
func count(kind event.Kind) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_quota_events_total{kind=%q}`, string(kind))).Inc()
}
