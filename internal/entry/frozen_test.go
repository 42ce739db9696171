package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
)

// TestWriteAtFrozenPrimaryEndsWithFailover sends a write to a primary that
// keeps its connections open and answers nothing.
func TestWriteAtFrozenPrimaryEndsWithFailover(t *testing.T) {
	g := NewWithT(t)
	s := newCluster(t, 2)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "before")
	frozen := true
	s.endpoints["a1"].SetFaults(endpt.Faults{Frozen: &frozen})
	start := time.Now()
	_, err := conn.Exec(context.Background(), "INSERT INTO orders (id, item) VALUES ('during', 'charcoal')")
	g.Expect(sqlState(err)).To(BeElementOf("08007", "57P03"))
	g.Expect(time.Since(start)).To(BeNumerically("<", failoverTimeout))
	s.insertOrder(conn, "after")
	g.Expect(s.countOrders(s.connect(1, "orders", ""))).To(Equal(map[string]int{"before": 1, "after": 1}))
}
