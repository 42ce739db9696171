package entry_test

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
)

// TestWitnessesAnswerHolders lets two proxies lease the parts of a quota: each
// asks the other to leave them to it, is answered, and takes the answer.
func TestWitnessesAnswerHolders(t *testing.T) {
	g := NewWithT(t)
	holds := metrics.GetOrCreateCounter(`marjoram_peer_messages_received_total{type="LeaseHold"}`)
	unhandled := metrics.GetOrCreateCounter("marjoram_peer_unhandled_total")
	before, lost := holds.Get(), unhandled.Get()
	newSet(t, 2)
	g.Eventually(holds.Get, soon).Should(BeNumerically(">", before+1))
	g.Expect(unhandled.Get()).To(Equal(lost))
}
