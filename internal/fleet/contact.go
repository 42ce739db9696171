package fleet

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const maxUnanswered = 64

type sentHead struct {
	sequence uint64
	at       time.Time
}

// contact is what one instance knows of one peer.
type contact struct {
	start      uint64 // of the peer's process
	sequence   uint64 // of the latest head sent to the peer
	echo       uint64 // highest sequence heard from the peer
	unanswered []sentHead

	// at is when the head was sent that the peer had received before it sent
	// its own latest one: the peer was alive and connected after it.
	at        time.Time
	settled   bool
	announced ident.Version
	version   ident.Version
}

// hear takes in a head and returns the time after which it was composed. The
// time of receipt proves nothing, since a head may wait in a socket while the
// receiver is paused.
func (c *contact) hear(h peer.Head, ownStart uint64) (composedAfter time.Time, proved bool) {
	if c.start != h.Start {
		*c = contact{start: h.Start, sequence: c.sequence, unanswered: c.unanswered}
	}
	c.echo = max(c.echo, h.Sequence)
	c.version = h.Version
	if h.EchoStart != ownStart {
		return time.Time{}, false
	}
	at, ok := c.answered(h.Echo)
	if !ok {
		return time.Time{}, false
	}
	c.at = at
	c.settled = h.Settled
	c.announced = h.Announced
	return at, true
}

// answered returns when the head with the sequence was sent, and forgets those
// before it.
func (c *contact) answered(sequence uint64) (time.Time, bool) {
	for i, s := range c.unanswered {
		if s.sequence == sequence {
			c.unanswered = c.unanswered[i:]
			return s.at, true
		}
	}
	return time.Time{}, false
}

// next numbers a head that is sent now.
func (c *contact) next(now time.Time) (sequence uint64) {
	c.sequence++
	if len(c.unanswered) == maxUnanswered {
		c.unanswered = c.unanswered[1:]
	}
	c.unanswered = append(c.unanswered, sentHead{sequence: c.sequence, at: now})
	return c.sequence
}
