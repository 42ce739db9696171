package peer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var (
	errFinished  = errors.New("connection closed locally")
	errQueueFull = errors.New("send queue is full")
)

// frame is an encoded message in the send queue.
type frame struct {
	kind  Kind
	bytes []byte
}

// link is an authenticated connection. All its goroutines end together.
type link struct {
	peer    Hello
	dialer  ident.Instance // the side that opened the connection
	conn    *websocket.Conn
	options *options
	stats   *stats
	receive func(message Message)
	// peerCount returns the number of links of this instance, or the number of
	// instances if that is greater.
	peerCount func() int

	// lastReceived is when data last arrived from the peer, also of a message that
	// is incomplete. lastRequest is when a message that expects a reply was last sent
	// to it. Both are in nanoseconds since openedAt.
	openedAt     time.Time
	lastReceived atomic.Int64
	lastRequest  atomic.Int64
	// incomplete is how many bytes have arrived of a message that is incomplete.
	incomplete atomic.Int64
	inbound    bytes.Buffer // the message that is being read
	joiner     joiner       // of received parts

	queue chan frame
	// large holds the frames that are sent in parts, between those of queue.
	large     chan frame
	splitter  splitter
	received  chan struct{} // parts that the peer has received
	queued    atomic.Int64
	flush     chan struct{}
	flushOnce sync.Once
	sentLast  chan struct{} // closed once Last is sent
	tasks     *tasks.Group
	done      chan struct{}
}

func newLink(peer Hello, dialer ident.Instance, conn *websocket.Conn, o *options, s *stats, peers func() int, receive func(Message)) *link {
	return &link{
		peer:      peer,
		dialer:    dialer,
		conn:      conn,
		options:   o,
		stats:     s,
		receive:   receive,
		peerCount: peers,
		openedAt:  time.Now(),
		queue:     make(chan frame, o.maxQueuedMessages),
		large:     make(chan frame, o.maxQueuedMessages),
		received:  make(chan struct{}, maxPartsInFlight),
		flush:     make(chan struct{}),
		sentLast:  make(chan struct{}),
		tasks:     tasks.New(context.Background()),
		done:      make(chan struct{}),
	}
}

// run sends and receives messages until the connection fails or the link is
// closed. It always returns an error.
func (l *link) run() error {
	l.conn.SetReadLimit(MaxFrame)
	results := make(chan error, 3)
	for _, f := range []func(context.Context) error{l.read, l.write, l.keepAlive} {
		l.tasks.Go(func(ctx context.Context) error {
			results <- f(ctx)
			return nil
		})
	}
	err := <-results
	_ = l.conn.CloseNow()
	_ = l.tasks.Close()
	return err
}

// LinkEnd describes how a connection to a peer ended.
type LinkEnd struct {
	Cause  error
	Lasted time.Duration
	// Idle is how long before the end data last arrived.
	Idle time.Duration
	// Incomplete is how many bytes had arrived of an incomplete message, Queued how
	// many bytes waited to be sent.
	Incomplete int
	Queued     int
}

// end returns how the link ended, for the observer.
func (l *link) end(cause error) LinkEnd {
	lasted := time.Since(l.openedAt)
	return LinkEnd{
		Cause: cause, Lasted: lasted, Idle: lasted - time.Duration(l.lastReceived.Load()),
		Incomplete: int(l.incomplete.Load()), Queued: int(l.queued.Load()),
	}
}

// send queues a frame and reports whether it did. If the queue is full, the
// frame is dropped and counted.
func (l *link) send(f frame) bool {
	size := int64(len(f.bytes))
	if l.queued.Add(size) > maxQueuedBytes {
		l.queued.Add(-size)
		l.stats.dropped.Inc()
		return false
	}
	if expectsReply(f.kind) {
		l.lastRequest.Store(int64(time.Since(l.openedAt)))
	}
	queue := l.queue
	if len(f.bytes) > partBytes && l.peer.Protocol >= partsProtocol {
		queue = l.large
	}
	select {
	case queue <- f:
		return true
	default:
		l.queued.Add(-size)
		l.stats.dropped.Inc()
		return false
	}
}

// supersedes reports whether l replaces an earlier link to the same peer. When
// both sides dial at the same time, both keep the link of the smaller name.
func (l *link) supersedes(old *link) bool {
	if l.dialer == old.dialer || time.Since(old.openedAt) > l.options.handshakeTimeout {
		return true
	}
	return l.dialer < old.dialer
}

// finish closes the connection after sending what is queued, and after receiving
// what the peer has queued. Closing earlier would reset the connection, and the
// peer would lose messages that it has not read yet.
func (l *link) finish() { l.flushOnce.Do(func() { close(l.flush) }) }

// abort closes the connection immediately and waits for the link's goroutines.
func (l *link) abort() {
	_ = l.conn.CloseNow()
	l.finish()
	<-l.done
}
