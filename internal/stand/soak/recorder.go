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

// Guarantee names a guarantee of the system.
type Guarantee string

// The guarantees that a run checks.
const (
	Invariant       Guarantee = "Invariant"     // an assertion inside a program
	VersionOrder    Guarantee = "VersionOrder"  // a version was reverted or was late
	OneWinner       Guarantee = "OneWinner"     // a version was accepted twice, or lost
	KeyRevoked      Guarantee = "KeyWithdrawn"  // a revoked key was accepted
	QuotaBound      Guarantee = "QuotaBound"    // more than Rate x T + Burst
	GracefulStop    Guarantee = "GracefulStop"  // a drained proxy interrupted a request
	LeavingIdle     Guarantee = "LeavingIdle"   // a leaving endpoint received new statements
	ProcessAlive    Guarantee = "ProcessAlive"  // a process ended or hung without a fault
	CallerGuarantee Guarantee = "CallerPromise" // orders, own writes, complete answers
)

// Violation is a violated guarantee.
type Violation struct {
	At        time.Time
	Guarantee Guarantee `json:"Promise"`
	Text      string
}

// InjectedFault is a planned fault with the result of its injection.
type InjectedFault struct {
	Fault
	Target string
	From   time.Time
	Until  time.Time
	// Skipped is the reason for which the fault was not injected; empty if it
	// was.
	Skipped string
	pid     int
}

// recorder collects the observations of a run.
type recorder struct {
	mu         sync.Mutex
	violations []Violation
	faults     []*InjectedFault
	attempts   []load.Attempt
	events     map[event.Ref]event.Record
	own        *event.Log
	ended      map[int]bool // ids of processes that a fault ends
	pauses     map[ident.Instance]time.Time
}

// ownRecords is the number of event records of the run itself that are kept.
const ownRecords = 1 << 14

func newRecorder() *recorder {
	return &recorder{
		events: map[event.Ref]event.Record{}, own: event.NewLog("soak", ownRecords),
		ended: map[int]bool{}, pauses: map[ident.Instance]time.Time{},
	}
}

func (b *recorder) violate(now time.Time, p Guarantee, text string) {
	b.own.Emit(now, "PromiseBroken", event.Subject{}, event.Ref{}, string(p)+": "+text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{now, p, text})
}

func (b *recorder) observe(a load.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, a)
}

func (b *recorder) addEvents(records []event.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		// A restarted process reuses sequence numbers, so the time is part of
		// the key.
		b.events[event.Ref{Instance: r.Instance, Sequence: r.Sequence ^ uint64(r.Wall)}] = r
	}
}

// begin records that a fault takes effect now.
func (b *recorder) begin(h *InjectedFault, now time.Time) {
	h.From = now
	b.own.Emit(now, "FaultBegins", event.Subject{}, event.Ref{}, string(h.Kind)+" "+h.Target)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, h)
}

func (b *recorder) end(h *InjectedFault, now time.Time) {
	b.own.Emit(now, "FaultEnds", event.Subject{}, event.Ref{}, string(h.Kind)+" "+h.Target)
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Until = now
}

func (b *recorder) skip(h *InjectedFault, now time.Time, why string) {
	h.Skipped = why
	b.begin(h, now)
	b.end(h, now)
}

// expectEnd records that a fault ends a process.
func (b *recorder) expectEnd(pid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended[pid] = true
}

func (b *recorder) endExpected(pid int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended[pid]
}

// paused records that a proxy is paused until the given time.
func (b *recorder) paused(name ident.Instance, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.pauses[name]) {
		b.pauses[name] = until
	}
}

// pausedUntil returns the end of the latest pause of a proxy.
func (b *recorder) pausedUntil(name ident.Instance) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses[name]
}

// around returns the merged event records of all processes within margin of at.
func (b *recorder) around(at time.Time, margin time.Duration) []event.Record {
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

// sorted returns the violations and the faults in order of time.
func (b *recorder) sorted() ([]Violation, []*InjectedFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slices.SortStableFunc(b.violations, func(x, y Violation) int { return x.At.Compare(y.At) })
	slices.SortStableFunc(b.faults, func(x, y *InjectedFault) int { return cmp.Or(x.From.Compare(y.From), cmp.Compare(x.At, y.At)) })
	return slices.Clone(b.violations), slices.Clone(b.faults)
}
