package fleet

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Prepare must return nil before an operator's change is written as version.
// It tells half of the known instances that the version may come to be, so
// that none of those that are cut off from the store goes on to honour keys
// that the version withdraws. The write must have taken effect, or be given
// up, within the bound Announce after the call; a second try needs a second
// Prepare. It returns ErrOutOfTouch when half could not be told in time.
func (f *Fleet) Prepare(ctx context.Context, version ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	id, answered := f.waiters.add()
	defer f.waiters.drop(id)
	select {
	case f.inbox <- Announce{ID: id, Version: version}:
	case <-ctx.Done():
		return errors.Wrapf(ErrOutOfTouch, "announce version %d", version)
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrOutOfTouch, "announce version %d", version)
	case <-f.group.Context().Done():
		return errors.Wrapf(ErrOutOfTouch, "announce version %d while closing", version)
	}
}

// waiters holds the calls of Prepare that wait. It is off the request path.
type waiters struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan struct{}
}

func (w *waiters) add() (id uint64, answered <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = make(map[uint64]chan struct{})
	}
	w.last++
	c := make(chan struct{})
	w.open[w.last] = c
	return w.last, c
}

func (w *waiters) drop(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, id)
}

func (w *waiters) answer(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.open[id]; c != nil {
		close(c)
		delete(w.open, id)
	}
}
