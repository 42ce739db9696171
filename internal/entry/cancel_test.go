package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// TestCancelledConnectionIsNotReused cancels an order. A cancel may reach the
// endpoint late, so the next order must not run on the same connection.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := newSet(t, 1)
	conn := s.connect(0, "orders", "")
	s.order(conn, "o1")
	primary := s.endpoints["a1"]
	slow, fast := envdoc.Duration(soon), envdoc.Duration(0)
	primary.SetFaults(endpt.Faults{Slow: &slow})
	var sent errgroup.Group
	sent.Go(func() error {
		_, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('o2', 'charcoal')")
		return err
	})
	g.Eventually(primary.Running, soon, time.Millisecond).Should(BeNumerically(">", 0))
	g.Expect(conn.PgConn().CancelRequest(ctx)).To(Succeed())
	g.Expect(code(sent.Wait())).To(Equal("57014"))
	primary.SetFaults(endpt.Faults{Slow: &fast})
	before := primary.Counters().Connections
	s.order(conn, "o3")
	g.Expect(primary.Counters().Connections).To(BeNumerically(">", before))
	g.Expect(s.stored(conn)).To(Equal(map[string]int{"o1": 1, "o3": 1}))
}
