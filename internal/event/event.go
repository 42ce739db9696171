// Package event records the events of a process, for a timeline over all
// processes. The records are kept in a bounded ring. Dropped records are
// counted. The package does no I/O.
package event

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Kind is the kind of an event in Pascal case, such as PrimaryLost.
type Kind string

// Ref refers to a record of any process.
type Ref struct {
	Instance ident.Instance
	Sequence uint64
}

// Stamp is a hybrid logical timestamp: wall clock in nanoseconds and a counter
// that orders records of equal wall time. See Kulkarni et al., "Logical
// Physical Clocks", OPODIS 2014.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Compare orders stamps. It returns a negative number if s is earlier.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, t.Wall), cmp.Compare(s.Logical, t.Logical))
}

// Subject identifies what a record is about. Empty fields do not apply.
type Subject struct {
	Group    ident.Group    `json:",omitempty"`
	Endpoint ident.Endpoint `json:",omitempty"`
	Account  ident.Account  `json:",omitempty"`
	Session  ident.Session  `json:",omitempty"`
	Request  ident.Request  `json:",omitempty"`
	Peer     ident.Instance `json:",omitempty"`
}

// Record is an entry of the timeline.
type Record struct {
	Ref
	Stamp
	Kind    Kind
	Subject Subject
	Cause   Ref
	Note    string
}

// Log is a bounded ring of a process's records. It is safe for concurrent use
// and is intended for rare events, not for every statement.
type Log struct {
	instance ident.Instance

	mu      sync.Mutex
	last    Stamp
	next    uint64
	ring    []Record
	dropped uint64
}

// NewLog returns a log that keeps the latest capacity records.
func NewLog(instance ident.Instance, capacity int) *Log {
	return &Log{instance: instance, next: 1, ring: make([]Record, 0, capacity)}
}

// Emit appends a record and returns its reference, which can be passed as the
// cause of later records.
func (l *Log) Emit(now time.Time, kind Kind, subject Subject, cause Ref, note string) Ref {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceTo(Stamp{Wall: now.UnixNano()})
	r := Record{Ref: Ref{l.instance, l.next}, Stamp: l.last, Kind: kind, Subject: subject, Cause: cause, Note: note}
	l.next++
	l.store(r)
	return r.Ref
}

// Observe merges a stamp that was received from another process, so that later
// records of this process sort after it.
func (l *Log) Observe(seen Stamp, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceTo(Stamp{Wall: now.UnixNano()})
	if seen.Compare(l.last) >= 0 {
		l.last = Stamp{Wall: seen.Wall, Logical: seen.Logical + 1}
	}
}

// Now returns the current stamp, to be sent with a message.
func (l *Log) Now(now time.Time) Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceTo(Stamp{Wall: now.UnixNano()})
	return l.last
}

// Since returns the retained records after sequence, oldest first, and how many
// records the ring has dropped so far.
func (l *Log) Since(sequence uint64) (records []Record, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.ring {
		if r.Sequence > sequence {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return records, l.dropped
}

func (l *Log) advanceTo(wall Stamp) {
	if wall.Compare(l.last) > 0 {
		l.last = wall
		return
	}
	l.last.Logical++
}

func (l *Log) store(r Record) {
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, r)
		return
	}
	l.dropped++
	l.ring[int((r.Sequence-1)%uint64(cap(l.ring)))] = r
}

// Merge merges the records of several processes, ordered by hybrid logical
// time, then by instance and sequence. A record never sorts before its cause,
// because causes are sent together with their stamps.
func Merge(lists ...[]Record) []Record {
	var all []Record
	for _, l := range lists {
		all = append(all, l...)
	}
	slices.SortStableFunc(all, compareRecords)
	return all
}

func compareRecords(a, b Record) int {
	return cmp.Or(
		a.Compare(b.Stamp),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
