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

// ErrClosed reports a pool that was closed.
var ErrClosed = errors.New("endpoint pool closed")

// Requester says who asks for a connection.
type Requester struct {
	Account ident.Account
	Weight  int
}

// WaitQueue orders those who wait for a connection. It is called under the
// pool's lock.
type WaitQueue interface {
	// Push refuses with a *fault.Error when the wait would be too long.
	Push(claim Requester, w *Waiter, now time.Time) error
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

// Pool lends the connections of one endpoint, each to one transaction.
type Pool struct {
	endpoint envdoc.Endpoint
	creds    Credentials
	group    *tasks.Group
	busy     atomic.Int64 // lent and waiting

	mu      sync.Mutex
	line    WaitQueue
	idle    []*Conn
	open    int // connections, lent or idle
	opening int
	limit   int
	closed  bool
	lent    map[*Conn]uint64 // the serial number of each loan
	serial  uint64
}

// NewPool returns a pool of at most limit connections.
func NewPool(endpoint envdoc.Endpoint, creds Credentials, limit int, line WaitQueue) *Pool {
	return &Pool{
		endpoint: endpoint,
		creds:    creds,
		group:    tasks.New(context.Background()),
		line:     line,
		limit:    max(1, limit),
		lent:     make(map[*Conn]uint64),
	}
}

// SetLimit changes how many connections the pool may hold. Connections above
// the limit close when they come back.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
	p.grow()
}

// Busy returns how many requests hold or wait for a connection.
func (p *Pool) Busy() int { return int(p.busy.Load()) }

// Acquire returns a connection for one transaction. Every connection lent is
// given back with Release.
func (p *Pool) Acquire(ctx context.Context, claim Requester, now time.Time) (*Conn, error) {
	p.busy.Add(1)
	conn, w, err := p.ask(claim, now)
	if err == nil && conn == nil {
		conn, err = p.wait(ctx, w)
	}
	if err != nil {
		p.busy.Add(-1)
	}
	return conn, err
}

func (p *Pool) ask(claim Requester, now time.Time) (*Conn, *Waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if c := p.takeIdle(); c != nil {
		p.lend(c)
		return c, nil, nil
	}
	w := &Waiter{Requester: claim, grant: make(chan grant, 1)}
	if err := p.line.Push(claim, w, now); err != nil {
		return nil, nil, err
	}
	p.grow()
	return nil, w, nil
}

// takeIdle returns the idle connection that was used last, unless others wait
// already.
func (p *Pool) takeIdle() *Conn {
	for len(p.idle) > 0 && p.line.Len() == 0 {
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
	p.line.Remove(w)
	p.mu.Unlock()
	select {
	case g := <-w.grant: // granted while giving up
		return g.conn, g.err
	default:
		return nil, errors.Wrap(ctx.Err(), "wait for an endpoint connection")
	}
}

// Release takes a connection back. It is reused only when idle and clean, and
// when keep is true.
func (p *Pool) Release(c *Conn, keep bool, now time.Time) {
	p.busy.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lent, c)
	if !keep || !c.Clean() || p.closed || p.open > p.limit {
		p.discard(c)
		p.grow()
		return
	}
	p.offer(c, now)
}

// offer gives a clean connection to the next waiter or keeps it idle.
func (p *Pool) offer(c *Conn, now time.Time) {
	assert.That(c.Clean(), "back.pool.clean", "a connection to %s with status %c was offered", p.endpoint.Name, c.status)
	if w, ok := p.line.Pop(now); ok {
		p.lend(c)
		w.grant <- grant{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *Conn) {
	_ = c.Close()
	p.open--
	assert.That(p.open >= 0, "back.pool.count", "pool of %s counts %d connections", p.endpoint.Name, p.open)
}

// grow opens connections in the background while requests wait.
func (p *Pool) grow() {
	for !p.closed && p.opening < p.line.Len() && p.open+p.opening < p.limit {
		p.opening++
		p.group.Go(p.dial)
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
	p.opened(c, err, time.Now())
	return nil
}

func (p *Pool) opened(c *Conn, err error, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.dialFailed(err, now)
		return
	}
	p.open++
	if p.closed {
		p.discard(c)
		return
	}
	p.offer(c, now)
}

// dialFailed tells those who wait, unless a connection may still come back to
// serve them. Other attempts under way are no reason to wait: where one fails
// the others likely do.
func (p *Pool) dialFailed(err error, now time.Time) {
	if p.open > 0 {
		p.grow()
		return
	}
	p.failAll(errors.Mark(errors.Wrap(err, "open a connection"), ErrUnreachable), now)
}

func (p *Pool) failAll(err error, now time.Time) {
	for w, ok := p.line.Pop(now); ok; w, ok = p.line.Pop(now) {
		w.grant <- grant{err: err}
	}
}

// Close refuses those who wait, closes idle connections and waits for what is
// being opened. Lent connections close when they come back.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.failAll(ErrClosed, time.Now())
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
	p.mu.Unlock()
	return p.group.Close()
}
