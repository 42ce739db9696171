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

// ErrTermEnded reports that the term of a write ended before the write was
// confirmed by a majority.
var ErrTermEnded = errors.New("term ended before the write was confirmed")

const pollBackoff = 500 * time.Microsecond

// Confirmer waits until a majority of a group holds a write. One polling
// goroutine queries the primary for all waiters.
type Confirmer struct {
	primary func(ident.Term) group.Server // returns nil when the term has ended
	tasks   *tasks.Group

	mu      sync.Mutex
	waiting map[*confirmWaiter]struct{}
	polling bool
}

type confirmWaiter struct {
	position ident.LogPosition
	done     chan error
}

// NewConfirmer returns a confirmer. primary returns the control interface of
// the primary of a term, or nil when that term has ended.
func NewConfirmer(primary func(ident.Term) group.Server) *Confirmer {
	return &Confirmer{primary: primary, tasks: tasks.New(context.Background()), waiting: make(map[*confirmWaiter]struct{})}
}

// Wait blocks until the group's primary reports, in the term of position, that
// a majority holds position. After an error the outcome of the write is
// unknown.
func (c *Confirmer) Wait(ctx context.Context, position ident.LogPosition) error {
	w := &confirmWaiter{position: position, done: make(chan error, 1)}
	c.mu.Lock()
	c.waiting[w] = struct{}{}
	if !c.polling {
		c.polling = true
		c.tasks.Go(c.poll)
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

// poll queries the primary until no waiter is left.
func (c *Confirmer) poll(ctx context.Context) error {
	for {
		term, ok := c.nextTerm()
		if !ok {
			return nil
		}
		status, err := c.queryPrimary(ctx, term)
		if ctx.Err() != nil {
			c.resolve(func(ident.LogPosition) (bool, error) { return true, ctx.Err() })
			return nil
		}
		if err != nil {
			tasks.Pause(ctx, pollBackoff)
		}
		c.resolve(func(pos ident.LogPosition) (bool, error) { return confirmResult(pos, term, status, err) })
	}
}

// nextTerm returns the term of one waiter. It ends the polling when there is
// none.
func (c *Confirmer) nextTerm() (ident.Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.waiting {
		return w.position.Term, true
	}
	c.polling = false
	return 0, false
}

func (c *Confirmer) queryPrimary(ctx context.Context, term ident.Term) (group.Status, error) {
	server := c.primary(term)
	if server == nil {
		return group.Status{}, ErrTermEnded
	}
	return server.Status(ctx)
}

// confirmResult returns whether the wait for position is done, and its result,
// after the primary of term has answered with status s or failed with err.
func confirmResult(position ident.LogPosition, term ident.Term, s group.Status, err error) (done bool, result error) {
	if position.Term != term {
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
	return s.Confirmed >= position.Position, nil
}

func (c *Confirmer) resolve(result func(ident.LogPosition) (bool, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.waiting {
		if done, err := result(w.position); done {
			delete(c.waiting, w)
			w.done <- err
		}
	}
}

// Close fails all waiters and stops the polling.
func (c *Confirmer) Close() error { return c.tasks.Close() }
