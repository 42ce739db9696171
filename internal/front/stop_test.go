package front

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// closeLimit is how long Close may take: it answers what is under way, but waits
// for no endpoint and no caller.
const closeLimit = 500 * time.Millisecond

func (s *fixture) slow(by time.Duration) {
	d := envdoc.Duration(by)
	for _, e := range s.endpoints {
		e.SetFaults(endpt.Faults{Slow: &d})
	}
}

func (s *fixture) running() int {
	n := 0
	for _, e := range s.endpoints {
		n += e.Running()
	}
	return n
}

func (s *fixture) close(g Gomega) {
	began := time.Now()
	g.Expect(s.server.Close()).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", closeLimit))
}

// Close cut callers whose statement was under way, and waited for the endpoint.
func TestStatementUnderWayAtCloseIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name, text string
		answer     []string
	}{
		{"write", "INSERT INTO stock (id) VALUES ('1')", []string{"08007", "I"}},
		{"read", "SELECT id FROM stock", []string{"57P01", "I"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t, func(*Options) {})
			caller := dialRaw(t, s)
			s.slow(3 * time.Second)
			caller.send(&pgproto3.Query{String: c.text})
			g.Eventually(s.running, callerTimeout).Should(Equal(1))
			s.close(g)
			g.Expect(caller.receive(1)).To(Equal(c.answer))
		})
	}
}

// Close cut callers in an open transaction without a word.
func TestOpenTransactionAtCloseIsToldItsEnd(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t, func(*Options) {})
	caller := dialRaw(t, s)
	g.Expect(caller.converse(1, &pgproto3.Query{String: "BEGIN"})).To(Equal([]string{"BEGIN", "T"}))
	s.close(g)
	m, err := caller.in.Receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(BeAssignableToTypeOf(&pgproto3.ErrorResponse{}))
	g.Expect(m.(*pgproto3.ErrorResponse).Code).To(Equal("57P01"))
}

// A connection that sent no login held up Close for the login timeout.
func TestSilentConnectionDoesNotHoldUpClose(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t, func(*Options) {})
	socket, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = socket.Close() }()
	g.Eventually(s.server.Sessions, callerTimeout).Should(Equal(1))
	s.close(g)
}
