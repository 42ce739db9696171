package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	firstService   = 5 * time.Millisecond
	serviceShare   = 8 // an observed interval moves the estimate by 1/serviceShare
	maxServiceStep = time.Second
)

// FairQueueLimits bound a FairQueue.
type FairQueueLimits struct {
	// MaxWait is the longest expected wait that is still admitted.
	MaxWait time.Duration
	// PerAccount is how many items of one account may wait.
	PerAccount int
}

// FairQueue orders the waiters of several client accounts by deficit round
// robin after Shreedhar and Varghese, "Efficient FairQueue Queuing using
// Deficit Round Robin", SIGCOMM 1995. Each item costs one and the quantum is
// the account's weight, so busy accounts are served in proportion to their
// weights and an account that floods waits behind itself. An item is refused
// when its own account's queue makes its expected wait too long; other
// accounts' items do not push it out. FairQueue is not safe for concurrent use;
// its owner guards it.
type FairQueue[T any] struct {
	limits  FairQueueLimits
	flows   map[ident.Account]*flow[T]
	head    *flow[T] // the flow in turn; flows form a ring
	length  int
	weights int           // sum over the flows in the ring
	service time.Duration // mean time between pops of a busy queue
	last    time.Time     // of the last pop that left items behind
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](limits FairQueueLimits) *FairQueue[T] {
	return &FairQueue[T]{limits: limits, flows: make(map[ident.Account]*flow[T]), service: firstService}
}

// Len returns how many items wait.
func (f *FairQueue[T]) Len() int { return f.length }

// Waiting returns how many items of one account wait.
func (f *FairQueue[T]) Waiting(account ident.Account) int {
	if l := f.flows[account]; l != nil {
		return l.length
	}
	return 0
}

// Push adds an item. When it is refused, retryIn says when the account's queue
// will be short enough again; the ticket is then nil.
func (f *FairQueue[T]) Push(account ident.Account, weight int, item T, now time.Time) (ticket *Waiter[T], retryIn time.Duration) {
	weight = max(1, weight)
	if f.length == 0 {
		f.last = now
	}
	if wait := f.Expected(account, weight); wait > f.limits.MaxWait {
		return nil, wait - f.limits.MaxWait + f.service
	}
	if n := f.Waiting(account); f.limits.PerAccount > 0 && n >= f.limits.PerAccount {
		return nil, f.service * time.Duration(n) / 2
	}
	l := f.join(account, weight)
	t := &Waiter[T]{item: item, flow: l}
	l.append(t)
	f.length++
	return t, 0
}

// Expected estimates how long an item of the account would wait if it came
// now: the rounds that its own queue needs, each as long as the weights of
// all busy accounts, and never more than the whole queue.
func (f *FairQueue[T]) Expected(account ident.Account, weight int) time.Duration {
	ahead, weights := 0, f.weights
	if l := f.flows[account]; l != nil {
		ahead = l.length
		weights -= l.weight
	}
	weights += weight
	turns := min((ahead*weights)/weight, f.length)
	return time.Duration(turns) * f.service
}

// Pop takes the item whose turn it is.
func (f *FairQueue[T]) Pop(now time.Time) (item T, ok bool) {
	if f.length == 0 {
		return item, false
	}
	f.learn(now)
	l := f.turn()
	l.deficit--
	t := l.first
	f.drop(t)
	return t.item, true
}

// Remove takes a waiter out of the queue, as when its caller gave up. It
// reports whether the waiter was still there.
func (f *FairQueue[T]) Remove(t *Waiter[T]) bool {
	if t == nil || t.flow == nil {
		return false
	}
	f.drop(t)
	return true
}

// turn returns the flow to serve: the one at the head while its deficit
// lasts, else the next, which gets its quantum.
func (f *FairQueue[T]) turn() *flow[T] {
	if f.head.deficit < 1 {
		f.head = f.head.next
		f.head.deficit += f.head.weight
	}
	return f.head
}

func (f *FairQueue[T]) learn(now time.Time) {
	step := min(max(0, now.Sub(f.last)), maxServiceStep)
	f.service += (step - f.service) / serviceShare
	f.last = now
}

func (f *FairQueue[T]) join(account ident.Account, weight int) *flow[T] {
	l := f.flows[account]
	if l != nil {
		f.weights += weight - l.weight
		l.weight = weight
		return l
	}
	l = &flow[T]{account: account, weight: weight}
	f.flows[account] = l
	f.weights += weight
	if f.head == nil {
		l.next, l.prev = l, l
		l.deficit = weight
		f.head = l
		return l
	}
	tail := f.head.prev
	tail.next, l.prev = l, tail
	l.next, f.head.prev = f.head, l
	return l
}

func (f *FairQueue[T]) drop(t *Waiter[T]) {
	l := t.flow
	l.unlink(t)
	f.length--
	if l.length > 0 {
		return
	}
	delete(f.flows, l.account)
	f.weights -= l.weight
	if l.next == l {
		f.head = nil
		return
	}
	l.prev.next, l.next.prev = l.next, l.prev
	if f.head == l {
		f.head = l.next
		f.head.deficit += f.head.weight
	}
}

// Waiter is one waiter's place in a FairQueue.
type Waiter[T any] struct {
	item       T
	flow       *flow[T] // nil once out of the queue
	next, prev *Waiter[T]
}

// flow is the first-come-first-served queue of one account.
type flow[T any] struct {
	account     ident.Account
	weight      int
	deficit     int
	length      int
	first, last *Waiter[T]
	next, prev  *flow[T]
}

func (l *flow[T]) append(t *Waiter[T]) {
	t.prev = l.last
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.length++
}

func (l *flow[T]) unlink(t *Waiter[T]) {
	if t.prev == nil {
		l.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.flow, t.next, t.prev = nil, nil, nil
	l.length--
}
