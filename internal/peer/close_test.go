package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Closing while the peer was sending lost messages that were queued or sent before.
func TestCloseDeliversWhatIsQueued(t *testing.T) {
	for range 5 {
		g := NewWithT(t)
		const count = 2000
		a, b := startNode(t, "a", testSecret, WithQueue(4096)), startNode(t, "b", testSecret, WithQueue(4096))
		connectAll(a, b)
		g.Eventually(a.Connected, eventTimeout).Should(HaveLen(1))
		g.Eventually(b.Connected, eventTimeout).Should(HaveLen(1))
		for i := range count {
			b.Send("a", Document{Version: 1, Text: make([]byte, 100)})
			if i%10 == 0 {
				time.Sleep(10 * time.Microsecond)
			}
			g.Expect(a.Offer("b", Document{Version: 2, Text: make([]byte, 100)})).To(BeTrue())
		}
		g.Expect(a.Close()).To(Succeed())
		for range 1000 {
			b.Send("a", Document{Version: 1, Text: make([]byte, 100)})
		}
		g.Eventually(b.Connected, eventTimeout).Should(BeEmpty())
		g.Expect(len(b.inbox.messages())).To(Equal(count))
		g.Expect(b.Close()).To(Succeed())
	}
}

// Large messages wait for confirmations of their parts. A link that was closed
// meanwhile lost them, because nobody confirms after the last message.
func TestCloseDeliversLargeMessages(t *testing.T) {
	g := NewWithT(t)
	const count = 20
	text := make([]byte, 3*partBytes)
	a, b := startNode(t, "a", testSecret, WithQueue(4096)), startNode(t, "b", testSecret, WithQueue(4096))
	connectAll(a, b)
	g.Eventually(a.Connected, eventTimeout).Should(HaveLen(1))
	g.Eventually(b.Connected, eventTimeout).Should(HaveLen(1))
	for range count {
		g.Expect(a.Offer("b", Document{Version: 1, Text: text})).To(BeTrue())
		g.Expect(b.Offer("a", Document{Version: 2, Text: text})).To(BeTrue())
	}
	g.Expect(a.Close()).To(Succeed())
	g.Eventually(b.Connected, eventTimeout).Should(BeEmpty())
	g.Expect(b.inbox.messages()).To(HaveLen(count))
	g.Expect(a.inbox.messages()).To(HaveLen(count))
}
