package back

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// FIFO is a WaitQueue that serves requests in order of arrival. It is the
// baseline that fair queueing is compared with.
type FIFO struct {
	limit   int
	waiting []*Waiter
}

// NewFIFO returns a queue of at most limit waiters.
func NewFIFO(limit int) *FIFO { return &FIFO{limit: limit} }

// Push implements WaitQueue.
func (f *FIFO) Push(_ Requester, w *Waiter, _ time.Time) error {
	if len(f.waiting) >= f.limit {
		return fault.Refuse(fault.OverLimit, time.Second, "%d requests are waiting", len(f.waiting))
	}
	f.waiting = append(f.waiting, w)
	return nil
}

// Pop implements WaitQueue.
func (f *FIFO) Pop(time.Time) (*Waiter, bool) {
	if len(f.waiting) == 0 {
		return nil, false
	}
	w := f.waiting[0]
	f.waiting = f.waiting[1:]
	return w, true
}

// Remove implements WaitQueue.
func (f *FIFO) Remove(w *Waiter) {
	if i := slices.Index(f.waiting, w); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
	}
}

// Len implements WaitQueue.
func (f *FIFO) Len() int { return len(f.waiting) }
