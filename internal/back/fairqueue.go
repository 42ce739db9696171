package back

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// FairQueue is a WaitQueue that shares an endpoint between client accounts by
// weight.
type FairQueue struct {
	queue  *acct.FairQueue[*Waiter]
	queued map[*Waiter]*acct.Waiter[*Waiter]
}

// NewFairQueue returns an empty queue.
func NewFairQueue(limits acct.FairQueueLimits) *FairQueue {
	return &FairQueue{queue: acct.NewFairQueue[*Waiter](limits), queued: make(map[*Waiter]*acct.Waiter[*Waiter])}
}

// Push implements WaitQueue.
func (f *FairQueue) Push(requester Requester, w *Waiter, now time.Time) error {
	waiter, retryIn := f.queue.Push(requester.Account, requester.Weight, w, now)
	if waiter == nil {
		return fault.Refuse(fault.OverLimit, retryIn, "too many requests of the client account are waiting")
	}
	f.queued[w] = waiter
	return nil
}

// Pop implements WaitQueue.
func (f *FairQueue) Pop(now time.Time) (*Waiter, bool) {
	w, ok := f.queue.Pop(now)
	if ok {
		delete(f.queued, w)
	}
	return w, ok
}

// Remove implements WaitQueue.
func (f *FairQueue) Remove(w *Waiter) {
	f.queue.Remove(f.queued[w])
	delete(f.queued, w)
}

// Len implements WaitQueue.
func (f *FairQueue) Len() int { return f.queue.Len() }
