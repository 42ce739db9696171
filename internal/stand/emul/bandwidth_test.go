package emul

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A host receives no more than its bandwidth, over all connections together.
func TestThrottledHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := NewNetwork()
		n.Throttle("b", 1<<20)
		l, err := n.Listen("b:1")
		g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		for range 2 {
			n.pumps.Go(func() {
				c, err := n.From("a")(context.Background(), "tcp", "b:1")
				if err == nil {
					_, err = c.Write(make([]byte, 1<<20))
				}
				if err != nil {
					t.Error(err)
				}
			})
		}
		for range 2 {
			c, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(c, make([]byte, 1<<20))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(began)).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
		n.Close()
	})
}
