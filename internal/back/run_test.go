package back

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/frame"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

type frames []byte

func (f *frames) Relay(kind byte, _ []byte) error {
	*f = append(*f, kind)
	return nil
}

// TestUnexpectedAnswersCloseConnection sends frames that answer no statement.
// The exchange has to fail, and the connection must not be reused.
func TestUnexpectedAnswersCloseConnection(t *testing.T) {
	ready := frame.Append(nil, 'Z', []byte("I"))
	cases := map[string][]byte{
		"early ReadyForQuery": ready,
		"key data":            frame.Append(nil, 'K', make([]byte, 8)),
		"copy":                frame.Append(nil, 'G', []byte{0, 0, 0}),
		"unknown":             frame.Append(nil, 0xff, nil),
		"length too short":    {'C', 0, 0, 0, 1},
		"malformed error":     frame.Append(nil, 'E', []byte("S")),
		"cut":                 {'D', 0, 0},
		"long ReadyForQuery":  append(append(frame.Append(nil, '2', nil), frame.Append(nil, 'C', []byte("SELECT 0\x00"))...), frame.Append(nil, 'Z', []byte("II"))...),
	}
	for name, answer := range cases {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		var work errgroup.Group
		work.Go(func() error { return answerOnce(l, append(ready, answer...)) })
		c := dialRaw(g, l.Addr().String())
		step, err := NewPrepared(stmt.Scan("SELECT 1"), nil).Bind(pgproto3.Bind{})
		g.Expect(err).NotTo(HaveOccurred())
		var out frames
		_, err = c.Run(&Batch{Steps: []Step{step, {Op: OpExecute, Raw: frame.Append(nil, 'E', make([]byte, 5))}}}, &Preconditions{}, &out, time.Now().Add(time.Second))
		var lost *LostError
		g.Expect(errors.As(err, &lost)).To(BeTrue(), "%s: %v", name, err)
		g.Expect(c.Clean()).To(BeFalse(), name)
		g.Expect(out).NotTo(ContainElement(byte('Z')), name)
		g.Expect(c.Close()).To(Succeed())
		g.Expect(work.Wait()).To(Succeed())
	}
}

func dialRaw(g *WithT, address string) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := Dial(ctx, "e", address, Credentials{})
	g.Expect(err).NotTo(HaveOccurred())
	c.prepared[NewPrepared(stmt.Scan("SELECT 1"), nil).name] = struct{}{}
	return c
}

// answerOnce accepts one connection and sends answer regardless of the input.
func answerOnce(l net.Listener, answer []byte) error {
	defer func() { _ = l.Close() }()
	socket, err := l.Accept()
	if err != nil {
		return err
	}
	if _, err := socket.Write(answer); err != nil {
		return err
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = socket.Read(make([]byte, 1))
	for err == nil {
		_, err = socket.Read(make([]byte, 1<<10))
	}
	return socket.Close()
}
