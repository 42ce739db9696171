package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestPingsAreBounded shows when a peer has to prove that it lives: soon while
// it owes an answer, and else the more rarely the more peers there are.
func TestPingsAreBounded(t *testing.T) {
	g := NewWithT(t)
	peers := 8
	l := &link{options: &options{heartbeatInterval: 200 * time.Millisecond}, peers: func() int { return peers }}
	l.heard.Store(int64(time.Second))
	at := func(d time.Duration) bool { return l.due(time.Second + d) }

	g.Expect(at(190 * time.Millisecond)).To(BeFalse())
	g.Expect(at(200*time.Millisecond)).To(BeTrue(), "few peers")

	peers = 100
	g.Expect(at(time.Second)).To(BeFalse())
	g.Expect(at(1600 * time.Millisecond)).To(BeTrue())

	l.asked.Store(int64(time.Second + 10*time.Millisecond))
	g.Expect(at(200*time.Millisecond)).To(BeTrue(), "an answer is owed")
}
