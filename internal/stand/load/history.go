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

func (h *writeHistory) record(kind Kind, id string, o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == Order {
		h.orders[id] = o
		return
	}
	h.bookings[id] = o
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
	LostOrders      int // acknowledged but not stored
	DuplicateOrders int `json:"DoubledOrders"` // stored more than once
	RefusedRan      int // refused as not run, but stored
	LostBookings    int
	PartialBookings int `json:"HalfBookings"` // only one of the two writes is stored
	OwnWrites       int // a session did not read its own order
	ForeignAnswers  int // the answer to another request
	PartialAnswers  int // rows are missing
	Unverified      int // targets that could not be read at the end
	Examples        []string
}

const maxExamples = 20

// Sum returns the number of violations.
func (v *Violations) Sum() int {
	return v.LostOrders + v.DuplicateOrders + v.RefusedRan + v.LostBookings + v.PartialBookings +
		v.OwnWrites + v.ForeignAnswers + v.PartialAnswers + v.Unverified
}

func (v *Violations) add(counter *int, format string, args ...any) {
	*counter++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// check compares the outcomes that callers saw with the stored identifiers.
func (h *writeHistory) check(stored storedIDs, v *Violations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, o := range h.orders {
		switch n := stored.orders[id]; {
		case n > 1:
			v.add(&v.DuplicateOrders, "order %s is stored %d times", id, n)
		case n == 0 && o == Answered:
			v.add(&v.LostOrders, "order %s was acknowledged but is not stored", id)
		case n > 0 && (o == NotRun || o == Failed):
			v.add(&v.RefusedRan, "order %s was refused (%s) but is stored", id, o)
		}
	}
	for id, o := range h.bookings {
		n, m := stored.bookings[id], stored.movements[id]
		switch {
		case n != m:
			v.add(&v.PartialBookings, "booking %s is stored %d times, its movement %d times", id, n, m)
		case n > 1:
			v.add(&v.DuplicateOrders, "booking %s is stored %d times", id, n)
		case n == 0 && o == Answered:
			v.add(&v.LostBookings, "booking %s was acknowledged but is not stored", id)
		case n > 0 && (o == NotRun || o == Failed):
			v.add(&v.RefusedRan, "booking %s was refused (%s) but is stored", id, o)
		}
	}
}
