package back

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// Fair is a Line that shares an endpoint between client accounts by weight.
type Fair struct {
	queue   *acct.Fair[*Waiter]
	tickets map[*Waiter]*acct.Ticket[*Waiter]
}

// NewFair returns an empty line.
func NewFair(limits acct.FairLimits) *Fair {
	return &Fair{queue: acct.NewFair[*Waiter](limits), tickets: make(map[*Waiter]*acct.Ticket[*Waiter])}
}

// Push implements Line.
func (f *Fair) Push(claim Claim, w *Waiter, now time.Time) error {
	ticket, retryIn := f.queue.Push(claim.Account, claim.Weight, w, now)
	if ticket == nil {
		return fault.Refuse(fault.OverLimit, retryIn, "too many requests of the client account wait already")
	}
	f.tickets[w] = ticket
	return nil
}

// Pop implements Line.
func (f *Fair) Pop(now time.Time) (*Waiter, bool) {
	w, ok := f.queue.Pop(now)
	if ok {
		delete(f.tickets, w)
	}
	return w, ok
}

// Remove implements Line.
func (f *Fair) Remove(w *Waiter) {
	f.queue.Remove(f.tickets[w])
	delete(f.tickets, w)
}

// Len implements Line.
func (f *Fair) Len() int { return f.queue.Len() }
