package emul

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// pastDeadline makes pending reads and writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// Network is an in-memory network for tests on virtual time. Addresses are
// HOST:PORT with any host name.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	cut        map[[2]string]bool
	poweredOff map[string]bool
	links      map[string]*hostLink
	conns      []*conn
	pumps      sync.WaitGroup
}

// Close closes all connections and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	conns := n.conns
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	n.pumps.Wait()
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[[2]string]bool), poweredOff: make(map[string]bool), links: make(map[string]*hostLink)}
}

// Throttle limits what a host sends and what it receives, each to a number of
// bytes a second. It applies to connections that are opened later.
func (n *Network) Throttle(host string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = newHostLink(rate)
}

// linkOf returns the link of a host, nil if its bandwidth is not limited.
func (n *Network) linkOf(host string) *hostLink {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[host]
}

// Listen accepts connections to an address. It returns EADDRINUSE if the
// address is taken.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, address)
	}
	l := &listener{network: n, address: address, backlog: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Cut partitions two hosts or ends their partition. Bytes sent during the
// partition are lost.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// PowerOff permanently stops all traffic from and to a host.
func (n *Network) PowerOff(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.poweredOff[host] = true
}

// blocked reports whether traffic between two hosts is lost.
func (n *Network) blocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}] || n.poweredOff[a] || n.poweredOff[b]
}

// From returns a dial function for programs on host.
func (n *Network) From(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "address")
		}
		if n.blocked(host, to) {
			<-ctx.Done()
			return nil, errors.Wrap(os.ErrDeadlineExceeded, "connect")
		}
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.Wrapf(syscall.ECONNREFUSED, "connect %s", address)
		}
		return l.connect(ctx, host, to)
	}
}

type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) connect(ctx context.Context, from, to string) (net.Conn, error) {
	a, b := net.Pipe()
	local, remote := newConn(a, l.network, from, to), newConn(b, l.network, to, from)
	select {
	case l.backlog <- remote:
		return local, nil
	case <-l.done:
	case <-ctx.Done():
	}
	_, _ = local.Close(), remote.Close()
	return nil, errors.Wrapf(syscall.ECONNREFUSED, "connect %s", l.address)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

const (
	// sendChunks is how many writes a connection buffers before they block, and
	// windowChunks the same of a host whose bandwidth is limited.
	sendChunks   = 1024
	windowChunks = 8
	// closeTime is how long a closed connection keeps delivering buffered writes.
	closeTime = time.Second
)

// conn is one end of a connection. Like a socket's, its writes are buffered.
// Writes are lost while the two hosts are partitioned.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	// sending and receiving are the links of the two hosts, nil if they are not
	// limited.
	sending, receiving *hostLink

	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

func newConn(raw net.Conn, n *Network, from, to string) *conn {
	c := &conn{Conn: raw, network: n, from: from, to: to, sending: n.linkOf(from), receiving: n.linkOf(to), closed: make(chan struct{})}
	chunks := sendChunks
	if c.sending != nil || c.receiving != nil {
		chunks = windowChunks
	}
	c.queue = make(chan []byte, chunks)
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	n.pumps.Go(c.pump)
	return c
}

// pump delivers buffered writes until the connection is closed, and then the
// remaining ones.
func (c *conn) pump() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case b := <-c.queue:
			c.deliver(b)
		case <-c.closed:
			_ = c.SetWriteDeadline(time.Now().Add(closeTime))
			for len(c.queue) > 0 {
				c.deliver(<-c.queue)
			}
			if c.network.blocked(c.from, c.to) {
				time.Sleep(closeTime) // the remote end can't see the close yet
			}
			return
		}
	}
}

func (c *conn) deliver(b []byte) {
	for len(b) > 0 {
		packet := b[:min(len(b), packetBytes)]
		b = b[len(packet):]
		c.sending.send(packet)
		c.receiving.receive(packet)
		if !c.network.blocked(c.from, c.to) {
			_, _ = c.Conn.Write(packet)
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.closed: // select would choose at random if there is room, too
		return 0, net.ErrClosed
	default:
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.queue <- append([]byte(nil), b...):
		return len(b), nil
	}
}

// SetDeadline implements net.Conn. It affects only reads, as writes are
// buffered.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		_ = c.SetReadDeadline(pastDeadline)
		_ = c.SetWriteDeadline(time.Now().Add(closeTime)) // the pump may be writing to an end that does not read
	})
	return nil
}

// ServeListener accepts and serves the server's connections until the listener
// closes.
func (s *Server) ServeListener(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.group.serving.Go(func() { s.Serve(c) })
	}
}
