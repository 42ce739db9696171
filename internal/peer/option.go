package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	pingInterval          = 250 * time.Millisecond
	pingTimeout           = 700 * time.Millisecond
	handshakeTimeout      = 2 * time.Second
	writeTimeout          = time.Second
	minBackoff            = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
	refusalRecordInterval = time.Second
	// pingSpacing is the average time between two pings of an instance, over
	// all peers from which no reply is outstanding. A ping takes about 0.2 ms
	// of CPU time on both ends together, so pings use about 1 % of a core.
	pingSpacing = 16 * time.Millisecond

	maxQueuedMessages = 256
	maxQueuedBytes    = 4 * MaxFrame
	// maxHandshakes limits the connections that have not completed the
	// handshake.
	maxHandshakes = 64
)

type options struct {
	pingInterval      time.Duration
	pingTimeout       time.Duration
	handshakeTimeout  time.Duration
	minBackoff        time.Duration
	maxBackoff        time.Duration
	maxQueuedMessages int
	serverTLS         *tls.Config
	clientTLS         *tls.Config
	connect           func(ctx context.Context, network, address string) (net.Conn, error)
	onLinkChange      func(peer ident.Instance, up bool, cause error)
}

func defaultOptions() options {
	return options{
		pingInterval:      pingInterval,
		pingTimeout:       pingTimeout,
		handshakeTimeout:  handshakeTimeout,
		minBackoff:        minBackoff,
		maxBackoff:        maxBackoff,
		maxQueuedMessages: maxQueuedMessages,
		onLinkChange:      func(ident.Instance, bool, error) {},
	}
}

// Option configures a Mesh.
type Option func(*options)

// WithPing sets how often a peer is pinged and how long it may take to answer.
// A frozen peer is detected after the sum of both.
func WithPing(interval, timeout time.Duration) Option {
	return func(o *options) { o.pingInterval, o.pingTimeout = interval, timeout }
}

// WithBackoff sets the minimum and the maximum pause between two attempts to
// dial the same peer.
func WithBackoff(shortest, longest time.Duration) Option {
	return func(o *options) { o.minBackoff, o.maxBackoff = shortest, longest }
}

// WithQueue sets how many messages may be queued for a peer before further ones
// are dropped.
func WithQueue(messages int) Option {
	return func(o *options) { o.maxQueuedMessages = messages }
}

// WithTLS enables mutual TLS. The server configuration must require and verify
// client certificates, and the client configuration must contain one.
func WithTLS(server, client *tls.Config) Option {
	return func(o *options) { o.serverTLS, o.clientTLS = server, client }
}

// WithLinkObserver makes the mesh call f when a connection to a peer is opened
// and when it is lost, then with the cause. f must not block.
func WithLinkObserver(f func(peer ident.Instance, up bool, cause error)) Option {
	return func(o *options) { o.onLinkChange = f }
}

// WithDialer makes the mesh open connections with f.
func WithDialer(f func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.connect = f }
}
