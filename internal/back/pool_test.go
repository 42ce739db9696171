package back

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// TestWaitersOfDeadEndpointFailSoon acquires several connections at once, so
// that other dials are still in flight when the first one fails. The waiters
// must fail then and not wait for those dials.
func TestWaitersOfDeadEndpointFailSoon(t *testing.T) {
	const waiters, timeout = 8, 2 * time.Second
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	p := NewPool(envdoc.Endpoint{Name: "dead", Address: address, Slots: 2, Connections: 16}, Credentials{}, 16, NewFIFO(waiters))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var work errgroup.Group
	for range waiters {
		work.Go(func() error {
			_, err := p.Acquire(ctx, Requester{}, time.Now())
			if !errors.Is(err, ErrUnreachable) {
				return errors.Newf("got %v", err)
			}
			return nil
		})
	}
	g.Expect(work.Wait()).To(Succeed())
	g.Expect(p.Close()).To(Succeed())
}
