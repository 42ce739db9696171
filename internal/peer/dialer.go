package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const path = "/peer"

// dialer keeps one connection to one peer open.
type dialer struct {
	mesh    *Mesh
	peer    ident.Instance
	address string
	cancel  context.CancelFunc
}

// startDialer is called with the mesh's mutex held and the mesh open.
func (m *Mesh) startDialer(peer ident.Instance, address string) *dialer {
	ctx, cancel := context.WithCancel(m.group.Context())
	d := &dialer{mesh: m, peer: peer, address: address, cancel: cancel}
	m.group.Go(func(context.Context) error {
		defer cancel()
		d.run(ctx)
		return nil
	})
	return d
}

func (d *dialer) run(ctx context.Context) {
	o := &d.mesh.options
	pause := o.backoffMin
	for ctx.Err() == nil {
		if d.mesh.linked(d.peer) {
			tasks.Pause(ctx, o.backoffMax)
			continue
		}
		carried, err := d.once(ctx)
		if carried {
			pause = o.backoffMin
		}
		klog.V(2).InfoS("Dialling again", "peer", d.peer, "reason", err)
		tasks.Pause(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, o.backoffMax)
	}
}

// once connects and carries the link until it ends. The link outlives ctx long
// enough to send what is queued.
func (d *dialer) once(ctx context.Context) (carried bool, err error) {
	c, hello, err := d.mesh.connect(ctx, d.address, d.peer)
	if err != nil {
		return false, err
	}
	l := d.mesh.newLink(hello, c)
	stop := context.AfterFunc(ctx, l.finish)
	defer stop()
	return true, d.mesh.carry(l)
}

// connect opens a connection to the instance at an address, which has to be
// peer unless that is empty.
func (m *Mesh) connect(ctx context.Context, address string, peer ident.Instance) (*websocket.Conn, Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if m.options.clientTLS != nil {
		scheme = "wss://"
	}
	c, _, err := websocket.Dial(ctx, scheme+address+path, &websocket.DialOptions{HTTPClient: m.client}) //nolint:bodyclose // closed by the library
	if err != nil {
		return nil, Hello{}, errors.Wrapf(err, "dial %s", address)
	}
	c.SetReadLimit(maxHandshake)
	own := m.hello()
	own.Introduces = peer == ""
	hello, err := greetListener(ctx, c, own, peer, m.secret)
	if err != nil {
		_ = c.CloseNow()
		m.refuse(peer, err)
		return nil, Hello{}, errors.Wrapf(err, "greet %s", address)
	}
	return c, hello, nil
}

// refuse counts and records a peer that failed to prove itself. Other errors,
// such as a connection that broke, are left to the dialer. Records are limited
// to one in reportInterval, so that a stranger can't push others off the time
// line.
func (m *Mesh) refuse(peer ident.Instance, err error) {
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrMalformed) {
		return
	}
	m.stats.refused.Inc()
	now := time.Now()
	last := m.reported.Load()
	if now.UnixNano()-last < int64(reportInterval) || !m.reported.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	m.log.Emit(now, PeerRefused, event.Subject{Peer: peer}, event.Ref{}, err.Error())
	klog.ErrorS(err, "Peer refused", "peer", peer)
}

func newClient(o *options) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: o.clientTLS, DialContext: o.connect}}
}
