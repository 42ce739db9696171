package load

import (
	"fmt"
	"sync"
)

// ledger keeps what callers were told about each write of one target.
type ledger struct {
	mu       sync.Mutex
	orders   map[string]Outcome
	bookings map[string]Outcome
}

func newLedger() *ledger {
	return &ledger{orders: map[string]Outcome{}, bookings: map[string]Outcome{}}
}

func (l *ledger) note(kind Kind, id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == Order {
		l.orders[id] = o
		return
	}
	l.bookings[id] = o
}

// found is what the group holds at the end.
type found struct {
	orders    map[string]int // how often each identifier is there
	bookings  map[string]int
	movements map[string]int
}

// Broken counts broken promises. All of them must be zero.
type Broken struct {
	LostOrders     int // acknowledged and not there
	DoubledOrders  int // there more than once
	RefusedRan     int // told that it did not run, and there
	LostBookings   int
	HalfBookings   int // one of the two writes is there
	OwnWrites      int // a session did not read its own order
	ForeignAnswers int // an answer of another request
	PartialAnswers int // rows are missing
	Unverified     int // targets that could not be read at the end
	Examples       []string
}

const maxExamples = 20

// Sum returns the number of broken promises.
func (b *Broken) Sum() int {
	return b.LostOrders + b.DoubledOrders + b.RefusedRan + b.LostBookings + b.HalfBookings +
		b.OwnWrites + b.ForeignAnswers + b.PartialAnswers + b.Unverified
}

func (b *Broken) note(counter *int, format string, args ...any) {
	*counter++
	if len(b.Examples) < maxExamples {
		b.Examples = append(b.Examples, fmt.Sprintf(format, args...))
	}
}

// check compares what callers were told with what is there.
func (l *ledger) check(f found, b *Broken) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, o := range l.orders {
		switch n := f.orders[id]; {
		case n > 1:
			b.note(&b.DoubledOrders, "order %s is there %d times", id, n)
		case n == 0 && o == Answered:
			b.note(&b.LostOrders, "order %s was acknowledged and is not there", id)
		case n > 0 && (o == NotRun || o == Failed):
			b.note(&b.RefusedRan, "order %s was refused (%s) and is there", id, o)
		}
	}
	for id, o := range l.bookings {
		n, m := f.bookings[id], f.movements[id]
		switch {
		case n != m:
			b.note(&b.HalfBookings, "booking %s is there %d times, its movement %d times", id, n, m)
		case n > 1:
			b.note(&b.DoubledOrders, "booking %s is there %d times", id, n)
		case n == 0 && o == Answered:
			b.note(&b.LostBookings, "booking %s was acknowledged and is not there", id)
		case n > 0 && (o == NotRun || o == Failed):
			b.note(&b.RefusedRan, "booking %s was refused (%s) and is there", id, o)
		}
	}
}
