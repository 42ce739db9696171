package back

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	dialTimeout = 2 * time.Second
	dialBackoff = 50 * time.Millisecond
)

// ErrUnreachable reports that no connection to the endpoint could be opened.
var ErrUnreachable = errors.New("endpoint unreachable")

// ErrClosed reports the use of a closed pool.
var ErrClosed = errors.New("endpoint pool closed")

// Requester is the client account that requests a connection, with its weight.
type Requester struct {
	Account ident.Account
	Weight  int
}

// WaitQueue orders the requests that wait for a connection. Its methods are
// called under the pool's lock.
type WaitQueue interface {
	// Push adds a waiter. It refuses with a *fault.Error when the wait would
	// be too long.
	Push(requester Requester, w *Waiter, now time.Time) error
	Pop(now time.Time) (*Waiter, bool)
	Remove(w *Waiter)
	Len() int
}

// Waiter is one request that waits for a connection.
type Waiter struct {
	Requester Requester
	grant     chan grant
}

type grant struct {
	conn *Conn
	err  error
}

// Pool holds the connections of one endpoint. Each is used by one transaction
// at a time.
type Pool struct {
	endpoint envdoc.Endpoint
	creds    Credentials
	tasks    *tasks.Group
	busy     atomic.Int64 // requests that hold or wait for a connection

	mu           sync.Mutex
	queue        WaitQueue
	idle         []*Conn
	open         int // connections, held or idle
	pendingDials int
	limit        int
	closed       bool
	held         map[*Conn]uint64 // acquired connections, with the serial number of each hold
	lastSerial   uint64
}

// NewPool returns a pool of at most limit connections.
func NewPool(endpoint envdoc.Endpoint, creds Credentials, limit int, queue WaitQueue) *Pool {
	return &Pool{
		endpoint: endpoint,
		creds:    creds,
		tasks:    tasks.New(context.Background()),
		queue:    queue,
		limit:    max(1, limit),
		held:     make(map[*Conn]uint64),
	}
}

// SetLimit changes how many connections the pool may open. Connections above
// the limit are closed when they are released.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
	p.grow()
}

// Busy returns how many requests hold or wait for a connection.
func (p *Pool) Busy() int { return int(p.busy.Load()) }

// Acquire returns a connection for one transaction. The caller must release it.
// The error is ErrUnreachable, ErrClosed, a *fault.Error of the wait queue, or
// the error of ctx.
func (p *Pool) Acquire(ctx context.Context, requester Requester, now time.Time) (*Conn, error) {
	p.busy.Add(1)
	conn, w, err := p.tryAcquire(requester, now)
	if err == nil && conn == nil {
		conn, err = p.wait(ctx, w)
	}
	if err != nil {
		p.busy.Add(-1)
	}
	return conn, err
}

func (p *Pool) tryAcquire(requester Requester, now time.Time) (*Conn, *Waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if c := p.takeIdle(); c != nil {
		p.markHeld(c)
		return c, nil, nil
	}
	w := &Waiter{Requester: requester, grant: make(chan grant, 1)}
	if err := p.queue.Push(requester, w, now); err != nil {
		return nil, nil, err
	}
	p.grow()
	return nil, w, nil
}

// takeIdle returns the most recently used idle connection, or nil when there is
// none or other requests are already waiting.
func (p *Pool) takeIdle() *Conn {
	for len(p.idle) > 0 && p.queue.Len() == 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Alive() {
			return c
		}
		p.discard(c)
	}
	return nil
}

func (p *Pool) wait(ctx context.Context, w *Waiter) (*Conn, error) {
	select {
	case g := <-w.grant:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.queue.Remove(w)
	p.mu.Unlock()
	select {
	case g := <-w.grant: // granted after ctx ended
		return g.conn, g.err
	default:
		return nil, errors.Wrap(ctx.Err(), "wait for an endpoint connection")
	}
}

// Release releases an acquired connection. It is reused only if it is clean and
// keep is true; otherwise it is closed.
func (p *Pool) Release(c *Conn, keep bool, now time.Time) {
	p.busy.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, c)
	if !keep || !c.Clean() || p.closed || p.open > p.limit {
		p.discard(c)
		p.grow()
		return
	}
	p.handOut(c, now)
}

// handOut gives a clean connection to the next waiter or keeps it idle.
func (p *Pool) handOut(c *Conn, now time.Time) {
	assert.That(c.Clean(), "back.pool.clean", "unclean connection to %s with status %c was reused", p.endpoint.Name, c.status)
	if w, ok := p.queue.Pop(now); ok {
		p.markHeld(c)
		w.grant <- grant{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *Conn) {
	_ = c.Close()
	p.open--
	assert.That(p.open >= 0, "back.pool.count", "pool of %s has %d open connections", p.endpoint.Name, p.open)
}

// grow opens connections in the background while requests wait.
func (p *Pool) grow() {
	for !p.closed && p.pendingDials < p.queue.Len() && p.open+p.pendingDials < p.limit {
		p.pendingDials++
		p.tasks.Go(p.dial)
	}
}

func (p *Pool) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := Dial(ctx, p.endpoint.Name, p.endpoint.Address, p.creds)
	if err != nil {
		klog.V(2).InfoS("Endpoint connection failed", "endpoint", p.endpoint.Name, "err", err)
		tasks.Pause(ctx, dialBackoff)
	}
	p.dialDone(c, err, time.Now())
	return nil
}

func (p *Pool) dialDone(c *Conn, err error, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingDials--
	if err != nil {
		p.dialFailed(err, now)
		return
	}
	p.open++
	if p.closed {
		p.discard(c)
		return
	}
	p.handOut(c, now)
}

// dialFailed fails all waiters, unless an open connection may still be released
// to serve them. It does not wait for other dials in flight: when one fails,
// the others are likely to fail too.
func (p *Pool) dialFailed(err error, now time.Time) {
	if p.open > 0 {
		p.grow()
		return
	}
	p.failWaiters(errors.Mark(errors.Wrap(err, "open a connection"), ErrUnreachable), now)
}

func (p *Pool) failWaiters(err error, now time.Time) {
	for w, ok := p.queue.Pop(now); ok; w, ok = p.queue.Pop(now) {
		w.grant <- grant{err: err}
	}
}

// Close fails all waiters, closes idle connections and waits for dials in
// flight. Held connections are closed when they are released.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.failWaiters(ErrClosed, time.Now())
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
	p.mu.Unlock()
	return p.tasks.Close()
}
