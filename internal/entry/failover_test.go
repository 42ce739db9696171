package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"
)

// failoverTimeout is how long a group may be without a primary.
const failoverTimeout = 9 * time.Second

func TestAcknowledgedWritesSurvivePrimaryLoss(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := newCluster(t, 3)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o0")
	acknowledged := map[string]bool{"o0": true}
	unknown := map[string]bool{}
	g.Expect(s.endpoints["a1"].Close()).To(Succeed())
	lost := time.Now()
	for i := 1; len(acknowledged) < 20; i++ {
		g.Expect(time.Since(lost)).To(BeNumerically("<", failoverTimeout))
		id := fmt.Sprint("o", i)
		_, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2)", id, "charcoal")
		switch sqlState(err) {
		case "":
			acknowledged[id] = true
		case "08007":
			unknown[id] = true
		}
	}
	t.Logf("20 orders acknowledged %v after the loss", time.Since(lost))
	counts := s.countOrders(s.connect(1, "orders", ""))
	for id := range acknowledged {
		g.Expect(counts[id]).To(Equal(1), "acknowledged order %s", id)
	}
	for id := range counts {
		g.Expect(acknowledged[id] || unknown[id]).To(BeTrue(), "order %s was reported as not run, but it was stored", id)
	}
}

// countOrders counts the rows of each order with a read that the group answers.
func (s *cluster) countOrders(conn *pgx.Conn) map[string]int {
	s.t.Helper()
	var ids []string
	NewWithT(s.t).Eventually(func() error {
		rows, err := conn.Query(context.Background(), "SELECT id FROM orders")
		if err != nil {
			return err
		}
		ids, err = pgx.CollectRows(rows, pgx.RowTo[string])
		return err
	}, eventTimeout, 20*time.Millisecond).Should(Succeed())
	counts := map[string]int{}
	for _, id := range ids {
		counts[id]++
	}
	return counts
}

func sqlState(err error) string {
	if err == nil {
		return ""
	}
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return "lost"
}
