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

// ErrRefused reports a peer that failed to prove that it knows the shared
// secret, or that is not the expected instance.
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

// listenerReply is the listener's only message: its own greeting and its proof.
type listenerReply struct {
	Greeting greeting
	Proof    []byte
}

// dialerProof is the dialer's second message.
type dialerProof struct{ Proof []byte }

// transcript is the data that both proofs cover. The role prevents one side's
// proof from being reflected as the other side's, and the nonces prevent
// replays.
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
		return errors.Wrapf(ErrRefused, "wrong proof from the %s", t.Role)
	}
	return nil
}

// handshakeAsDialer performs the dialer's side of the handshake and returns the
// listener's Hello. An empty peer accepts any instance.
func handshakeAsDialer(ctx context.Context, c *websocket.Conn, self Hello, peer ident.Instance, secret []byte) (Hello, error) {
	own := greeting{Hello: self, Nonce: newNonce()}
	if err := writeFrame(ctx, c, own); err != nil {
		return Hello{}, errors.Wrap(err, "send greeting")
	}
	var r listenerReply
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
		return Hello{}, errors.Wrapf(ErrRefused, "reached instance %q instead of %q", r.Greeting.Hello.Instance, peer)
	}
	t.Role = dialerRole
	proof, err := prove(secret, t)
	if err != nil {
		return Hello{}, err
	}
	return r.Greeting.Hello, errors.Wrap(writeFrame(ctx, c, dialerProof{Proof: proof}), "send proof")
}

// handshakeAsListener performs the listener's side of the handshake and returns
// the dialer's Hello.
func handshakeAsListener(ctx context.Context, c *websocket.Conn, self Hello, secret []byte) (Hello, error) {
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
	if err := writeFrame(ctx, c, listenerReply{Greeting: own, Proof: proof}); err != nil {
		return Hello{}, errors.Wrap(err, "send reply")
	}
	var closing dialerProof
	if err := readFrame(ctx, c, &closing); err != nil {
		return Hello{}, errors.Wrap(err, "read proof")
	}
	t.Role = dialerRole
	return g.Hello, verify(secret, t, closing.Proof)
}

func checkHello(self Hello, g greeting) error {
	h := g.Hello
	switch {
	case len(g.Nonce) != nonceBytes:
		return errors.Wrapf(ErrRefused, "nonce of %d bytes, want %d", len(g.Nonce), nonceBytes)
	case h.Instance == "" || h.Instance == self.Instance:
		return errors.Wrapf(ErrRefused, "invalid instance name %q", h.Instance)
	case h.Environment != self.Environment:
		return errors.Wrapf(ErrRefused, "environment %q, want %q", h.Environment, self.Environment)
	case h.Protocol < 1:
		return errors.Wrapf(ErrRefused, "unsupported protocol version %d", h.Protocol)
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
