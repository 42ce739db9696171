package lines

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// linkBuffer is the size of the chunks that a link forwards.
const linkBuffer = 32 << 10

// linkState is what a link does to the data on it.
type linkState struct {
	delay time.Duration // of each chunk
	// holdRequests and holdAnswers stop one direction. What was held is
	// delivered when the state changes.
	holdRequests bool
	holdAnswers  bool
}

// The states that faults set.
var (
	linkClear  = linkState{}
	linkSlow   = linkState{delay: 150 * time.Millisecond}
	linkSilent = linkState{holdRequests: true, holdAnswers: true}
	linkOneWay = linkState{holdAnswers: true}
)

// link forwards connections to a server of the platform and injects faults of
// the network on the way.
type link struct {
	listener net.Listener
	target   string
	tasks    *tasks.Group

	mu      sync.Mutex
	state   linkState
	changed chan struct{} // closed when the state changes
	conns   map[net.Conn]struct{}
	holds   []hold
}

// newLink returns a link from listener to the address target. It takes
// ownership of the listener.
func newLink(ctx context.Context, listener net.Listener, target string) *link {
	l := &link{
		listener: listener, target: target, tasks: tasks.New(ctx),
		changed: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	l.tasks.Go(l.accept)
	return l
}

// Close ends all connections and waits for the goroutines.
func (l *link) Close() error {
	_ = l.listener.Close()
	l.Reset()
	return errors.Wrap(l.tasks.Close(), "close link")
}

// Address returns the address of the listener.
func (l *link) Address() string { return l.listener.Addr().String() }

// Set changes the state.
func (l *link) Set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.holdRequests != l.state.holdRequests {
		l.recordHold(s.holdRequests)
	}
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset breaks all connections.
func (l *link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // sends a reset
		}
		_ = c.Close()
	}
}

func (l *link) accept(ctx context.Context) error {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		l.tasks.Go(func(context.Context) error {
			l.serve(ctx, c)
			return nil
		})
	}
}

// serve forwards one connection in both directions until either side ends it.
func (l *link) serve(ctx context.Context, near net.Conn) {
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l.track(near, far)
	defer l.forget(near, far)
	l.tasks.Go(func(ctx context.Context) error {
		l.forward(ctx, near, far, func(s linkState) bool { return s.holdRequests })
		return nil
	})
	l.forward(ctx, far, near, func(s linkState) bool { return s.holdAnswers })
}

// forward copies data until either side ends. Both sides are then closed.
func (l *link) forward(ctx context.Context, from, to net.Conn, held func(linkState) bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil || !l.pass(ctx, held) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// pass waits until a chunk may be forwarded. It returns false if ctx ends first.
func (l *link) pass(ctx context.Context, held func(linkState) bool) bool {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		if !held(state) {
			return tasks.Pause(ctx, state.delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (l *link) track(all ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		l.conns[c] = struct{}{}
	}
}

func (l *link) forget(all ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		delete(l.conns, c)
		_ = c.Close()
	}
}
