package fleet

import (
	"fmt"
	"time"
)

// ask is an operator's change that waits for half of the instances to know of
// it.
type ask struct {
	Announce
	at time.Time
}

func (s *DocumentTracker) announceOwn(m Announce, now time.Time) []Cmd {
	s.announce(m.Version, now)
	s.asks = append(s.asks, ask{Announce: m, at: now})
	cmds := []Cmd{Record{Kind: ChangeAnnounced, Note: fmt.Sprintf("version %d", m.Version)}}
	return append(cmds, s.beat(now)...)
}

// answerAsks answers the announcements that enough instances hold and forgets
// those that have run out.
func (s *DocumentTracker) answerAsks(now time.Time) []Cmd {
	var cmds []Cmd
	kept := s.asks[:0]
	for _, a := range s.asks {
		switch {
		case s.heldByHalf(a):
			cmds = append(cmds, Prepared{ID: a.ID})
		case now.Sub(a.at) < s.bounds.Announce:
			kept = append(kept, a)
		}
	}
	s.asks = kept
	return cmds
}

// heldByHalf reports whether half of the known instances, this one included,
// hold the announcement. Each instance that trusts its contacts is in touch
// with more than half, thus with one of them.
func (s *DocumentTracker) heldByHalf(a ask) bool {
	if s.off&announcing != 0 {
		return true
	}
	held := 0
	for _, n := range s.known {
		c := s.contacts[n]
		if n == s.self || c != nil && c.announced >= a.Version && !c.at.Before(a.at) {
			held++
		}
	}
	return held > 0 && 2*held >= len(s.known)
}
