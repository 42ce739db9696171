package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// seedDelay is the pause before the first dial of a seed, so that the list of
// members can arrive first. Otherwise both sides could open a link to each
// other, which would take longer to resolve.
const seedDelay = 300 * time.Millisecond

// ConnectSeeds connects to instances at the given addresses, whose names are
// not known yet, for as long as this instance has no link. The instances that
// it reaches send it the list of the others. Unlike the links of SetMembers,
// these are opened regardless of which name is smaller.
func (m *Mesh) ConnectSeeds(addresses []string) {
	for _, a := range addresses {
		m.tasks.Go(func(ctx context.Context) error {
			m.connectSeed(ctx, a)
			return nil
		})
	}
}

// connectSeed dials address whenever this instance has no link.
func (m *Mesh) connectSeed(ctx context.Context, address string) {
	tasks.Pause(ctx, seedDelay)
	backoff := m.options.minBackoff
	for ctx.Err() == nil {
		if len(*m.links.Load()) == 0 {
			backoff = min(2*backoff, m.options.maxBackoff)
			if err := m.connectSeedOnce(ctx, address); err != nil {
				klog.V(2).InfoS("Could not connect to seed address", "address", address, "reason", err)
			}
		}
		tasks.Pause(ctx, backoff/2+rand.N(backoff/2+time.Millisecond))
	}
}

// connectSeedOnce connects to address and runs the link until it ends.
func (m *Mesh) connectSeedOnce(ctx context.Context, address string) error {
	c, hello, err := m.connect(ctx, address, "")
	if err != nil {
		return err
	}
	l := m.newLink(hello, m.self.Instance, c)
	stop := context.AfterFunc(ctx, l.finish)
	defer stop()
	return m.runLink(l)
}

func (m *Mesh) isConnected(peer ident.Instance) bool {
	return (*m.links.Load())[peer] != nil
}
