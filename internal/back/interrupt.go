package back

import (
	"context"
	"maps"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
)

// Interrupt gives up on an endpoint that was replaced as the primary. Those
// who wait for a connection are told at once that it is unreachable. The
// exchanges that run now get grace to end, since an endpoint that still
// answers may prove that it ran nothing; then their connections are closed.
func (p *Pool) Interrupt(grace time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.failAll(errors.Mark(errors.New("the primary was replaced"), ErrUnreachable), now)
	held := maps.Clone(p.lent)
	p.group.Go(func(ctx context.Context) error {
		tasks.Pause(ctx, grace)
		p.cut(held)
		return nil
	})
}

// cut closes the connections that have been lent all the time since held was
// taken. Their exchanges end as lost.
func (p *Pool) cut(held map[*Conn]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, serial := range held {
		if p.lent[c] == serial {
			_ = c.socket.Close()
		}
	}
}

// lend notes that a connection is lent. Serial tells its loans apart.
func (p *Pool) lend(c *Conn) {
	p.serial++
	p.lent[c] = p.serial
}
