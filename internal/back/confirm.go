package back

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrTermEnded reports that a write's term ended before a majority was seen to
// hold the write.
var ErrTermEnded = errors.New("term ended before the write was confirmed")

const confirmPause = 500 * time.Microsecond

// Confirmer waits until a majority of a group holds a write. One poll of the
// primary serves all who wait.
type Confirmer struct {
	dial  func(ident.Term) group.Server // the primary of that term, or nil
	group *tasks.Group

	mu      sync.Mutex
	waiting map[*confirmWait]struct{}
	polling bool
}

type confirmWait struct {
	mark ident.LogPosition
	done chan error
}

// NewConfirmer returns a confirmer that asks the server which primary names.
func NewConfirmer(primary func(ident.Term) group.Server) *Confirmer {
	return &Confirmer{dial: primary, group: tasks.New(context.Background()), waiting: make(map[*confirmWait]struct{})}
}

// Wait blocks until the group's primary, in the mark's own term, says that a
// majority holds the mark's position. An error leaves the outcome unknown.
func (c *Confirmer) Wait(ctx context.Context, mark ident.LogPosition) error {
	w := &confirmWait{mark: mark, done: make(chan error, 1)}
	c.mu.Lock()
	c.waiting[w] = struct{}{}
	if !c.polling {
		c.polling = true
		c.group.Go(c.poll)
	}
	c.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.waiting, w)
	c.mu.Unlock()
	return errors.Wrap(ctx.Err(), "wait for confirmation")
}

// poll asks until nobody waits.
func (c *Confirmer) poll(ctx context.Context) error {
	for {
		term, ok := c.next()
		if !ok {
			return nil
		}
		status, err := c.ask(ctx, term)
		if ctx.Err() != nil {
			c.settle(func(ident.LogPosition) (bool, error) { return true, ctx.Err() })
			return nil
		}
		if err != nil {
			tasks.Pause(ctx, confirmPause)
		}
		c.settle(func(m ident.LogPosition) (bool, error) { return judge(m, term, status, err) })
	}
}

// next returns the term of one waiter, or stops the polling.
func (c *Confirmer) next() (ident.Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.waiting {
		return w.mark.Term, true
	}
	c.polling = false
	return 0, false
}

func (c *Confirmer) ask(ctx context.Context, term ident.Term) (group.Status, error) {
	server := c.dial(term)
	if server == nil {
		return group.Status{}, ErrTermEnded
	}
	return server.Status(ctx)
}

// judge says whether a wait for mark ends, and how, after the primary of term
// has answered.
func judge(mark ident.LogPosition, term ident.Term, s group.Status, err error) (done bool, result error) {
	if mark.Term != term {
		return false, nil
	}
	if errors.Is(err, ErrTermEnded) {
		return true, err
	}
	if err != nil {
		return false, nil
	}
	if s.Term != term || s.Role != group.PrimaryRole || s.Sealed > term {
		return true, ErrTermEnded
	}
	return s.Confirmed >= mark.Position, nil
}

func (c *Confirmer) settle(judge func(ident.LogPosition) (bool, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.waiting {
		if done, err := judge(w.mark); done {
			delete(c.waiting, w)
			w.done <- err
		}
	}
}

// Close fails those who wait and stops the polling.
func (c *Confirmer) Close() error { return c.group.Close() }
