package fleet

import (
	"slices"
	"time"
)

// The checks of the promises, on all nodes after every step.

func (s *simulation) checkAll() {
	s.tracePaths()
	for i, n := range s.nodes {
		if n.paused {
			continue
		}
		s.checkTrust(n)
		s.checkInForce(i, n)
	}
}

// checkTrust fails when a node would honour a key that was withdrawn longer
// ago than the bound Evidence, which is stricter than the promise: any version
// after its own may have withdrawn one.
func (s *simulation) checkTrust(n *simNode) {
	trusted := s.now.Before(n.deadline)
	if trusted && n.version == 0 {
		s.fail("%s is trusted without a document", n.name)
	}
	if !trusted {
		return
	}
	p := n.spread.proof
	if !p.known || s.now.Sub(p.at) > DefaultBounds().Evidence {
		s.byMajority++
	}
	if int(n.version) >= len(s.accepted) {
		return
	}
	if since := s.now.Sub(s.accepted[n.version]); since > DefaultBounds().Evidence {
		s.fail("%s honours keys by version %d, %v after version %d", n.name, n.version, since, n.version+1)
	}
}

// checkInForce fails when a node that has been in touch all the time lacks a
// version.
func (s *simulation) checkInForce(i int, n *simNode) {
	if int(n.version) >= len(s.accepted) {
		return
	}
	since, ok := s.inTouchSince(i)
	if !ok {
		return
	}
	if t := s.accepted[n.version]; t.After(since) {
		since = t
	}
	if late := s.now.Sub(since); late > promise {
		s.fail("%s lacks version %d for %v", n.name, n.version+1, late)
	}
}

func (s *simulation) inTouchSince(i int) (time.Time, bool) {
	var best time.Time
	for via := range s.nodes {
		if t, ok := s.paths[simPath{node: i, via: via}]; ok && (best.IsZero() || t.Before(best)) {
			best = t
		}
	}
	return best, !best.IsZero()
}

// tracePaths notes since when each path is good: to the store itself, noted as
// via the node, or via a peer that reaches it.
func (s *simulation) tracePaths() {
	if !s.disturbed {
		return
	}
	s.disturbed = false
	for i := range s.nodes {
		for via := range s.nodes {
			p := simPath{node: i, via: via}
			if !s.goodPath(i, via) {
				delete(s.paths, p)
			} else if _, ok := s.paths[p]; !ok {
				s.paths[p] = s.now
			}
		}
	}
}

func (s *simulation) goodPath(i, via int) bool {
	if s.nodes[i].paused || s.nodes[via].paused || s.slowStore || !s.reach(via) {
		return false
	}
	there, back := s.links[i][via], s.links[via][i]
	return !there.cut && !back.cut && !there.slow && !back.slow
}

// disturb brings one fault, or mends some, and comes again.
func (s *simulation) disturb() {
	s.disturbed = true
	switch s.random.IntN(10) {
	case 0:
		s.out = !s.out
	case 1:
		s.slowStore = !s.slowStore
	case 2:
		i := s.random.IntN(len(s.nodes))
		s.nodes[i].storeCut = !s.nodes[i].storeCut
	case 3:
		s.split(false)
	case 4:
		s.split(true)
	case 5:
		s.pause(s.random.IntN(len(s.nodes)))
	case 6:
		s.restart(s.random.IntN(len(s.nodes)))
	case 7:
		i, j := s.random.IntN(len(s.nodes)), s.random.IntN(len(s.nodes))
		s.links[i][j].slow = i != j && !s.links[i][j].slow
	default:
		s.mend()
	}
	s.after(time.Duration(s.random.IntN(15_000))*time.Millisecond, s.disturb)
}

// split cuts the nodes in two. With oneSided, only the smaller side keeps the
// store.
func (s *simulation) split(oneSided bool) {
	s.splitAt(s.random.Perm(len(s.nodes)), 1+s.random.IntN(len(s.nodes)/2), oneSided)
}

// strike leaves the store to the author of a write alone, while some of those
// that know of the write start anew.
func (s *simulation) strike(author int) {
	s.disturbed = true
	side := s.random.Perm(len(s.nodes))
	side[slices.Index(side, 0)] = side[author]
	side[author] = 0
	s.splitAt(side, 1, true)
	for j := range s.nodes {
		if j != author && s.random.IntN(2) == 0 {
			s.restart(j)
		}
	}
}

// splitAt puts the nodes whose place is below small on the smaller side.
func (s *simulation) splitAt(side []int, small int, oneSided bool) {
	for i := range s.nodes {
		if oneSided {
			s.nodes[i].storeCut = side[i] >= small
		}
		for j := range s.nodes {
			s.links[i][j].cut = (side[i] < small) != (side[j] < small)
		}
	}
	if oneSided {
		s.out, s.slowStore = false, false
	}
}

func (s *simulation) mend() {
	s.out, s.slowStore = false, false
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
	life := n.life
	s.after(time.Duration(s.random.IntN(40_000))*time.Millisecond, func() {
		if n.life != life {
			return
		}
		n.paused = false
		s.disturbed = true
		s.checkAll() // a request may come first
		waiting := n.waiting
		n.waiting = nil
		for _, f := range waiting {
			f()
			s.checkAll()
		}
	})
}

func (s *simulation) restart(i int) {
	for j := range s.nodes {
		delete(s.paths, simPath{node: i, via: j})
		delete(s.paths, simPath{node: j, via: i})
	}
	s.start(i)
}
