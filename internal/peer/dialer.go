package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const path = "/peer"

// dialer keeps a connection to one peer open.
type dialer struct {
	mesh    *Mesh
	target  Target
	cancel  context.CancelFunc
	retired atomic.Bool // ends instead of dialling again
	ended   atomic.Bool
}

// startDialer starts a dialer. The caller holds the mutex of the mesh, and the
// mesh is not closed.
func (m *Mesh) startDialer(t Target) *dialer {
	ctx, cancel := context.WithCancel(m.tasks.Context())
	d := &dialer{mesh: m, target: t, cancel: cancel}
	m.tasks.Go(func(context.Context) error {
		defer cancel()
		defer d.ended.Store(true)
		d.run(ctx)
		return nil
	})
	return d
}

// serves reports whether the dialer keeps the link to t.
func (d *dialer) serves(t Target) bool {
	return d.target.Instance == t.Instance && d.target.Address == t.Address
}

func (d *dialer) run(ctx context.Context) {
	o := &d.mesh.options
	backoff := redialBackoff{shortest: o.minBackoff, longest: o.maxBackoff}
	var failingSince time.Time
	if d.target.Mutual && d.target.Instance < d.mesh.self.Instance {
		tasks.Pause(ctx, mutualDialDelay)
	}
	for ctx.Err() == nil && !d.retired.Load() {
		if d.mesh.isConnected(d.target.Instance) {
			failingSince = time.Time{}
			tasks.Pause(ctx, o.maxBackoff)
			continue
		}
		began := time.Now()
		connected, err := d.dialOnce(ctx)
		pause := backoff.next(connected, time.Since(began))
		failingSince = d.reportFailure(began, failingSince, connected)
		klog.V(2).InfoS("Connection to peer ended, dialling again", "peer", d.target.Instance, "reason", err)
		tasks.Pause(ctx, pause/2+rand.N(pause/2+1))
	}
}

// reportFailure reports a peer that could not be dialled for unreachableAfter.
// It returns since when dialling has failed, or zero after a success.
func (d *dialer) reportFailure(began, failingSince time.Time, connected bool) time.Time {
	if connected {
		return time.Time{}
	}
	if failingSince.IsZero() {
		failingSince = began
	}
	if time.Since(failingSince) >= unreachableAfter {
		d.mesh.options.onUnreachable(d.target.Instance)
	}
	return failingSince
}

// dialOnce connects to the peer and runs the link until it ends. When ctx ends,
// the link first sends what is queued.
func (d *dialer) dialOnce(ctx context.Context) (connected bool, err error) {
	conn, hello, err := d.mesh.connect(ctx, d.target.Address, d.target.Instance)
	if err != nil {
		return false, err
	}
	l := d.mesh.newLink(hello, d.mesh.self.Instance, conn)
	stop := context.AfterFunc(ctx, l.finish)
	defer stop()
	return true, d.mesh.runLink(l)
}

// connect opens a connection to address and performs the handshake. The
// instance at the address must be peer, unless peer is empty.
func (m *Mesh) connect(ctx context.Context, address string, peer ident.Instance) (*websocket.Conn, Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if m.options.clientTLS != nil {
		scheme = "wss://"
	}
	conn, _, err := websocket.Dial(ctx, scheme+address+path, &websocket.DialOptions{HTTPClient: m.client}) //nolint:bodyclose // closed by the library
	if err != nil {
		return nil, Hello{}, errors.Wrapf(err, "dial %s", address)
	}
	conn.SetReadLimit(maxHandshake)
	own := m.newHello()
	own.Unordered = peer < m.self.Instance // true for an unknown peer
	hello, err := handshakeAsDialer(ctx, conn, own, peer, m.secret)
	if err != nil {
		_ = conn.CloseNow()
		m.recordRefusal(peer, err)
		return nil, Hello{}, errors.Wrapf(err, "handshake with %s", address)
	}
	return conn, hello, nil
}

// recordRefusal counts a peer that failed authentication and records it in the
// event log. Other errors, such as a lost connection, are handled by the
// dialer. At most one record is written per refusalRecordInterval, so that a
// stranger cannot push other records out of the log.
func (m *Mesh) recordRefusal(peer ident.Instance, err error) {
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrMalformed) {
		return
	}
	m.stats.refused.Inc()
	now := time.Now()
	previous := m.lastRefusal.Load()
	if now.UnixNano()-previous < int64(refusalRecordInterval) || !m.lastRefusal.CompareAndSwap(previous, now.UnixNano()) {
		return
	}
	m.log.Emit(now, PeerRefused, event.Subject{Peer: peer}, event.Ref{}, err.Error())
	klog.ErrorS(err, "Peer refused", "peer", peer)
}

func newClient(o *options) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: o.clientTLS, DialContext: o.connect}}
}
