package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// This file answers the load in which every replica lags so far behind that no
// read may run there, while the primary has fewer slots than the reads need. The
// replicas are idle and calls are rejected. The primary holds all commits and
// would serve reads as a replica, if another endpoint were the primary.

const (
	// lagQueueTime is the time that the primary's slots need for the reads that
	// wait because of the lag, from which on the primary counts as overloaded.
	lagQueueTime = 100 * time.Millisecond
	// lagQueueSpan is how long it must have been overloaded. Callers lose about as
	// much by a change of primary.
	lagQueueSpan = time.Second
	// lagMemory is how long a replica counts as lagging after it has refused a
	// read because it lacked a position. While reads wait, it is asked again
	// several times in this period.
	lagMemory = time.Second
)

// ReplicasLagging reports that the primary is overloaded with reads that no
// replica is recent enough for.
type ReplicasLagging struct {
	Endpoint ident.Endpoint // the primary
	Reads    int            // that wait for it
	Queue    time.Duration  // the time that its slots need for them
}

func (ReplicasLagging) message() {}

// ReplicasLagging reports whether the primary has been overloaded for
// lagQueueSpan with reads that no replica is recent enough for.
func (s *Scheduler) ReplicasLagging(now time.Time) (ReplicasLagging, bool) {
	if s.laggingSince.IsZero() || now.Sub(s.laggingSince) < lagQueueSpan {
		return ReplicasLagging{}, false
	}
	return s.readsBehindLag(now), true
}

// updateLagging records since when the primary has been overloaded with reads
// that no replica is recent enough for.
func (s *Scheduler) updateLagging(now time.Time) {
	if s.readsBehindLag(now).Queue < lagQueueTime {
		s.laggingSince = time.Time{}
		return
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = now
	}
}

// readsBehindLag counts the waiting reads that no replica is recent enough for.
func (s *Scheduler) readsBehindLag(now time.Time) ReplicasLagging {
	m := ReplicasLagging{Endpoint: s.primary.Endpoint}
	e := s.endpoints[s.primary.Endpoint]
	if e == nil || !s.primary.Usable || len(s.sorted) == 1 {
		return m
	}
	for _, w := range s.waiting {
		if !w.call.PrimaryOnly && s.allReplicasLag(now, w.call) {
			m.Reads++
			m.Queue += s.expectedService(w)
		}
	}
	m.Queue /= time.Duration(max(1, e.Slots))
	return m
}

// allReplicasLag reports whether no replica is known to hold a position that is
// recent enough for a call of any session.
func (s *Scheduler) allReplicasLag(now time.Time, c *engine.Call) bool {
	floor, _, proven := s.floors.floor(now, c.MaxLag)
	if !proven {
		return false
	}
	for _, e := range s.sorted {
		if e.ID != s.primary.Endpoint && e.position.Covers(floor) {
			return false
		}
	}
	return true
}

// lags reports whether a replica lags too far behind for a read of any session,
// by its latest answers. What the session itself has written does not count:
// replicas that lag little lack it, too. For a call that only the primary runs, it
// tells whether the replica takes part in the reads that the primary would run
// otherwise.
func (s *Scheduler) lags(now time.Time, e *endpoint, c *engine.Call) bool {
	if now.Sub(e.behindUntil) > lagMemory {
		return false
	}
	maxLag := c.MaxLag
	if c.PrimaryOnly {
		maxLag = s.readLag
	}
	floor, _, proven := s.floors.floor(now, maxLag)
	return proven && !e.position.Covers(floor)
}
