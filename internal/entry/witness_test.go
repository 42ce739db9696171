package entry_test

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
)

// TestWitnessRepliesToHolder starts two proxies that lease parts of a quota.
// Each must get promises from the other as its witness and handle them.
func TestWitnessRepliesToHolder(t *testing.T) {
	g := NewWithT(t)
	promises := metrics.GetOrCreateCounter(`marjoram_peer_messages_received_total{type="LeaseHold"}`)
	unhandled := metrics.GetOrCreateCounter("marjoram_peer_unhandled_total")
	before, unhandledBefore := promises.Get(), unhandled.Get()
	newCluster(t, 2)
	g.Eventually(promises.Get, eventTimeout).Should(BeNumerically(">", before+1))
	g.Expect(unhandled.Get()).To(Equal(unhandledBefore))
}
