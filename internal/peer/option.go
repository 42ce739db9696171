package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	pingInterval     = 250 * time.Millisecond
	pingTimeout      = 700 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	writeTimeout     = time.Second
	// lastTimeout is how long a side that has sent its last message waits for
	// that of the peer: a round trip and the writing of a queue.
	lastTimeout           = 300 * time.Millisecond
	minBackoff            = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
	refusalRecordInterval = time.Second
	// pingSpacing is the average time between two pings of an instance, over
	// all peers from which no reply is outstanding. A ping takes about 0.2 ms
	// of CPU time on both ends together, so pings use about 1 % of a core.
	pingSpacing = 16 * time.Millisecond
	// unreachableAfter is how long dialling a peer fails before the peer is
	// reported as unreachable. It covers a restart of the peer's process.
	unreachableAfter = time.Second
	// mutualDialDelay is how long the instance with the greater name waits for
	// the other one to open a link that both plan.
	mutualDialDelay = time.Second

	// maxKeptBuffer is the size of a buffer, in bytes, that is used for further
	// messages.
	maxKeptBuffer = 64 << 10

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
	onLinkChange      func(peer ident.Process, up bool, end LinkEnd)
	onUnreachable     func(peer ident.Instance)
	fleetSize         func() int
}

func defaultOptions() options {
	return options{
		pingInterval:      pingInterval,
		pingTimeout:       pingTimeout,
		handshakeTimeout:  handshakeTimeout,
		minBackoff:        minBackoff,
		maxBackoff:        maxBackoff,
		maxQueuedMessages: maxQueuedMessages,
		onLinkChange:      func(ident.Process, bool, LinkEnd) {},
		onUnreachable:     func(ident.Instance) {},
		fleetSize:         func() int { return 0 },
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
// and when it is lost, then with how it ended. f must not block.
func WithLinkObserver(f func(peer ident.Process, up bool, end LinkEnd)) Option {
	return func(o *options) { o.onLinkChange = f }
}

// WithDialObserver makes the mesh call f when it fails repeatedly to dial a
// peer. f must not block.
func WithDialObserver(f func(peer ident.Instance)) Option {
	return func(o *options) { o.onUnreachable = f }
}

// WithFleetSize makes the intervals between pings depend on the number of
// instances that f returns, if it exceeds the number of links.
func WithFleetSize(f func() int) Option {
	return func(o *options) { o.fleetSize = f }
}

// WithDialer makes the mesh open connections with f.
func WithDialer(f func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.connect = f }
}
