package fleet

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const maxUnacknowledged = 64

type sentHead struct {
	sequence uint64
	sentAt   time.Time
}

// contact is what an instance knows about one peer.
type contact struct {
	peerStart      uint64 // start of the peer's process
	sequence       uint64 // of the latest head sent to the peer
	received       uint64 // highest sequence received from the peer
	unacknowledged []sentHead

	// aliveAt is when this instance sent the latest head that the peer has
	// acknowledged: the peer was alive and connected after that.
	aliveAt   time.Time
	settled   bool
	announced ident.Version
	version   ident.Version
}

// receive processes a head and returns a time before which it was not composed.
// The time of receipt proves nothing, because a head may wait in a socket while
// the receiver is paused.
func (c *contact) receive(h peer.Head, ownStart uint64) (composedAfter time.Time, proved bool) {
	if c.peerStart != h.Start {
		*c = contact{peerStart: h.Start, sequence: c.sequence, unacknowledged: c.unacknowledged}
	}
	c.received = max(c.received, h.Sequence)
	c.version = h.Version
	if h.EchoStart != ownStart {
		return time.Time{}, false
	}
	at, ok := c.acknowledge(h.Echo)
	if !ok {
		return time.Time{}, false
	}
	c.aliveAt = at
	c.settled = h.Settled
	c.announced = h.Announced
	return at, true
}

// acknowledge returns when the head with the sequence was sent, and drops the
// ones before it.
func (c *contact) acknowledge(sequence uint64) (time.Time, bool) {
	for i, s := range c.unacknowledged {
		if s.sequence == sequence {
			c.unacknowledged = c.unacknowledged[i:]
			return s.sentAt, true
		}
	}
	return time.Time{}, false
}

// next assigns a sequence to a head that is sent now.
func (c *contact) next(now time.Time) (sequence uint64) {
	c.sequence++
	if len(c.unacknowledged) == maxUnacknowledged {
		c.unacknowledged = c.unacknowledged[1:]
	}
	c.unacknowledged = append(c.unacknowledged, sentHead{sequence: c.sequence, sentAt: now})
	return c.sequence
}
