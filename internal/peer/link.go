package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

var errFinished = errors.New("connection finished")

// frame is an encoded message that waits to be sent.
type frame struct {
	kind  Kind
	bytes []byte
}

// link is one authenticated connection. Its goroutines end together.
type link struct {
	peer    Hello
	conn    *websocket.Conn
	options *options
	stats   *stats
	receive func(message Message)
	// peers returns how many links this instance has.
	peers func() int

	// heard is when the peer was last heard, asked when it was last sent what it
	// answers, in nanoseconds since the link began.
	began time.Time
	heard atomic.Int64
	asked atomic.Int64

	queue  chan frame
	queued atomic.Int64
	flush  chan struct{}
	once   sync.Once
	group  *tasks.Group
	done   chan struct{}
}

func newLink(peer Hello, conn *websocket.Conn, o *options, s *stats, peers func() int, receive func(Message)) *link {
	return &link{
		peer:    peer,
		conn:    conn,
		options: o,
		stats:   s,
		receive: receive,
		peers:   peers,
		began:   time.Now(),
		queue:   make(chan frame, o.queueMessages),
		flush:   make(chan struct{}),
		group:   tasks.New(context.Background()),
		done:    make(chan struct{}),
	}
}

// run carries messages until the connection fails or the link is closed. Its
// error is never nil.
func (l *link) run() error {
	l.conn.SetReadLimit(MaxFrame)
	ends := make(chan error, 3)
	for _, f := range []func(context.Context) error{l.read, l.write, l.beat} {
		l.group.Go(func(ctx context.Context) error {
			ends <- f(ctx)
			return nil
		})
	}
	err := <-ends
	_ = l.conn.CloseNow()
	_ = l.group.Close()
	return err
}

// send queues a frame, or drops and counts it when too much waits already. It
// reports whether the frame was queued.
func (l *link) send(f frame) bool {
	size := int64(len(f.bytes))
	if l.queued.Add(size) > queueBytes {
		l.queued.Add(-size)
		l.stats.dropped.Inc()
		return false
	}
	if asks(f.kind) {
		l.asked.Store(int64(time.Since(l.began)))
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

// finish sends what is queued and closes the connection.
func (l *link) finish() { l.once.Do(func() { close(l.flush) }) }

// abort closes the connection at once and waits for the link's goroutines.
func (l *link) abort() {
	_ = l.conn.CloseNow()
	l.finish()
	<-l.done
}

func (l *link) read(ctx context.Context) error {
	for {
		_, raw, err := l.conn.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		l.heard.Store(int64(time.Since(l.began)))
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
		l.receive(m)
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
			return errFinished
		}
	}
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

// beat pings the peer when it is due. A peer that does not answer in time is
// gone.
func (l *link) beat(ctx context.Context) error {
	t := time.NewTicker(l.options.heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if !l.due(time.Since(l.began)) {
				continue
			}
			if err := l.ping(ctx); err != nil {
				return errors.Wrap(err, "ping")
			}
		}
	}
}

// due reports whether the peer has to prove that it lives: soon while an answer
// is owed, and otherwise the more rarely the more peers there are, so that the
// pings of an instance stay bounded.
func (l *link) due(now time.Duration) bool {
	heard, asked := time.Duration(l.heard.Load()), time.Duration(l.asked.Load())
	if asked >= heard && asked > 0 {
		return now-heard >= l.options.heartbeatInterval
	}
	return now-heard >= max(l.options.heartbeatInterval, time.Duration(l.peers())*pingSpacing)
}

func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.heartbeatTimeout)
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		return err
	}
	l.heard.Store(int64(time.Since(l.began)))
	return nil
}
