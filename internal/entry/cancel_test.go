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

// TestCancelledConnectionIsNotReused cancels a write. The cancel request may
// reach the endpoint late, so the next write must not run on the same
// connection.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := newCluster(t, 1)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o1")
	primary := s.endpoints["a1"]
	slow, fast := envdoc.Duration(eventTimeout), envdoc.Duration(0)
	primary.SetFaults(endpt.Faults{Slow: &slow})
	var running errgroup.Group
	running.Go(func() error {
		_, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('o2', 'charcoal')")
		return err
	})
	g.Eventually(primary.Running, eventTimeout, time.Millisecond).Should(BeNumerically(">", 0))
	g.Expect(conn.PgConn().CancelRequest(ctx)).To(Succeed())
	g.Expect(sqlState(running.Wait())).To(Equal("57014"))
	primary.SetFaults(endpt.Faults{Slow: &fast})
	connectionsBefore := primary.Counters().Connections
	s.insertOrder(conn, "o3")
	g.Expect(primary.Counters().Connections).To(BeNumerically(">", connectionsBefore))
	g.Expect(s.countOrders(conn)).To(Equal(map[string]int{"o1": 1, "o3": 1}))
}
