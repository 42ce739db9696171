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

// MemberBounds holds the intervals and bounds of the membership.
type MemberBounds struct {
	// Renew is the time between two writes of the own row.
	Renew time.Duration
	// Poll is the time between two reads of all rows.
	Poll time.Duration
	// Life is how long a row that does not change still counts as a live
	// instance.
	Life time.Duration
	// List is the time between two reads of the platform's list.
	List time.Duration
	// Remove is how long a row must be unchanged, and its instance be
	// unconnected, before the row is deleted for it. That takes an instance in
	// touch with half of the known ones, so that the rest is no majority that
	// could still honour keys by its contacts and a cut-off few never shrink the
	// number that makes one; or the platform's list must show that the instance
	// is gone.
	Remove time.Duration
}

// DefaultMemberBounds returns the bounds for tens of instances.
func DefaultMemberBounds() MemberBounds {
	return MemberBounds{
		Renew:  2 * time.Second,
		Poll:   2 * time.Second,
		Life:   7 * time.Second,
		List:   10 * time.Second,
		Remove: time.Minute,
	}
}
