package endpt

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	chunkQueueDepth = 1024
	chunkBytes      = 16 << 10
)

type chunk struct {
	data []byte
	due  time.Time
}

// delayedConn is a connection that delays every chunk by the latency, in each
// direction. Chunks in flight do not wait for each other. Nothing passes while
// one of its gates is closed.
type delayedConn struct {
	net.Conn
	latency func() time.Duration
	gates   []*gate
	in      chan chunk
	out     chan chunk
	unread  []byte
	closing chan struct{}
	once    sync.Once
	ctx     context.Context
	// sent returns how many bytes of a write of the given size are sent. It is
	// nil while all are.
	sent func(size int) int
}

func newDelayedConn(g *tasks.Group, c net.Conn, latency func() time.Duration, gates ...*gate) *delayedConn {
	l := &delayedConn{
		Conn: c, latency: latency, gates: gates, ctx: g.Context(),
		in: make(chan chunk, chunkQueueDepth), out: make(chan chunk, chunkQueueDepth),
		closing: make(chan struct{}),
	}
	g.Go(l.receiveLoop)
	g.Go(l.sendLoop)
	return l
}

// Read implements net.Conn.
func (d *delayedConn) Read(p []byte) (int, error) {
	if len(d.unread) == 0 {
		select {
		case c, ok := <-d.in:
			if !ok {
				return 0, io.EOF
			}
			d.waitUntil(c.due)
			d.unread = c.data
		case <-d.closing:
			return 0, net.ErrClosed
		case <-d.ctx.Done():
			return 0, net.ErrClosed
		}
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (d *delayedConn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if d.sent != nil {
		data = data[:d.sent(len(data))]
	}
	select {
	case d.out <- chunk{data: data, due: time.Now().Add(d.latency())}:
		return len(p), nil
	case <-d.closing:
		return 0, net.ErrClosed
	case <-d.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. Data that was written before is still sent.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.closing) })
	return nil
}

func (d *delayedConn) receiveLoop(context.Context) error {
	defer close(d.in)
	for {
		buf := make([]byte, chunkBytes)
		n, err := d.Conn.Read(buf)
		if n > 0 && !d.push(chunk{data: buf[:n], due: time.Now().Add(d.latency())}) {
			return nil
		}
		if err != nil {
			return nil
		}
	}
}

func (d *delayedConn) push(c chunk) bool {
	select {
	case d.in <- c:
		return true
	case <-d.closing:
		return false
	case <-d.ctx.Done():
		return false
	}
}

func (d *delayedConn) sendLoop(ctx context.Context) error {
	defer func() { _ = d.Conn.Close() }()
	cut := context.AfterFunc(ctx, func() { _ = d.Conn.Close() })
	defer cut()
	for {
		select {
		case c := <-d.out:
			d.send(c)
		case <-d.closing:
			d.drain()
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *delayedConn) drain() {
	for {
		select {
		case c := <-d.out:
			d.send(c)
		default:
			return
		}
	}
}

func (d *delayedConn) send(c chunk) {
	d.waitUntil(c.due)
	_, _ = d.Conn.Write(c.data)
}

func (d *delayedConn) waitUntil(due time.Time) {
	tasks.Pause(d.ctx, time.Until(due))
	for _, g := range d.gates {
		g.wait(d.ctx)
	}
}

// gate blocks the traffic that passes through it while it is closed.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{}
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.reopened == nil:
		g.reopened = make(chan struct{})
	case !closed && g.reopened != nil:
		close(g.reopened)
		g.reopened = nil
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened != nil
}

func (g *gate) wait(ctx context.Context) {
	for {
		g.mu.Lock()
		ch := g.reopened
		g.mu.Unlock()
		if ch == nil {
			return
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return
		}
	}
}
