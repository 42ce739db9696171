package entry

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// replacedGrace is how long a replaced primary may take to answer requests that
// were sent before it was replaced.
const replacedGrace = 250 * time.Millisecond

// watchPrimary interrupts requests that still wait for a primary that was
// replaced. Otherwise a request at an endpoint that is frozen or unreachable
// would wait until its own timeout, long after the failover.
func (s *Groups) watchPrimary(ctx context.Context, g *servedGroup) error {
	var last ident.Endpoint
	for {
		changed := g.monitor.Changed()
		next := g.monitor.View().PrimaryName()
		if next != "" && next != last {
			s.interrupt(g, last)
			last = next
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Groups) interrupt(g *servedGroup, replaced ident.Endpoint) {
	if p := s.pool(g, replaced); p != nil {
		p.Interrupt(replacedGrace, time.Now())
	}
}

// pool returns the connection pool of an endpoint, or nil if the endpoint was
// removed.
func (s *Groups) pool(g *servedGroup, name ident.Endpoint) *back.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.front.Pools[name]
}
