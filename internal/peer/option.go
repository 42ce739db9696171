package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	heartbeatTimeout  = 700 * time.Millisecond
	handshakeTimeout  = 2 * time.Second
	writeTimeout      = time.Second
	backoffMin        = 50 * time.Millisecond
	backoffMax        = 2 * time.Second
	reportInterval    = time.Second
	// pingSpacing is the mean time between the pings that an instance sends to
	// all peers together while it waits for none of them: 1 % of a core at some
	// 0.2 ms for both ends.
	pingSpacing = 16 * time.Millisecond

	queueMessages = 256
	queueBytes    = 4 * MaxFrame
	// maxHandshakes bounds the connections that have not proved themselves.
	maxHandshakes = 64
)

type options struct {
	heartbeatInterval time.Duration
	heartbeatTimeout  time.Duration
	handshakeTimeout  time.Duration
	backoffMin        time.Duration
	backoffMax        time.Duration
	queueMessages     int
	serverTLS         *tls.Config
	clientTLS         *tls.Config
	connect           func(ctx context.Context, network, address string) (net.Conn, error)
	watch             func(peer ident.Instance, up bool, cause error)
}

func defaultOptions() options {
	return options{
		heartbeatInterval: heartbeatInterval,
		heartbeatTimeout:  heartbeatTimeout,
		handshakeTimeout:  handshakeTimeout,
		backoffMin:        backoffMin,
		backoffMax:        backoffMax,
		queueMessages:     queueMessages,
		watch:             func(ident.Instance, bool, error) {},
	}
}

// Option changes a default of a Mesh.
type Option func(*options)

// WithPing sets how often a peer is pinged and how long it may take to
// answer. A frozen peer counts as gone after their sum.
func WithPing(interval, timeout time.Duration) Option {
	return func(o *options) { o.heartbeatInterval, o.heartbeatTimeout = interval, timeout }
}

// WithBackoff sets the shortest and the longest pause between two dials of the
// same peer.
func WithBackoff(shortest, longest time.Duration) Option {
	return func(o *options) { o.backoffMin, o.backoffMax = shortest, longest }
}

// WithQueue sets how many messages may wait for one peer before further ones
// are dropped.
func WithQueue(messages int) Option {
	return func(o *options) { o.queueMessages = messages }
}

// WithTLS makes both sides use mutual TLS. The server side must require and
// verify client certificates, the client side must hold one.
func WithTLS(server, client *tls.Config) Option {
	return func(o *options) { o.serverTLS, o.clientTLS = server, client }
}

// WithLinkObserver makes the mesh call f, which must not block, when a
// connection to a peer is open and when it is lost, then with the cause.
func WithLinkObserver(f func(peer ident.Instance, up bool, cause error)) Option {
	return func(o *options) { o.watch = f }
}

// WithDialer makes the mesh open connections with f.
func WithDialer(f func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.connect = f }
}
