package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrRefused reports a peer that did not prove that it knows the secret, or
// that is not the instance it should be.
var ErrRefused = errors.New("peer refused")

const (
	nonceBytes   = 32
	maxHandshake = 2 << 10

	dialerRole   = "dialer"
	listenerRole = "listener"
)

type nonce []byte

func newNonce() nonce {
	n := make(nonce, nonceBytes)
	_, _ = rand.Read(n) // crypto/rand.Read never fails
	return n
}

// greeting is the dialer's first message.
type greeting struct {
	Hello Hello
	Nonce nonce
}

// reply is the listener's message: its own greeting and its proof.
type reply struct {
	Greeting greeting
	Proof    []byte
}

// closing is the dialer's proof.
type closing struct{ Proof []byte }

// transcript is what both proofs cover. The role keeps one side's proof from
// being reflected as the other's, the nonces keep it from being replayed.
type transcript struct {
	Role     string
	Dialer   greeting
	Listener greeting
}

func prove(secret []byte, t transcript) ([]byte, error) {
	text, err := encoder.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "encode transcript")
	}
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(text)
	return mac.Sum(nil), nil
}

func verify(secret []byte, t transcript, proof []byte) error {
	want, err := prove(secret, t)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, proof) {
		return errors.Wrapf(ErrRefused, "wrong proof of the %s", t.Role)
	}
	return nil
}

// greetListener runs the dialer's side of the handshake and returns what the
// listener said about itself. An empty peer is any instance.
func greetListener(ctx context.Context, c *websocket.Conn, self Hello, peer ident.Instance, secret []byte) (Hello, error) {
	own := greeting{Hello: self, Nonce: newNonce()}
	if err := writeFrame(ctx, c, own); err != nil {
		return Hello{}, errors.Wrap(err, "send greeting")
	}
	var r reply
	if err := readFrame(ctx, c, &r); err != nil {
		return Hello{}, errors.Wrap(err, "read reply")
	}
	t := transcript{Role: listenerRole, Dialer: own, Listener: r.Greeting}
	if err := verify(secret, t, r.Proof); err != nil {
		return Hello{}, err
	}
	if err := checkHello(self, r.Greeting); err != nil {
		return Hello{}, err
	}
	if peer != "" && r.Greeting.Hello.Instance != peer {
		return Hello{}, errors.Wrapf(ErrRefused, "reached %q in place of %q", r.Greeting.Hello.Instance, peer)
	}
	t.Role = dialerRole
	proof, err := prove(secret, t)
	if err != nil {
		return Hello{}, err
	}
	return r.Greeting.Hello, errors.Wrap(writeFrame(ctx, c, closing{Proof: proof}), "send proof")
}

// greetDialer runs the listener's side of the handshake and returns what the
// dialer said about itself.
func greetDialer(ctx context.Context, c *websocket.Conn, self Hello, secret []byte) (Hello, error) {
	var g greeting
	if err := readFrame(ctx, c, &g); err != nil {
		return Hello{}, errors.Wrap(err, "read greeting")
	}
	if err := checkHello(self, g); err != nil {
		return Hello{}, err
	}
	own := greeting{Hello: self, Nonce: newNonce()}
	t := transcript{Role: listenerRole, Dialer: g, Listener: own}
	proof, err := prove(secret, t)
	if err != nil {
		return Hello{}, err
	}
	if err := writeFrame(ctx, c, reply{Greeting: own, Proof: proof}); err != nil {
		return Hello{}, errors.Wrap(err, "send reply")
	}
	var last closing
	if err := readFrame(ctx, c, &last); err != nil {
		return Hello{}, errors.Wrap(err, "read proof")
	}
	t.Role = dialerRole
	return g.Hello, verify(secret, t, last.Proof)
}

func checkHello(self Hello, g greeting) error {
	h := g.Hello
	switch {
	case len(g.Nonce) != nonceBytes:
		return errors.Wrapf(ErrRefused, "nonce of %d bytes", len(g.Nonce))
	case h.Instance == "" || h.Instance == self.Instance:
		return errors.Wrapf(ErrRefused, "instance %q", h.Instance)
	case h.Environment != self.Environment:
		return errors.Wrapf(ErrRefused, "environment %q", h.Environment)
	case h.Protocol < 1:
		return errors.Wrapf(ErrRefused, "protocol %d", h.Protocol)
	}
	return nil
}

func writeFrame(ctx context.Context, c *websocket.Conn, v any) error {
	frame, err := encoder.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	return c.Write(ctx, websocket.MessageBinary, frame)
}

func readFrame(ctx context.Context, c *websocket.Conn, v any) error {
	_, frame, err := c.Read(ctx)
	if err != nil {
		return err
	}
	if err := decoder.Unmarshal(frame, v); err != nil {
		return errors.Wrapf(ErrMalformed, "handshake: %v", err)
	}
	return nil
}
