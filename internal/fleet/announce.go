package fleet

import (
	"fmt"
	"time"
)

// pendingAnnounce is an operator's change that waits until half of the
// instances know of it.
type pendingAnnounce struct {
	Announce
	receivedAt time.Time
}

func (t *DocumentTracker) handleAnnounce(m Announce, now time.Time) []Cmd {
	t.observeAnnouncement(m.Version, now)
	t.pendingAnnounces = append(t.pendingAnnounces, pendingAnnounce{Announce: m, receivedAt: now})
	cmds := []Cmd{Record{Kind: ChangeAnnounced, Note: fmt.Sprintf("version %d", m.Version)}}
	return append(cmds, t.sendHeads(now)...)
}

// completeAnnounces completes the changes that enough instances know of, and
// drops those that have expired.
func (t *DocumentTracker) completeAnnounces(now time.Time) []Cmd {
	var cmds []Cmd
	kept := t.pendingAnnounces[:0]
	for _, a := range t.pendingAnnounces {
		switch {
		case t.knownByHalf(a):
			cmds = append(cmds, Prepared{ID: a.ID})
		case now.Sub(a.receivedAt) < t.bounds.Announce:
			kept = append(kept, a)
		}
	}
	t.pendingAnnounces = kept
	return cmds
}

// knownByHalf reports whether at least half of the known instances, including
// this one, know of the announcement. An instance that is trusted by its
// contacts is connected to more than half of them, and therefore to one that
// knows.
func (t *DocumentTracker) knownByHalf(a pendingAnnounce) bool {
	if t.disabled&announceWrites != 0 {
		return true
	}
	count := 0
	for _, n := range t.known {
		c := t.contacts[n]
		if n == t.self || c != nil && c.announced >= a.Version && !c.aliveAt.Before(a.receivedAt) {
			count++
		}
	}
	return count > 0 && 2*count >= len(t.known)
}
