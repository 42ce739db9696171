package fleet

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Prepare must return nil before an operator's change is written as version. It
// informs half of the known instances that the version may be written, so that
// no instance that is cut off from the store continues to honour keys that the
// version revokes. The write must take effect or be given up within the bound
// Announce after the call; a second attempt requires a second Prepare. It
// returns ErrNotAnnounced when half of the instances could not be informed in
// time.
func (f *Fleet) Prepare(ctx context.Context, version ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	id, answered := f.waiters.add()
	defer f.waiters.remove(id)
	select {
	case f.inbox <- Announce{ID: id, Version: version}:
	case <-ctx.Done():
		return errors.Wrapf(ErrNotAnnounced, "announce version %d", version)
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotAnnounced, "announce version %d", version)
	case <-f.group.Context().Done():
		return errors.Wrapf(ErrNotAnnounced, "announce version %d while closing", version)
	}
}

// waiters holds the pending calls of Prepare. Requests do not use it.
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

func (w *waiters) remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, id)
}

func (w *waiters) complete(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.open[id]; c != nil {
		close(c)
		delete(w.open, id)
	}
}
