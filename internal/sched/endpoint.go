package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// slotSlack is how many calls an endpoint gets beyond its slots, so that a
	// slot does not stand idle for the length of a round trip.
	slotSlack = 1
	// behindPause keeps reads away from a replica that lacked a position, but
	// for those that need no more than it is known to hold.
	behindPause = 100 * time.Millisecond
	// fullPause keeps calls away from an endpoint that had no slot.
	fullPause = 20 * time.Millisecond
	// silentPause keeps reads away from an endpoint that did not answer.
	silentPause = time.Second
	// capPause is how long a refused connection lowers the share of the cap.
	capPause = time.Second
	// dialPause is the pause after a failed dial.
	dialPause = 200 * time.Millisecond
	// speedShare is the weight of one answer in an endpoint's mean time.
	speedShare = 0.1
)

// endpoint is the state of one server of the group.
type endpoint struct {
	Endpoint
	conns   map[ConnID]*conn // those being dialled included
	active  int              // dials and calls that take a slot
	mark    ident.LogPosition
	avoid   time.Time // no reads before
	behind  time.Time // no reads of positions beyond mark before
	full    time.Time // no calls before
	noDial  time.Time // no dials before
	capped  time.Time // the share is lowered until
	share   int       // connections allowed while capped
	speed   time.Duration
	drains  time.Time // since when the endpoint is known to drain
	removed bool
}

func newEndpoint() *endpoint { return &endpoint{conns: make(map[ConnID]*conn)} }

// crowded reports whether no connection may be opened beside those that are there.
func (e *endpoint) crowded(now time.Time, share int) bool { return len(e.conns) >= e.limit(now, share) }

// closing reports whether a draining endpoint may not be used any more.
func (e *endpoint) closing(now time.Time, limit time.Duration) bool {
	return limit > 0 && !e.drains.IsZero() && now.Sub(e.drains) > limit
}

func (e *endpoint) room(now time.Time) bool {
	return e.active < max(1, e.Slots)+slotSlack && !now.Before(e.full)
}

func (e *endpoint) limit(now time.Time, share int) int {
	if now.Before(e.capped) {
		return min(share, e.share)
	}
	return share
}

func (e *endpoint) heard(h EndpointObserved) {
	if h.Position.Covers(e.mark) || h.Position.Term > e.mark.Term {
		e.mark = h.Position
	}
	if !h.UsedSlot {
		return
	}
	if e.speed == 0 {
		e.speed = h.Took
	}
	e.speed += time.Duration(speedShare * float64(h.Took-e.speed))
}

func (e *endpoint) trouble(kind FailureKind, now time.Time) {
	switch kind {
	case Behind:
		e.behind = now.Add(behindPause)
	case Saturated:
		e.full = now.Add(fullPause)
	case Unresponsive:
		e.avoid = now.Add(silentPause)
	}
}

// idleOf returns the account's idle connection that was used last.
func (e *endpoint) idleOf(account ident.Account) *conn {
	var best *conn
	for _, c := range e.conns {
		if c.account != account || c.state != idle {
			continue
		}
		if best == nil || c.since.After(best.since) || c.since.Equal(best.since) && c.id < best.id {
			best = c
		}
	}
	return best
}

// victim returns the idle connection that was unused for longest.
func (e *endpoint) victim() *conn {
	var best *conn
	for _, c := range e.conns {
		if c.state != idle {
			continue
		}
		if best == nil || c.since.Before(best.since) || c.since.Equal(best.since) && c.id < best.id {
			best = c
		}
	}
	return best
}

// connState is what a connection does.
type connState uint8

const (
	dialling connState = iota + 1
	idle
	working
	resting // inside a transaction, between statements
)

// conn is one connection, which belongs to one account for good.
type conn struct {
	id       ConnID
	endpoint *endpoint
	account  ident.Account
	state    connState
	since    time.Time
}

func (c *conn) takesSlot() bool { return c.state == dialling || c.state == working }
