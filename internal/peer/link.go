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

func (l *link) read(ctx context.Context) error {
	for {
		raw, err := l.readMessage(ctx)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		m, size, err := l.decode(raw)
		if errors.Is(err, ErrUnknownKind) {
			l.stats.unknown.Inc()
			continue
		}
		if err != nil {
			l.stats.malformed.Inc()
			return err
		}
		if m == nil {
			continue
		}
		l.stats.countReceived(KindOf(m), size)
		if _, ok := m.(Last); ok {
			return l.answerLast(ctx)
		}
		l.receive(m)
	}
}

// decode decodes a frame, or the frame whose last part it is, and returns the size
// of that frame. It returns nil if parts are missing.
func (l *link) decode(raw []byte) (Message, int, error) {
	m, err := Decode(raw)
	if err != nil {
		return nil, 0, err
	}
	if _, ok := m.(PartReceived); ok {
		l.partReceived()
		return nil, 0, nil
	}
	p, ok := m.(Part)
	if !ok {
		return m, len(raw), nil
	}
	if err := l.confirmPart(); err != nil {
		return nil, 0, err
	}
	joined, err := l.joiner.add(p)
	l.incomplete.Store(int64(len(l.joiner.bytes)))
	if joined == nil {
		return nil, 0, err
	}
	m, err = Decode(joined)
	if _, nested := m.(Part); nested {
		return nil, 0, errors.Wrap(ErrMalformed, "part in parts")
	}
	return m, len(joined), err
}

// partReceived tells the writer that the peer has received a part.
func (l *link) partReceived() {
	select {
	case l.received <- struct{}{}:
	default: // more than were sent
	}
}

// confirmPart tells the peer that a part was received.
func (l *link) confirmPart() error {
	encoded, err := Encode(PartReceived{})
	if err != nil {
		return err
	}
	if !l.send(frame{kind: PartReceivedKind, bytes: encoded}) {
		return errQueueFull
	}
	return nil
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
	if _, err := l.inbound.ReadFrom(&progressReader{source: r, link: l}); err != nil {
		return nil, err
	}
	l.incomplete.Store(int64(len(l.joiner.bytes)))
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
		p.link.markReceived()
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

// write sends queued messages. A short one goes before the next part of a large
// one. Once the link is to be finished, it sends what is queued.
func (l *link) write(ctx context.Context) error {
	flush := l.flush
	for {
		progress, err := l.writeQueued(ctx)
		if err != nil {
			return err
		}
		if progress {
			continue
		}
		if flush == nil && l.emptied() {
			return l.writeLast(ctx)
		}
		if err := l.awaitWork(ctx, &flush); err != nil {
			return err
		}
	}
}

// awaitWork waits for something to do. It sets flush to nil once the link is to be
// finished.
func (l *link) awaitWork(ctx context.Context, flush *chan struct{}) error {
	large := l.large
	if l.splitter.busy() {
		large = nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-*flush:
		*flush = nil
	case <-l.received:
		l.splitter.received()
	case f := <-l.queue:
		return l.writeOne(ctx, f)
	case f := <-large:
		l.splitter.start(f)
	}
	return nil
}

// emptied reports whether nothing is left to be sent.
func (l *link) emptied() bool {
	return !l.splitter.busy() && len(l.queue) == 0 && len(l.large) == 0
}

// writeQueued sends some short messages and one part of a large one, as far as they
// are queued. It reports whether it sent anything.
func (l *link) writeQueued(ctx context.Context) (bool, error) {
	short, err := l.writeShort(ctx)
	if err != nil {
		return false, err
	}
	part, err := l.writePart(ctx)
	return short || part, err
}

// writeShort sends up to maxShortRun short messages and reports whether there were
// any.
func (l *link) writeShort(ctx context.Context) (bool, error) {
	for n := range maxShortRun {
		select {
		case f := <-l.queue:
			if err := l.writeOne(ctx, f); err != nil {
				return false, err
			}
		default:
			return n > 0, nil
		}
	}
	return true, nil
}

// writePart sends the next part of a large message and reports whether there was
// one that could be sent.
func (l *link) writePart(ctx context.Context) (bool, error) {
	if l.splitter.blocked() {
		return false, nil
	}
	if !l.splitter.busy() {
		select {
		case f := <-l.large:
			l.splitter.start(f)
		default:
			return false, nil
		}
	}
	whole := l.splitter.frame
	part, err := l.splitter.next()
	if err != nil {
		return false, err
	}
	if err := l.writeFrame(ctx, part); err != nil {
		return false, err
	}
	if !l.splitter.busy() {
		l.queued.Add(-int64(len(whole.bytes)))
		l.stats.countSent(whole.kind, len(whole.bytes))
	}
	return true, nil
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
	if err := l.writeFrame(ctx, f); err != nil {
		return err
	}
	l.stats.countSent(f.kind, len(f.bytes))
	return nil
}

func (l *link) writeFrame(ctx context.Context, f frame) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrapf(l.conn.Write(ctx, websocket.MessageBinary, f.bytes), "write %s", f.kind)
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

// ping pings the peer and waits for the answer, or until no data has arrived for
// the timeout. While data arrives, the answer may wait behind it.
func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentAt := time.Since(l.openedAt)
	answer := make(chan error, 1)
	l.tasks.Go(func(context.Context) error {
		answer <- l.conn.Ping(ctx)
		return nil
	})
	for {
		heard := max(sentAt, time.Duration(l.lastReceived.Load()))
		left := l.options.pingTimeout - (time.Since(l.openedAt) - heard)
		if left <= 0 {
			return errors.Wrap(context.DeadlineExceeded, "no data")
		}
		timer := time.NewTimer(left)
		select {
		case err := <-answer:
			timer.Stop()
			if err == nil {
				l.markReceived()
			}
			return err
		case <-timer.C:
		}
	}
}

func (l *link) markReceived() { l.lastReceived.Store(int64(time.Since(l.openedAt))) }
