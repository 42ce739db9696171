package entry

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// replacedGrace is how long a replaced primary may still answer what it was
// asked before.
const replacedGrace = 250 * time.Millisecond

// watch interrupts what still waits for a primary that was replaced. Without
// it a request at an endpoint that is frozen or cut off would wait for its own
// deadline, long after the failover.
func (s *Sites) watch(ctx context.Context, t *site) error {
	var last ident.Endpoint
	for {
		changed := t.keeper.Changed()
		next := t.keeper.View().PrimaryName()
		if next != "" && next != last {
			s.interrupt(t, last)
			last = next
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Sites) interrupt(t *site, replaced ident.Endpoint) {
	if p := s.pool(t, replaced); p != nil {
		p.Interrupt(replacedGrace, time.Now())
	}
}

// pool returns the connections to an endpoint, or nil when it is gone.
func (s *Sites) pool(t *site, name ident.Endpoint) *back.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.front.Pools[name]
}
