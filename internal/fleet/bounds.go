package fleet

import "time"

// Bounds holds the intervals and bounds of the spread. A withdrawn key stops
// working on every instance at most max(Evidence, Contact) after the document
// without it was accepted.
type Bounds struct {
	// Poll is the mean time between two reads of the head, Retry the time
	// after a failed one. Jitter is added to both.
	Poll  time.Duration
	Retry time.Duration
	// Overlap is how long a read may run before the next one begins beside it.
	Overlap time.Duration
	// Heartbeat is the time between two heads to a peer.
	Heartbeat time.Duration
	// Evidence is how old the proof may be that no later version is in force.
	Evidence time.Duration
	// Contact is how long ago a peer must have been proved alive to count as
	// in touch.
	Contact time.Duration
	// Announce is how long after its announcement a document may be written.
	Announce time.Duration
	// Fetch is how long a source may take to give a text before the next one
	// is asked.
	Fetch time.Duration
}

// DefaultBounds returns the bounds for a promise of 9 s.
func DefaultBounds() Bounds {
	return Bounds{
		Poll:      2 * time.Second,
		Retry:     500 * time.Millisecond,
		Overlap:   time.Second,
		Heartbeat: 500 * time.Millisecond,
		Evidence:  6 * time.Second,
		Contact:   2500 * time.Millisecond,
		Announce:  15 * time.Second,
		Fetch:     500 * time.Millisecond,
	}
}
