package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Promise names what was broken.
type Promise string

// The promises that a run checks.
const (
	Invariant     Promise = "Invariant"     // an assertion inside a program
	VersionOrder  Promise = "VersionOrder"  // a version went back or came late
	OneWinner     Promise = "OneWinner"     // a version was accepted twice, or lost
	KeyWithdrawn  Promise = "KeyWithdrawn"  // a withdrawn key was served
	QuotaBound    Promise = "QuotaBound"    // more than Rate x T + Burst
	GracefulStop  Promise = "GracefulStop"  // a drained proxy cut a request
	LeavingIdle   Promise = "LeavingIdle"   // a leaving endpoint got new work
	ProcessAlive  Promise = "ProcessAlive"  // a process ended or hung by itself
	CallerPromise Promise = "CallerPromise" // orders, own writes, whole answers
)

// Violation is a broken promise.
type Violation struct {
	At      time.Time
	Promise Promise
	Text    string
}

// Happened is a planned fault as it was carried out.
type Happened struct {
	Fault
	Target string
	From   time.Time
	Until  time.Time
	// Skipped says why it was not carried out.
	Skipped string
	pid     int
}

// book keeps all that is known of a run.
type book struct {
	mu         sync.Mutex
	violations []Violation
	faults     []*Happened
	attempts   []load.Attempt
	events     map[event.Ref]event.Record
	own        *event.Log
	ended      map[int]bool // processes that a fault ends
	pauses     map[ident.Instance]time.Time
}

// ownRecords is how many records of the run itself are kept.
const ownRecords = 1 << 14

func newBook() *book {
	return &book{
		events: map[event.Ref]event.Record{}, own: event.NewLog("soak", ownRecords),
		ended: map[int]bool{}, pauses: map[ident.Instance]time.Time{},
	}
}

func (b *book) violate(now time.Time, p Promise, text string) {
	b.own.Emit(now, "PromiseBroken", event.Subject{}, event.Ref{}, string(p)+": "+text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{now, p, text})
}

func (b *book) observe(a load.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, a)
}

func (b *book) addEvents(records []event.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		// A process that starts anew numbers its records anew.
		b.events[event.Ref{Instance: r.Instance, Sequence: r.Sequence ^ uint64(r.Wall)}] = r
	}
}

// begin notes a fault that takes effect now.
func (b *book) begin(h *Happened, now time.Time) {
	h.From = now
	b.own.Emit(now, "FaultBegins", event.Subject{}, event.Ref{}, string(h.Kind)+" "+h.Target)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, h)
}

func (b *book) end(h *Happened, now time.Time) {
	b.own.Emit(now, "FaultEnds", event.Subject{}, event.Ref{}, string(h.Kind)+" "+h.Target)
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Until = now
}

func (b *book) skip(h *Happened, now time.Time, why string) {
	h.Skipped = why
	b.begin(h, now)
	b.end(h, now)
}

// expectEnd notes that a fault ends a process.
func (b *book) expectEnd(pid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended[pid] = true
}

func (b *book) endExpected(pid int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended[pid]
}

// paused notes that a proxy is about to stand still, or has until now.
func (b *book) paused(name ident.Instance, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.pauses[name]) {
		b.pauses[name] = until
	}
}

// pausedUntil returns the end of the latest pause of a proxy.
func (b *book) pausedUntil(name ident.Instance) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses[name]
}

// around returns the merged records of all processes within margin of at.
func (b *book) around(at time.Time, margin time.Duration) []event.Record {
	own, _ := b.own.Since(0)
	b.mu.Lock()
	var others []event.Record
	for _, r := range b.events {
		others = append(others, r)
	}
	b.mu.Unlock()
	low, high := at.Add(-margin).UnixNano(), at.Add(margin).UnixNano()
	return slices.DeleteFunc(event.Merge(own, others), func(r event.Record) bool { return r.Wall < low || r.Wall > high })
}

// sorted returns the violations and the faults by time.
func (b *book) sorted() ([]Violation, []*Happened) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slices.SortStableFunc(b.violations, func(x, y Violation) int { return x.At.Compare(y.At) })
	slices.SortStableFunc(b.faults, func(x, y *Happened) int { return cmp.Or(x.From.Compare(y.From), cmp.Compare(x.At, y.At)) })
	return slices.Clone(b.violations), slices.Clone(b.faults)
}
