package fleet

import (
	"slices"
	"time"
)

// checkAll checks the guarantees on all nodes. It runs before and after every
// event.
func (s *simulation) checkAll() {
	s.updatePaths()
	for i, n := range s.nodes {
		if n.paused {
			continue
		}
		s.checkTrust(n)
		s.checkInForce(i, n)
	}
}

// checkTrust fails if a node would honour a key that was revoked longer ago
// than the bound Evidence. This is stricter than the guarantee: any version
// after the node's own may have revoked a key.
func (s *simulation) checkTrust(n *simNode) {
	trusted := s.now.Before(n.deadline)
	if trusted && n.version == 0 {
		s.fail("%s is trusted without a document", n.name)
	}
	if !trusted {
		return
	}
	p := n.tracker.currentProof
	if !p.known || s.now.Sub(p.at) > DefaultBounds().Evidence {
		s.byMajority++
	}
	if int(n.version) >= len(s.accepted) {
		return
	}
	if since := s.now.Sub(s.accepted[n.version]); since > DefaultBounds().Evidence {
		s.fail("%s honours keys of version %d, %v after version %d was accepted", n.name, n.version, since, n.version+1)
	}
}

// checkInForce fails if a node lacks a version although it could have learned
// of it for longer than propagationBound.
func (s *simulation) checkInForce(i int, n *simNode) {
	if int(n.version) >= len(s.accepted) {
		return
	}
	since, ok := s.reachableSince(i)
	if !ok {
		return
	}
	if t := s.accepted[n.version]; t.After(since) {
		since = t
	}
	if late := s.now.Sub(since); late > propagationBound {
		s.fail("%s lacks version %d for %v", n.name, n.version+1, late)
	}
}

func (s *simulation) reachableSince(i int) (time.Time, bool) {
	var best time.Time
	for via := range s.nodes {
		if t, ok := s.workingSince[simPath{node: i, via: via}]; ok && (best.IsZero() || t.Before(best)) {
			best = t
		}
	}
	return best, !best.IsZero()
}

// updatePaths records since when each path works: to the store directly, stored
// as through the node itself, or through a peer that reaches the store.
func (s *simulation) updatePaths() {
	if !s.pathsChanged {
		return
	}
	s.pathsChanged = false
	for i := range s.nodes {
		for via := range s.nodes {
			p := simPath{node: i, via: via}
			if !s.pathWorks(i, via) {
				delete(s.workingSince, p)
			} else if _, ok := s.workingSince[p]; !ok {
				s.workingSince[p] = s.now
			}
		}
	}
}

func (s *simulation) pathWorks(i, via int) bool {
	if s.nodes[i].paused || s.nodes[via].paused || s.slowStore || !s.storeReachable(via) {
		return false
	}
	forward, backward := s.links[i][via], s.links[via][i]
	return !forward.cut && !backward.cut && !forward.slow && !backward.slow
}

// scheduleFault injects one fault or repairs all, and schedules itself again.
func (s *simulation) scheduleFault() {
	s.pathsChanged = true
	switch s.random.IntN(10) {
	case 0:
		s.storeDown = !s.storeDown
	case 1:
		s.slowStore = !s.slowStore
	case 2:
		i := s.random.IntN(len(s.nodes))
		s.nodes[i].storeCut = !s.nodes[i].storeCut
	case 3:
		s.partition(false)
	case 4:
		s.partition(true)
	case 5:
		s.pause(s.random.IntN(len(s.nodes)))
	case 6:
		s.restart(s.random.IntN(len(s.nodes)))
	case 7:
		i, j := s.random.IntN(len(s.nodes)), s.random.IntN(len(s.nodes))
		s.links[i][j].slow = i != j && !s.links[i][j].slow
	default:
		s.repairAll()
	}
	s.after(time.Duration(s.random.IntN(15_000))*time.Millisecond, s.scheduleFault)
}

// partition splits the network into two sides. If oneSided is true, only the
// smaller side can reach the store.
func (s *simulation) partition(oneSided bool) {
	s.partitionAt(s.random.Perm(len(s.nodes)), 1+s.random.IntN(len(s.nodes)/2), oneSided)
}

// isolateWithStore leaves access to the store to the author of a write alone,
// while some of the nodes that know of the write restart.
func (s *simulation) isolateWithStore(author int) {
	s.pathsChanged = true
	side := s.random.Perm(len(s.nodes))
	side[slices.Index(side, 0)] = side[author]
	side[author] = 0
	s.partitionAt(side, 1, true)
	for j := range s.nodes {
		if j != author && s.random.IntN(2) == 0 {
			s.restart(j)
		}
	}
}

// partitionAt puts the nodes whose position is below small on the smaller side.
func (s *simulation) partitionAt(side []int, small int, oneSided bool) {
	for i := range s.nodes {
		if oneSided {
			s.nodes[i].storeCut = side[i] >= small
		}
		for j := range s.nodes {
			s.links[i][j].cut = (side[i] < small) != (side[j] < small)
		}
	}
	if oneSided {
		s.storeDown, s.slowStore = false, false
	}
}

func (s *simulation) repairAll() {
	s.storeDown, s.slowStore = false, false
	for i, n := range s.nodes {
		n.storeCut = false
		for j := range s.nodes {
			s.links[i][j].cut, s.links[i][j].slow = false, false
		}
	}
}

func (s *simulation) pause(i int) {
	n := s.nodes[i]
	if n.paused {
		return
	}
	n.paused = true
	incarnation := n.incarnation
	s.after(time.Duration(s.random.IntN(40_000))*time.Millisecond, func() {
		if n.incarnation != incarnation {
			return
		}
		n.paused = false
		s.pathsChanged = true
		s.checkAll() // a request may come before the deferred inputs
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			f()
			s.checkAll()
		}
	})
}

func (s *simulation) restart(i int) {
	for j := range s.nodes {
		delete(s.workingSince, simPath{node: i, via: j})
		delete(s.workingSince, simPath{node: j, via: i})
	}
	s.start(i)
}
