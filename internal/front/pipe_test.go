package front

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
)

// TestNothingRunsBehindARefusedBegin pipelines a transaction whose BEGIN is
// refused: the rest, sent before the refusal was seen, must not run by itself.
func TestNothingRunsBehindARefusedBegin(t *testing.T) {
	g := NewWithT(t)
	s := newStage(t, func(*Options) {})
	socket, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(callerEnds))
	in := pgproto3.NewFrontend(socket, socket)
	converse := func(messages ...pgproto3.FrontendMessage) []string {
		_, err := socket.Write(encode(messages))
		g.Expect(err).NotTo(HaveOccurred())
		var out []string
		for ends := 0; ends < len(messages); {
			m, err := in.Receive()
			g.Expect(err).NotTo(HaveOccurred())
			switch m := m.(type) {
			case *pgproto3.ErrorResponse:
				out = append(out, m.Code)
			case *pgproto3.CommandComplete:
				out = append(out, string(m.CommandTag))
			case *pgproto3.ReadyForQuery:
				out = append(out, string(m.TxStatus))
				ends++
			}
		}
		return out
	}
	converse(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "r"}})
	s.refuse.Store(1)
	insert := &pgproto3.Query{String: "INSERT INTO stock (id) VALUES ('1')"}
	g.Expect(converse(&pgproto3.Query{String: "BEGIN"}, insert, &pgproto3.Query{String: "COMMIT"}, insert)).
		To(Equal([]string{"53300", "E", "25P02", "E", "ROLLBACK", "I", "INSERT 0 1", "I"}))
	// Without more to come the session stays as it was, and BEGIN may be repeated.
	s.refuse.Store(1)
	g.Expect(converse(&pgproto3.Query{String: "BEGIN"})).To(Equal([]string{"53300", "I"}))
	g.Expect(converse(&pgproto3.Query{String: "BEGIN"})).To(Equal([]string{"BEGIN", "T"}))
}
