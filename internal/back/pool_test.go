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

// TestWaitersOfADeadEndpointAreToldSoon lends to several requests at once, so
// that while one connection attempt fails others are still under way.
func TestWaitersOfADeadEndpointAreToldSoon(t *testing.T) {
	const waiters, patience = 8, 2 * time.Second
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	p := NewPool(envdoc.Endpoint{Name: "dead", Address: address, Slots: 2, Connections: 16}, Credentials{}, 16, NewFIFO(waiters))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var work errgroup.Group
	for range waiters {
		work.Go(func() error {
			_, err := p.Acquire(ctx, Requester{}, time.Now())
			if !errors.Is(err, ErrUnreachable) {
				return errors.Newf("told %v", err)
			}
			return nil
		})
	}
	g.Expect(work.Wait()).To(Succeed())
	g.Expect(p.Close()).To(Succeed())
}
