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
	linkDepth  = 1024
	chunkBytes = 16 << 10
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
	// writeLimit is the number of bytes that may still be written; negative
	// means unlimited.
	writeLimit int
}

func newDelayedConn(g *tasks.Group, c net.Conn, latency func() time.Duration, gates ...*gate) *delayedConn {
	l := &delayedConn{
		Conn: c, latency: latency, gates: gates, ctx: g.Context(),
		in: make(chan chunk, linkDepth), out: make(chan chunk, linkDepth),
		closing: make(chan struct{}), writeLimit: -1,
	}
	g.Go(l.receiveLoop)
	g.Go(l.sendLoop)
	return l
}

// Read implements net.Conn.
func (l *delayedConn) Read(p []byte) (int, error) {
	if len(l.unread) == 0 {
		select {
		case c, ok := <-l.in:
			if !ok {
				return 0, io.EOF
			}
			l.waitUntil(c.due)
			l.unread = c.data
		case <-l.closing:
			return 0, net.ErrClosed
		case <-l.ctx.Done():
			return 0, net.ErrClosed
		}
	}
	n := copy(p, l.unread)
	l.unread = l.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (l *delayedConn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if l.writeLimit >= 0 {
		data = data[:min(len(data), l.writeLimit)]
		l.writeLimit -= len(data)
	}
	select {
	case l.out <- chunk{data: data, due: time.Now().Add(l.latency())}:
		return len(p), nil
	case <-l.closing:
		return 0, net.ErrClosed
	case <-l.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. Data that was written before is still sent.
func (l *delayedConn) Close() error {
	l.once.Do(func() { close(l.closing) })
	return nil
}

func (l *delayedConn) receiveLoop(context.Context) error {
	defer close(l.in)
	for {
		buf := make([]byte, chunkBytes)
		n, err := l.Conn.Read(buf)
		if n > 0 && !l.push(chunk{data: buf[:n], due: time.Now().Add(l.latency())}) {
			return nil
		}
		if err != nil {
			return nil
		}
	}
}

func (l *delayedConn) push(c chunk) bool {
	select {
	case l.in <- c:
		return true
	case <-l.closing:
		return false
	case <-l.ctx.Done():
		return false
	}
}

func (l *delayedConn) sendLoop(ctx context.Context) error {
	defer func() { _ = l.Conn.Close() }()
	cut := context.AfterFunc(ctx, func() { _ = l.Conn.Close() })
	defer cut()
	for {
		select {
		case c := <-l.out:
			l.send(c)
		case <-l.closing:
			l.drain()
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *delayedConn) drain() {
	for {
		select {
		case c := <-l.out:
			l.send(c)
		default:
			return
		}
	}
}

func (l *delayedConn) send(c chunk) {
	l.waitUntil(c.due)
	_, _ = l.Conn.Write(c.data)
}

func (l *delayedConn) waitUntil(due time.Time) {
	tasks.Pause(l.ctx, time.Until(due))
	for _, g := range l.gates {
		g.wait(l.ctx)
	}
}

// gate blocks the traffic that passes through it while it is closed.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{}
}

func (g *gate) setClosed(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.reopened == nil:
		g.reopened = make(chan struct{})
	case !shut && g.reopened != nil:
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
