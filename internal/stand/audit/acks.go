package audit

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ack is a commit that was acknowledged to a caller.
type ack struct {
	at       time.Time
	request  string
	position ident.LogPosition
}

// writers selects commits: those of one session in a group, or with no session all
// of the group.
type writers struct {
	group   ident.Group
	session SessionID
}

// ackLog holds acknowledged commits in the order of their acknowledgement. The
// position of each is the latest one up to it.
type ackLog map[writers][]ack

// acknowledged returns the acknowledged commits, without those that a promotion
// dropped.
func (a *auditor) acknowledged() ackLog {
	type place struct {
		group    ident.Group
		position ident.LogPosition
	}
	dropped := make(map[place]bool)
	for _, e := range a.history.Dropped {
		dropped[place{e.Group, e.Position}] = true
	}
	log := make(ackLog)
	for i := range a.history.Attempts {
		t := &a.history.Attempts[i]
		if !t.succeeded() {
			continue
		}
		for _, s := range a.steps[t.Request] {
			if len(s.Committed) == 0 {
				continue
			}
			c := ack{at: t.Ended, request: t.Request, position: s.Committed[len(s.Committed)-1].Position}
			if !dropped[place{s.Group, c.position}] {
				log.add(writers{group: s.Group}, c)
				log.add(writers{group: s.Group, session: t.Session.ID}, c)
			}
		}
	}
	for _, all := range log {
		slices.SortFunc(all, func(x, y ack) int { return x.at.Compare(y.at) })
		for i := 1; i < len(all); i++ {
			if before := all[i-1]; before.position.Position > all[i].position.Position {
				all[i].position, all[i].request = before.position, before.request
			}
		}
	}
	return log
}

func (l ackLog) add(w writers, c ack) { l[w] = append(l[w], c) }

// before returns the latest commit that was acknowledged before a time, the zero ack
// if there is none. The session is zero for all of them.
func (l ackLog) before(g ident.Group, s SessionID, limit time.Time) ack {
	all := l[writers{group: g, session: s}]
	n, _ := slices.BinarySearchFunc(all, limit, func(c ack, at time.Time) int { return c.at.Compare(at) })
	if n == 0 {
		return ack{}
	}
	return all[n-1]
}
