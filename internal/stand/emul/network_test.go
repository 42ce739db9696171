package emul

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// Both ends of a connection write and neither reads, as when two instances are
// killed at the same time. Closing the network must not wait for them for ever.
func TestCloseEndsPendingWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := NewNetwork()
		l, err := n.Listen("b:1")
		g.Expect(err).NotTo(HaveOccurred())
		accepted := make(chan error, 1)
		n.pumps.Go(func() {
			c, err := l.Accept()
			if err == nil {
				_, err = c.Write([]byte("to a"))
			}
			accepted <- err
		})
		c, err := n.From("a")(context.Background(), "tcp", "b:1")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("to b"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-accepted).To(Succeed())
		synctest.Wait()
		n.Close()
	})
}

func TestNoWriteAfterClose(t *testing.T) {
	g := NewWithT(t)
	n := NewNetwork()
	for range 50 {
		raw, _ := net.Pipe()
		c := newConn(raw, n, "a", "b")
		g.Expect(c.Close()).To(Succeed())
		_, err := c.Write([]byte("late"))
		g.Expect(err).To(MatchError(net.ErrClosed))
	}
	n.Close()
}
