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

func (rc *recorder) violate(now time.Time, g Guarantee, text string) {
	rc.own.Emit(now, "PromiseBroken", event.Subject{}, event.Ref{}, string(g)+": "+text)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.violations = append(rc.violations, Violation{now, g, text})
}

func (rc *recorder) observe(a load.Attempt) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.attempts = append(rc.attempts, a)
}

func (rc *recorder) addEvents(records []event.Record) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, r := range records {
		// A restarted process reuses sequence numbers, so the time is part of
		// the key.
		rc.events[event.Ref{Instance: r.Instance, Sequence: r.Sequence ^ uint64(r.Wall)}] = r
	}
}

// begin records that a fault takes effect now.
func (rc *recorder) begin(injected *InjectedFault, now time.Time) {
	injected.From = now
	rc.own.Emit(now, "FaultBegins", event.Subject{}, event.Ref{}, string(injected.Kind)+" "+injected.Target)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.faults = append(rc.faults, injected)
}

func (rc *recorder) end(injected *InjectedFault, now time.Time) {
	rc.own.Emit(now, "FaultEnds", event.Subject{}, event.Ref{}, string(injected.Kind)+" "+injected.Target)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	injected.Until = now
}

func (rc *recorder) skip(injected *InjectedFault, now time.Time, why string) {
	injected.Skipped = why
	rc.begin(injected, now)
	rc.end(injected, now)
}

// expectEnd records that a fault ends a process.
func (rc *recorder) expectEnd(pid int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.ended[pid] = true
}

func (rc *recorder) endExpected(pid int) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.ended[pid]
}

// paused records that a proxy is paused until the given time.
func (rc *recorder) paused(name ident.Instance, until time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if until.After(rc.pauses[name]) {
		rc.pauses[name] = until
	}
}

// pausedUntil returns the end of the latest pause of a proxy.
func (rc *recorder) pausedUntil(name ident.Instance) time.Time {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.pauses[name]
}

// around returns the merged event records of all processes within margin of at.
func (rc *recorder) around(at time.Time, margin time.Duration) []event.Record {
	own, _ := rc.own.Since(0)
	rc.mu.Lock()
	var others []event.Record
	for _, r := range rc.events {
		others = append(others, r)
	}
	rc.mu.Unlock()
	low, high := at.Add(-margin).UnixNano(), at.Add(margin).UnixNano()
	return slices.DeleteFunc(event.Merge(own, others), func(r event.Record) bool { return r.Wall < low || r.Wall > high })
}

// sorted returns the violations and the faults in order of time.
func (rc *recorder) sorted() ([]Violation, []*InjectedFault) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	slices.SortStableFunc(rc.violations, func(x, y Violation) int { return x.At.Compare(y.At) })
	slices.SortStableFunc(rc.faults, func(x, y *InjectedFault) int { return cmp.Or(x.From.Compare(y.From), cmp.Compare(x.At, y.At)) })
	return slices.Clone(rc.violations), slices.Clone(rc.faults)
}
