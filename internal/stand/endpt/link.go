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

// link is a connection with a delay line in each direction: every chunk
// arrives late by the latency, and chunks under way do not wait for each
// other. While its gate is shut nothing passes.
type link struct {
	net.Conn
	latency func() time.Duration
	gates   []*gate
	in      chan chunk
	out     chan chunk
	rest    []byte
	closing chan struct{}
	once    sync.Once
	stop    context.Context
	// quota is how many bytes may still be written; negative is unlimited.
	quota int
}

func newLink(g *tasks.Group, c net.Conn, latency func() time.Duration, gates ...*gate) *link {
	l := &link{
		Conn: c, latency: latency, gates: gates, stop: g.Context(),
		in: make(chan chunk, linkDepth), out: make(chan chunk, linkDepth),
		closing: make(chan struct{}), quota: -1,
	}
	g.Go(l.receive)
	g.Go(l.transmit)
	return l
}

// Read implements net.Conn.
func (l *link) Read(p []byte) (int, error) {
	if len(l.rest) == 0 {
		select {
		case c, ok := <-l.in:
			if !ok {
				return 0, io.EOF
			}
			l.waitUntil(c.due)
			l.rest = c.data
		case <-l.closing:
			return 0, net.ErrClosed
		case <-l.stop.Done():
			return 0, net.ErrClosed
		}
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (l *link) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if l.quota >= 0 {
		data = data[:min(len(data), l.quota)]
		l.quota -= len(data)
	}
	select {
	case l.out <- chunk{data: data, due: time.Now().Add(l.latency())}:
		return len(p), nil
	case <-l.closing:
		return 0, net.ErrClosed
	case <-l.stop.Done():
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. What was written before still goes out.
func (l *link) Close() error {
	l.once.Do(func() { close(l.closing) })
	return nil
}

func (l *link) receive(context.Context) error {
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

func (l *link) push(c chunk) bool {
	select {
	case l.in <- c:
		return true
	case <-l.closing:
		return false
	case <-l.stop.Done():
		return false
	}
}

func (l *link) transmit(ctx context.Context) error {
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

func (l *link) drain() {
	for {
		select {
		case c := <-l.out:
			l.send(c)
		default:
			return
		}
	}
}

func (l *link) send(c chunk) {
	l.waitUntil(c.due)
	_, _ = l.Conn.Write(c.data)
}

func (l *link) waitUntil(due time.Time) {
	tasks.Pause(l.stop, time.Until(due))
	for _, g := range l.gates {
		g.wait(l.stop)
	}
}

// gate holds up what passes through it while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

func (g *gate) wait(ctx context.Context) {
	for {
		g.mu.Lock()
		ch := g.shut
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
