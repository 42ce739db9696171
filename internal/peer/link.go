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

	queue  chan frame
	queued atomic.Int64
	flush  chan struct{}
	once   sync.Once
	group  *tasks.Group
	done   chan struct{}
}

func newLink(peer Hello, conn *websocket.Conn, o *options, s *stats, receive func(Message)) *link {
	return &link{
		peer:    peer,
		conn:    conn,
		options: o,
		stats:   s,
		receive: receive,
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

// beat pings the peer. A peer that does not answer in time is gone.
func (l *link) beat(ctx context.Context) error {
	t := time.NewTicker(l.options.heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if err := l.ping(ctx); err != nil {
				return errors.Wrap(err, "ping")
			}
		}
	}
}

func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.heartbeatTimeout)
	defer cancel()
	return l.conn.Ping(ctx)
}
