package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// The end of the drain timeout cut a caller whose write was under way.
func TestStopAnswersWriteThatOutlastsDrain(t *testing.T) {
	const drain, closing = 200 * time.Millisecond, time.Second
	g := NewWithT(t)
	s := newCluster(t, 1)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o1")
	slow := envdoc.Duration(4 * time.Second)
	for _, e := range s.endpoints {
		e.SetFaults(endpt.Faults{Slow: &slow})
	}
	answer := make(chan error, 1)
	callers := tasks.New(t.Context())
	callers.Go(func(ctx context.Context) error {
		_, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('o2', 'charcoal')", pgx.QueryExecModeSimpleProtocol)
		answer <- err
		return nil
	})
	g.Eventually(s.runningStatements, eventTimeout).Should(Equal(1))
	ctx, cancel := context.WithTimeout(t.Context(), drain)
	defer cancel()
	began := time.Now()
	g.Expect(s.proxies[0].Stop(ctx)).To(MatchError(ContainSubstring("1 callers still connected")))
	took := time.Since(began)
	g.Expect(<-answer).To(MatchError(ContainSubstring("SQLSTATE 08007")))
	g.Expect(callers.Close()).To(Succeed())
	g.Expect(took).To(BeNumerically("<", drain+closing))
}
