package back

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// FairQueue is a WaitQueue that shares an endpoint between client accounts by
// weight.
type FairQueue struct {
	queue   *acct.FairQueue[*Waiter]
	tickets map[*Waiter]*acct.Waiter[*Waiter]
}

// NewFairQueue returns an empty line.
func NewFairQueue(limits acct.FairQueueLimits) *FairQueue {
	return &FairQueue{queue: acct.NewFairQueue[*Waiter](limits), tickets: make(map[*Waiter]*acct.Waiter[*Waiter])}
}

// Push implements WaitQueue.
func (f *FairQueue) Push(claim Requester, w *Waiter, now time.Time) error {
	ticket, retryIn := f.queue.Push(claim.Account, claim.Weight, w, now)
	if ticket == nil {
		return fault.Refuse(fault.OverLimit, retryIn, "too many requests of the client account wait already")
	}
	f.tickets[w] = ticket
	return nil
}

// Pop implements WaitQueue.
func (f *FairQueue) Pop(now time.Time) (*Waiter, bool) {
	w, ok := f.queue.Pop(now)
	if ok {
		delete(f.tickets, w)
	}
	return w, ok
}

// Remove implements WaitQueue.
func (f *FairQueue) Remove(w *Waiter) {
	f.queue.Remove(f.tickets[w])
	delete(f.tickets, w)
}

// Len implements WaitQueue.
func (f *FairQueue) Len() int { return f.queue.Len() }
