package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
)

// callers returns the input of well-behaved callers, which the tests mutate.
func callers() [][]byte {
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "r"}}
	write := []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "a", Query: "INSERT INTO junk (id) VALUES ($1) /*request_id='1'*/"},
		&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("x")}},
		&pgproto3.Describe{ObjectType: 'P'},
		&pgproto3.Execute{},
		&pgproto3.Close{ObjectType: 'S', Name: "a"},
		&pgproto3.Sync{},
	}
	simple := []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "SELECT id FROM junk; COMMIT"}, &pgproto3.Terminate{}}
	first := []pgproto3.FrontendMessage{startup}
	return [][]byte{
		encode(append(first, write...)),
		encode(append(first, simple...)),
		encode([]pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, startup, simple[0]}),
		encode([]pgproto3.FrontendMessage{&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}}),
	}
}

func encode(messages []pgproto3.FrontendMessage) (buf []byte) {
	for _, m := range messages {
		buf, _ = m.Encode(buf)
	}
	return buf
}

// healthy connects a caller that has to keep working whatever others send.
func healthy(t testing.TB, s *fixture) *pgx.Conn {
	conn := dial(t, s.address, plain)
	_, err := conn.Exec(context.Background(), "INSERT INTO kept (id, item) VALUES ('1', 'koji')")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return conn
}

const callerTimeout = 8 * time.Second

// send writes input to the server and closes its side. It expects the server to
// close the connection.
func send(t testing.TB, s *fixture, input []byte) {
	g := NewWithT(t)
	socket, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(callerTimeout))
	_, _ = socket.Write(input)
	_ = socket.(*net.TCPConn).CloseWrite()
	_, err = io.Copy(io.Discard, socket)
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "not ended after %v: %q", callerTimeout, input)
}

// expectHealthy checks that the input of other callers neither disturbed this
// one nor caused a working endpoint to be reported as failed.
func expectHealthy(t testing.TB, s *fixture, conn *pgx.Conn) {
	g := NewWithT(t)
	g.Expect(s.monitor.failed.Load()).To(BeZero())
	var item string
	g.Expect(conn.QueryRow(context.Background(), "SELECT item FROM kept WHERE id = $1", "1").Scan(&item)).To(Succeed())
	g.Expect(item).To(Equal("koji"))
}

// FuzzCaller sends arbitrary bytes: the server answers with an error or closes
// the connection, and another caller keeps working.
func FuzzCaller(f *testing.F) {
	s := newFixture(f, func(*Options) {})
	conn := healthy(f, s)
	for _, c := range callers() {
		f.Add(c)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		send(t, s, input)
		expectHealthy(t, s, conn)
	})
}

func TestMutatedCallers(t *testing.T) {
	const rounds = 300
	s := newFixture(t, func(*Options) {})
	conn := healthy(t, s)
	r := rand.New(rand.NewPCG(1, 1))
	seeds := callers()
	for range rounds {
		send(t, s, mutate(r, seeds[r.IntN(len(seeds))]))
		expectHealthy(t, s, conn)
	}
}

// mutate overwrites a byte, truncates, repeats a part or inserts zeros.
func mutate(r *rand.Rand, seed []byte) []byte {
	out := append([]byte(nil), seed...)
	for range 1 + r.IntN(3) {
		at := r.IntN(len(out))
		switch r.IntN(4) {
		case 0:
			out[at] = byte(r.Uint32())
		case 1:
			out = out[:at+1]
		case 2:
			out = append(out, out[at:]...)
		case 3:
			out = append(out[:at:at], append(make([]byte, r.IntN(1<<16)), out[at:]...)...)
		}
	}
	return out
}
