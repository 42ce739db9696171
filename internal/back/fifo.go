package back

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// Fifo is a Line that serves in order of arrival. It is the version against
// which fair queueing is measured.
type Fifo struct {
	limit   int
	waiting []*Waiter
}

// NewFifo returns a line of at most limit waiters.
func NewFifo(limit int) *Fifo { return &Fifo{limit: limit} }

// Push implements Line.
func (f *Fifo) Push(_ Claim, w *Waiter, _ time.Time) error {
	if len(f.waiting) >= f.limit {
		return fault.Refuse(fault.OverLimit, time.Second, "%d requests wait already", len(f.waiting))
	}
	f.waiting = append(f.waiting, w)
	return nil
}

// Pop implements Line.
func (f *Fifo) Pop(time.Time) (*Waiter, bool) {
	if len(f.waiting) == 0 {
		return nil, false
	}
	w := f.waiting[0]
	f.waiting = f.waiting[1:]
	return w, true
}

// Remove implements Line.
func (f *Fifo) Remove(w *Waiter) {
	if i := slices.Index(f.waiting, w); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
	}
}

// Len implements Line.
func (f *Fifo) Len() int { return len(f.waiting) }
