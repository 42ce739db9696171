package load

import (
	"fmt"
	"sync"
)

// writeHistory holds the outcome that callers saw for each write of one target.
type writeHistory struct {
	mu       sync.Mutex
	orders   map[string]Outcome
	bookings map[string]Outcome
}

func newWriteHistory() *writeHistory {
	return &writeHistory{orders: map[string]Outcome{}, bookings: map[string]Outcome{}}
}

func (l *writeHistory) record(kind Kind, id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == Order {
		l.orders[id] = o
		return
	}
	l.bookings[id] = o
}

// storedIDs holds how often the group stores each identifier at the end of the
// run.
type storedIDs struct {
	orders    map[string]int
	bookings  map[string]int
	movements map[string]int
}

// Violations counts violated guarantees. Every count must be zero.
type Violations struct {
	LostOrders     int // acknowledged but not stored
	DoubledOrders  int // stored more than once
	RefusedRan     int // refused as not run, but stored
	LostBookings   int
	HalfBookings   int // only one of the two writes is stored
	OwnWrites      int // a session did not read its own order
	ForeignAnswers int // the answer to another request
	PartialAnswers int // rows are missing
	Unverified     int // targets that could not be read at the end
	Examples       []string
}

const maxExamples = 20

// Sum returns the number of violations.
func (b *Violations) Sum() int {
	return b.LostOrders + b.DoubledOrders + b.RefusedRan + b.LostBookings + b.HalfBookings +
		b.OwnWrites + b.ForeignAnswers + b.PartialAnswers + b.Unverified
}

func (b *Violations) add(counter *int, format string, args ...any) {
	*counter++
	if len(b.Examples) < maxExamples {
		b.Examples = append(b.Examples, fmt.Sprintf(format, args...))
	}
}

// check compares the outcomes that callers saw with the stored identifiers.
func (l *writeHistory) check(f storedIDs, b *Violations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, o := range l.orders {
		switch n := f.orders[id]; {
		case n > 1:
			b.add(&b.DoubledOrders, "order %s is stored %d times", id, n)
		case n == 0 && o == Answered:
			b.add(&b.LostOrders, "order %s was acknowledged but is not stored", id)
		case n > 0 && (o == NotRun || o == Failed):
			b.add(&b.RefusedRan, "order %s was refused (%s) but is stored", id, o)
		}
	}
	for id, o := range l.bookings {
		n, m := f.bookings[id], f.movements[id]
		switch {
		case n != m:
			b.add(&b.HalfBookings, "booking %s is stored %d times, its movement %d times", id, n, m)
		case n > 1:
			b.add(&b.DoubledOrders, "booking %s is stored %d times", id, n)
		case n == 0 && o == Answered:
			b.add(&b.LostBookings, "booking %s was acknowledged but is not stored", id)
		case n > 0 && (o == NotRun || o == Failed):
			b.add(&b.RefusedRan, "booking %s was refused (%s) but is stored", id, o)
		}
	}
}
