package back

import (
	"context"
	"maps"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
)

// Interrupt ends the use of an endpoint that was replaced as the primary.
// Waiting requests fail at once with ErrUnreachable. Running exchanges may
// continue for grace, since an endpoint that still answers may prove that it
// ran nothing; then their connections are closed.
func (p *Pool) Interrupt(grace time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.failWaiters(errors.Mark(errors.New("the primary was replaced"), ErrUnreachable), now)
	held := maps.Clone(p.held)
	p.tasks.Go(func(ctx context.Context) error {
		tasks.Pause(ctx, grace)
		p.closeHeld(held)
		return nil
	})
}

// closeHeld closes the connections of former that have not been released since
// former was copied from held. Their exchanges fail with a LostError.
func (p *Pool) closeHeld(former map[*Conn]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, serial := range former {
		if p.held[c] == serial {
			_ = c.socket.Close()
		}
	}
}

// markHeld records that a connection is held by a request. The serial number
// distinguishes this hold from later ones of the same connection.
func (p *Pool) markHeld(c *Conn) {
	p.lastSerial++
	p.held[c] = p.lastSerial
}
