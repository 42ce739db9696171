package fleet

import "time"

// Bounds holds the intervals and limits of DocumentTracker. A revoked key stops
// working on every instance at most max(Evidence, Contact) after the document
// without it was accepted.
type Bounds struct {
	// Poll is the mean time between two reads of the head, Retry the time after
	// a failed one. Both are jittered.
	Poll  time.Duration
	Retry time.Duration
	// Overlap is how long a read may take before the next one starts
	// concurrently.
	Overlap time.Duration
	// Heartbeat is the time between two heads sent to a peer.
	Heartbeat time.Duration
	// Evidence is the maximum age of the proof that no later version is in
	// force.
	Evidence time.Duration
	// Contact is how long ago a peer may last have been proved alive to count
	// as connected.
	Contact time.Duration
	// Announce is how long after its announcement a document may be written.
	Announce time.Duration
	// Fetch is how long a source may take to send a text before the next one is
	// tried.
	Fetch time.Duration
}

// DefaultBounds returns the bounds with which a document is in force on all
// connected instances within 9 s.
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

// MemberBounds holds the intervals and limits of Members.
type MemberBounds struct {
	// Renew is the time between two writes of the instance's own row.
	Renew time.Duration
	// Poll is the time between two reads of all rows.
	Poll time.Duration
	// Life is how long an instance whose row does not change still counts as
	// live.
	Life time.Duration
	// List is the time between two reads of the platform's list of instances.
	List time.Duration
	// Remove is how long a row must be unchanged, and its instance not
	// connected, before another instance deletes it. The deleting instance must
	// be connected to half of the known ones: then the others are no majority
	// that could still honour keys because of its contacts, and a few isolated
	// instances never reduce the number that forms a majority. Alternatively,
	// the platform's list must show that the instance is gone.
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
