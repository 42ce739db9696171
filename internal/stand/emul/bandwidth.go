package emul

import (
	"sync"
	"time"
)

// packetBytes is the unit in which connections share the link of a host.
const packetBytes = 1500

// hostLink is the link of a host with a limited bandwidth. A nil link has no
// limit.
type hostLink struct{ outgoing, incoming direction }

func newHostLink(rate int) *hostLink {
	return &hostLink{outgoing: direction{rate: rate}, incoming: direction{rate: rate}}
}

// send blocks while a packet is sent.
func (l *hostLink) send(packet []byte) {
	if l != nil {
		l.outgoing.transmit(len(packet))
	}
}

// receive blocks while a packet is received.
func (l *hostLink) receive(packet []byte) {
	if l != nil {
		l.incoming.transmit(len(packet))
	}
}

// direction transmits packets one after the other, in the order in which they
// were handed to it.
type direction struct {
	rate   int // bytes a second
	mu     sync.Mutex
	freeAt time.Time
}

// transmit blocks until a packet of size bytes has been transmitted.
func (d *direction) transmit(size int) {
	d.mu.Lock()
	now := time.Now()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(size) * time.Second / time.Duration(d.rate))
	wait := d.freeAt.Sub(now)
	d.mu.Unlock()
	time.Sleep(wait)
}
