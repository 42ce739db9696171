package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	initialServiceInterval = 5 * time.Millisecond
	serviceSmoothing       = 8 // an observed interval moves the estimate by 1/serviceSmoothing
	maxServiceInterval     = time.Second
)

// FairQueueLimits bound a FairQueue.
type FairQueueLimits struct {
	// MaxWait is the longest expected wait with which an item is accepted.
	MaxWait time.Duration
	// PerAccount is the maximum number of waiting items of one account; 0 means
	// no limit.
	PerAccount int
}

// FairQueue orders the waiters of several client accounts by deficit round
// robin after Shreedhar and Varghese, "Efficient Fair Queuing using Deficit
// Round Robin", SIGCOMM 1995. Each item costs one and the quantum is the
// account's weight, so busy accounts are served in proportion to their weights,
// and an account that floods the queue delays only its own items. An item is
// refused when its own account's queue makes its expected wait too long; other
// accounts' items do not displace it. FairQueue is not safe for concurrent use.
type FairQueue[T any] struct {
	limits          FairQueueLimits
	flows           map[ident.Account]*flow[T]
	head            *flow[T] // the flow being served; flows form a ring
	length          int
	totalWeight     int           // sum over the flows in the ring
	serviceInterval time.Duration // mean time between pops of a busy queue
	lastPop         time.Time     // of the last pop, or of a later push to the empty queue
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](limits FairQueueLimits) *FairQueue[T] {
	return &FairQueue[T]{limits: limits, flows: make(map[ident.Account]*flow[T]), serviceInterval: initialServiceInterval}
}

// Len returns the number of waiting items.
func (q *FairQueue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of one account.
func (q *FairQueue[T]) Waiting(account ident.Account) int {
	if fl := q.flows[account]; fl != nil {
		return fl.length
	}
	return 0
}

// Push adds an item. If it is refused, the waiter is nil and retryIn estimates
// when the account's queue will be short enough.
func (q *FairQueue[T]) Push(account ident.Account, weight int, item T, now time.Time) (waiter *Waiter[T], retryIn time.Duration) {
	weight = max(1, weight)
	if q.length == 0 {
		q.lastPop = now
	}
	if wait := q.ExpectedWait(account, weight); wait > q.limits.MaxWait {
		return nil, wait - q.limits.MaxWait + q.serviceInterval
	}
	if n := q.Waiting(account); q.limits.PerAccount > 0 && n >= q.limits.PerAccount {
		return nil, q.serviceInterval * time.Duration(n) / 2
	}
	fl := q.flowOf(account, weight)
	w := &Waiter[T]{item: item, flow: fl}
	fl.append(w)
	q.length++
	return w, 0
}

// ExpectedWait estimates how long a new item of the account would wait: one
// round for each quantum of the account's queued items, where a round serves
// the weights of all busy accounts, and never longer than the whole queue.
func (q *FairQueue[T]) ExpectedWait(account ident.Account, weight int) time.Duration {
	ahead, weights := 0, q.totalWeight
	if fl := q.flows[account]; fl != nil {
		ahead = fl.length
		weights -= fl.weight
	}
	weights += weight
	turns := min((ahead*weights)/weight, q.length)
	return time.Duration(turns) * q.serviceInterval
}

// Pop removes and returns the next item.
func (q *FairQueue[T]) Pop(now time.Time) (item T, ok bool) {
	if q.length == 0 {
		return item, false
	}
	q.updateServiceInterval(now)
	fl := q.nextFlow()
	fl.deficit--
	w := fl.first
	q.remove(w)
	return w.item, true
}

// Remove takes a waiter out of the queue, for example when its caller gave up.
// It reports whether the waiter was still queued.
func (q *FairQueue[T]) Remove(w *Waiter[T]) bool {
	if w == nil || w.flow == nil {
		return false
	}
	q.remove(w)
	return true
}

// nextFlow returns the flow to serve: the head while its deficit lasts,
// otherwise the following flow, which receives its quantum.
func (q *FairQueue[T]) nextFlow() *flow[T] {
	if q.head.deficit < 1 {
		q.head = q.head.next
		q.head.deficit += q.head.weight
	}
	return q.head
}

func (q *FairQueue[T]) updateServiceInterval(now time.Time) {
	step := min(max(0, now.Sub(q.lastPop)), maxServiceInterval)
	q.serviceInterval += (step - q.serviceInterval) / serviceSmoothing
	q.lastPop = now
}

func (q *FairQueue[T]) flowOf(account ident.Account, weight int) *flow[T] {
	fl := q.flows[account]
	if fl != nil {
		q.totalWeight += weight - fl.weight
		fl.weight = weight
		return fl
	}
	fl = &flow[T]{account: account, weight: weight}
	q.flows[account] = fl
	q.totalWeight += weight
	if q.head == nil {
		fl.next, fl.prev = fl, fl
		fl.deficit = weight
		q.head = fl
		return fl
	}
	tail := q.head.prev
	tail.next, fl.prev = fl, tail
	fl.next, q.head.prev = q.head, fl
	return fl
}

func (q *FairQueue[T]) remove(w *Waiter[T]) {
	fl := w.flow
	fl.unlink(w)
	q.length--
	if fl.length > 0 {
		return
	}
	delete(q.flows, fl.account)
	q.totalWeight -= fl.weight
	if fl.next == fl {
		q.head = nil
		return
	}
	fl.prev.next, fl.next.prev = fl.next, fl.prev
	if q.head == fl {
		q.head = fl.next
		q.head.deficit += q.head.weight
	}
}

// Waiter is one item waiting in a FairQueue.
type Waiter[T any] struct {
	item       T
	flow       *flow[T] // nil once removed from the queue
	next, prev *Waiter[T]
}

// flow is the first-in, first-out queue of one account.
type flow[T any] struct {
	account     ident.Account
	weight      int
	deficit     int
	length      int
	first, last *Waiter[T]
	next, prev  *flow[T]
}

func (fl *flow[T]) append(w *Waiter[T]) {
	w.prev = fl.last
	if fl.last == nil {
		fl.first = w
	} else {
		fl.last.next = w
	}
	fl.last = w
	fl.length++
}

func (fl *flow[T]) unlink(w *Waiter[T]) {
	if w.prev == nil {
		fl.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		fl.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.flow, w.next, w.prev = nil, nil, nil
	fl.length--
}
