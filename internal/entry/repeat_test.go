package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// TestRepeatWaitsForAMajority gives a recorded outcome no sooner than the
// outcome of the write itself.
func TestRepeatWaitsForAMajority(t *testing.T) {
	g := NewWithT(t)
	s := newSet(t, 1)
	conn := s.connect(0, "orders", "")
	s.order(conn, "o0")
	lag, once := envdoc.Duration(500*time.Millisecond), int64(1)
	s.endpoints["a1"].SetFaults(endpt.Faults{ReplicationLag: &lag, LoseAnswers: &once})
	const text = "INSERT INTO bookings (slot) VALUES ('7') /*request_id='r1'*/"
	g.Expect(run(conn, text)).To(Equal("error 08007\n"))
	g.Eventually(func() string { return run(conn, text) }, soon, time.Millisecond).Should(Equal("INSERT 0 1\n"))
	holders := 0
	for _, e := range s.endpoints {
		holders += len(e.Rows("bookings"))
	}
	g.Expect(holders).To(BeNumerically(">=", 2))
}

// TestFailedPrepareLeavesItsNameFree prepares again under the name of a
// statement that the endpoint did not parse.
func TestFailedPrepareLeavesItsNameFree(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := newSet(t, 1)
	conn := s.connect(0, "orders", "")
	s.order(conn, "o1")
	_, err := conn.Prepare(ctx, "p", "SELECT item FROM orders (")
	g.Expect(err).To(MatchError(ContainSubstring("42601")))
	_, err = conn.Prepare(ctx, "p", "SELECT item FROM orders")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.value(conn, "p")).To(Equal("charcoal"))
}
