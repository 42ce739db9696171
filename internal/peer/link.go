package peer

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var errFinished = errors.New("connection closed locally")

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

	// lastReceived is when data last arrived from the peer, lastRequest when a
	// message that expects a reply was last sent to it. Both are in nanoseconds
	// since openedAt.
	openedAt     time.Time
	lastReceived atomic.Int64
	lastRequest  atomic.Int64
	// lastByte is when any part of a message last arrived, and incomplete how many
	// bytes have arrived of a message that is incomplete.
	lastByte   atomic.Int64
	incomplete atomic.Int64
	inbound    bytes.Buffer // the message that is being read

	queue     chan frame
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

// end returns how the link ended, for the observer.
func (l *link) end(cause error) LinkEnd {
	lasted := time.Since(l.openedAt)
	return LinkEnd{
		Cause: cause, Lasted: lasted, Idle: lasted - time.Duration(l.lastByte.Load()),
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
	select {
	case l.queue <- f:
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

func (l *link) read(ctx context.Context) error {
	for {
		raw, err := l.readMessage(ctx)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		l.lastReceived.Store(int64(time.Since(l.openedAt)))
		m, err := Decode(raw)
		if errors.Is(err, ErrUnknownKind) {
			l.stats.unknown.Inc()
			continue
		}
		if err != nil {
			l.stats.malformed.Inc()
			return err
		}
		l.stats.countReceived(KindOf(m), len(raw))
		if _, ok := m.(Last); ok {
			return l.answerLast(ctx)
		}
		l.receive(m)
	}
}

// readMessage reads one message and records when its parts arrive. The result is
// valid until the next call.
func (l *link) readMessage(ctx context.Context) ([]byte, error) {
	_, r, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	if l.inbound.Cap() > maxKeptBuffer {
		l.inbound = bytes.Buffer{}
	}
	l.inbound.Reset()
	l.incomplete.Store(0)
	if _, err := l.inbound.ReadFrom(&progressReader{source: r, link: l}); err != nil {
		return nil, err
	}
	l.incomplete.Store(0)
	return l.inbound.Bytes(), nil
}

// progressReader records the arrival of data.
type progressReader struct {
	source io.Reader
	link   *link
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	if n > 0 {
		p.link.lastByte.Store(int64(time.Since(p.link.openedAt)))
		p.link.incomplete.Add(int64(n))
	}
	return n, err
}

// answerLast finishes the link after the peer's last message.
func (l *link) answerLast(ctx context.Context) error {
	l.finish()
	select {
	case <-l.sentLast:
		return errFinished
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.flush:
			return l.drain(ctx)
		case f := <-l.queue:
			if err := l.writeOne(ctx, f); err != nil {
				return err
			}
		}
	}
}

func (l *link) drain(ctx context.Context) error {
	for {
		select {
		case f := <-l.queue:
			if err := l.writeOne(ctx, f); err != nil {
				return err
			}
		default:
			return l.writeLast(ctx)
		}
	}
}

// writeLast sends the last message and waits until the reader has received the
// peer's, for a limited time.
func (l *link) writeLast(ctx context.Context) error {
	bytes, err := Encode(Last{})
	if err != nil {
		return err
	}
	l.queued.Add(int64(len(bytes)))
	if err := l.writeOne(ctx, frame{kind: LastKind, bytes: bytes}); err != nil {
		return err
	}
	close(l.sentLast)
	tasks.Pause(ctx, lastTimeout)
	return errFinished
}

func (l *link) writeOne(ctx context.Context, f frame) error {
	l.queued.Add(-int64(len(f.bytes)))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, f.bytes); err != nil {
		return errors.Wrapf(err, "write %s", f.kind)
	}
	l.stats.countSent(f.kind, len(f.bytes))
	return nil
}

// keepAlive pings the peer when a ping is due. It returns an error if the peer
// does not answer in time.
func (l *link) keepAlive(ctx context.Context) error {
	t := time.NewTicker(l.options.pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if !l.pingDue(time.Since(l.openedAt)) {
				continue
			}
			if err := l.ping(ctx); err != nil {
				return errors.Wrap(err, "ping")
			}
		}
	}
}

// pingDue reports whether the peer has to be pinged. While a reply is
// outstanding, the interval is short. Otherwise it grows with the number of
// peers, which bounds the instance's total ping rate.
func (l *link) pingDue(now time.Duration) bool {
	received, requested := time.Duration(l.lastReceived.Load()), time.Duration(l.lastRequest.Load())
	if requested >= received && requested > 0 {
		return now-received >= l.options.pingInterval
	}
	return now-received >= max(l.options.pingInterval, time.Duration(l.peerCount())*pingSpacing)
}

func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.pingTimeout)
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		return err
	}
	l.lastReceived.Store(int64(time.Since(l.openedAt)))
	return nil
}
