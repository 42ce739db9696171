package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// introduceDelay is how long the list of members may take to arrive: two links
// to the same instance, one from either side, would cost more time.
const introduceDelay = 300 * time.Millisecond

// Introduce connects to instances whose names are not known, at any of the
// addresses, for as long as this instance has no other link: from them it hears
// of the rest. Unlike the links of SetMembers they are opened whichever name is
// smaller.
func (m *Mesh) Introduce(addresses []string) {
	for _, a := range addresses {
		m.group.Go(func(ctx context.Context) error {
			m.introduce(ctx, a)
			return nil
		})
	}
}

func (m *Mesh) introduce(ctx context.Context, address string) {
	tasks.Pause(ctx, introduceDelay)
	pause := m.options.backoffMin
	for ctx.Err() == nil {
		if len(*m.links.Load()) == 0 {
			pause = min(2*pause, m.options.backoffMax)
			if err := m.introduceOnce(ctx, address); err != nil {
				klog.V(2).InfoS("No introduction", "address", address, "reason", err)
			}
		}
		tasks.Pause(ctx, pause/2+rand.N(pause/2+time.Millisecond))
	}
}

// introduceOnce connects and carries the link until it ends.
func (m *Mesh) introduceOnce(ctx context.Context, address string) error {
	c, hello, err := m.connect(ctx, address, "")
	if err != nil {
		return err
	}
	l := m.newLink(hello, c)
	stop := context.AfterFunc(ctx, l.finish)
	defer stop()
	return m.carry(l)
}

func (m *Mesh) linked(peer ident.Instance) bool {
	return (*m.links.Load())[peer] != nil
}
