package front

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
)

// rawCaller sends protocol messages and returns the names of the answers.
type rawCaller struct {
	g      *WithT
	socket net.Conn
	in     *pgproto3.Frontend
}

func dialRaw(t *testing.T, s *fixture) *rawCaller {
	g := NewWithT(t)
	socket, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetDeadline(time.Now().Add(callerTimeout))
	c := &rawCaller{g: g, socket: socket, in: pgproto3.NewFrontend(socket, socket)}
	c.converse(1, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "r"}})
	return c
}

// converse sends messages and reads answers up to the given number of
// ReadyForQuery messages.
func (c *rawCaller) converse(ends int, messages ...pgproto3.FrontendMessage) (out []string) {
	c.send(messages...)
	return c.receive(ends)
}

func (c *rawCaller) send(messages ...pgproto3.FrontendMessage) {
	_, err := c.socket.Write(encode(messages))
	c.g.Expect(err).NotTo(HaveOccurred())
}

// receive reads answers up to the given number of ReadyForQuery messages.
func (c *rawCaller) receive(ends int) (out []string) {
	for ends > 0 {
		m, err := c.in.Receive()
		c.g.Expect(err).NotTo(HaveOccurred())
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			out = append(out, m.Code)
		case *pgproto3.CommandComplete:
			out = append(out, string(m.CommandTag))
		case *pgproto3.ReadyForQuery:
			out = append(out, string(m.TxStatus))
			ends--
		case *pgproto3.ParameterStatus:
		default:
			out = append(out, fmt.Sprintf("%T", m)[len("*pgproto3."):])
		}
	}
	return out
}

// TestNothingRunsAfterRefusedBegin pipelines a transaction whose BEGIN is
// refused. The statements after it were sent before the caller saw the refusal
// and must not run outside the transaction.
func TestNothingRunsAfterRefusedBegin(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t, func(*Options) {})
	c := dialRaw(t, s)
	s.refuse.Store(1)
	begin, insert := &pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "INSERT INTO stock (id) VALUES ('1')"}
	g.Expect(c.converse(4, begin, insert, &pgproto3.Query{String: "COMMIT"}, insert)).
		To(Equal([]string{"53300", "E", "25P02", "E", "ROLLBACK", "I", "INSERT 0 1", "I"}))
	// Without further statements the session stays idle, and BEGIN may be
	// repeated.
	s.refuse.Store(1)
	g.Expect(c.converse(1, begin)).To(Equal([]string{"53300", "I"}))
	g.Expect(c.converse(1, begin)).To(Equal([]string{"BEGIN", "T"}))
}

// TestRepeatAnswersEveryMessage checks that the repeat of a committed request
// gets an answer to each message; otherwise its driver would wait forever.
func TestRepeatAnswersEveryMessage(t *testing.T) {
	g := NewWithT(t)
	c := dialRaw(t, newFixture(t, func(*Options) {}))
	want := []string{"ParseComplete", "BindComplete", "NoData", "INSERT 0 1", "I"}
	for range 3 {
		g.Expect(c.converse(1,
			&pgproto3.Parse{Query: "INSERT INTO stock (id) VALUES ($1) /*request_id='1'*/"},
			&pgproto3.Bind{Parameters: [][]byte{[]byte("x")}},
			&pgproto3.Describe{ObjectType: 'P'},
			&pgproto3.Execute{},
			&pgproto3.Sync{},
		)).To(Equal(want))
	}
}

// TestErrorInsideBatch checks that an error skips the rest of the batch up to
// the Sync and that nothing of the batch is committed.
func TestErrorInsideBatch(t *testing.T) {
	g := NewWithT(t)
	c := dialRaw(t, newFixture(t, func(*Options) {}))
	var batch []pgproto3.FrontendMessage
	for _, id := range []string{"1", "1", "2"} {
		batch = append(batch,
			&pgproto3.Parse{Query: "INSERT INTO stock (id) VALUES ($1)"},
			&pgproto3.Bind{Parameters: [][]byte{[]byte(id)}},
			&pgproto3.Execute{})
	}
	g.Expect(c.converse(1, append(batch, &pgproto3.Sync{})...)).To(Equal([]string{
		"ParseComplete", "BindComplete", "INSERT 0 1", "ParseComplete", "BindComplete", "23505", "I",
	}))
	g.Expect(c.converse(1, &pgproto3.Query{String: "SELECT id FROM stock"})).To(Equal([]string{"RowDescription", "SELECT 0", "I"}))
}
