package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// TestRepeatWaitsForAMajority checks that a repeated request gets the recorded
// outcome only after a majority holds the write, like the write itself.
func TestRepeatWaitsForAMajority(t *testing.T) {
	g := NewWithT(t)
	s := newCluster(t, 1)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o0")
	lag, loseOne := envdoc.Duration(500*time.Millisecond), int64(1)
	s.endpoints["a1"].SetFaults(endpt.Faults{ReplicationLag: &lag, LoseAnswers: &loseOne})
	const text = "INSERT INTO bookings (slot) VALUES ('7') /*request_id='r1'*/"
	g.Expect(query(conn, text)).To(Equal("error 08007\n"))
	g.Eventually(func() string { return query(conn, text) }, eventTimeout, time.Millisecond).Should(Equal("INSERT 0 1\n"))
	copies := 0
	for _, e := range s.endpoints {
		copies += len(e.Rows("bookings"))
	}
	g.Expect(copies).To(BeNumerically(">=", 2))
}

// TestNameOfFailedPrepareCanBeReused prepares a statement under the name of one
// that the endpoint failed to parse.
func TestNameOfFailedPrepareCanBeReused(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := newCluster(t, 1)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o1")
	_, err := conn.Prepare(ctx, "p", "SELECT item FROM orders (")
	g.Expect(err).To(MatchError(ContainSubstring("42601")))
	_, err = conn.Prepare(ctx, "p", "SELECT item FROM orders")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.queryText(conn, "p")).To(Equal("charcoal"))
}

// An order's answer is lost after its commit, as when the primary dies in that moment. A
// repeat without an identifier ran into its own row until its time was over.
func TestOrderIsInsertedAfterLostAnswer(t *testing.T) {
	s := newCluster(t, 1)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o1")
	lost := int64(1)
	for _, e := range s.endpoints {
		e.SetFaults(endpt.Faults{LoseAnswers: &lost})
	}
	s.insertOrder(conn, "o2")
	NewWithT(t).Expect(s.rows("orders")).To(Equal(2))
}
