package relay

import (
	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
)

// StoreNeed is how an instance has to follow the platform's store.
type StoreNeed uint8

// The needs.
const (
	// FollowClosely means that other instances rely on this one.
	FollowClosely StoreNeed = iota
	// FollowLoosely means that this instance follows the store for itself,
	// because it hears of no instance that does.
	FollowLoosely
	// RelyOnPeers means that the peers tell this instance of changes.
	RelyOnPeers
)

// StoreNeed returns how this instance has to follow the store at present.
func (n *Node) StoreNeed() StoreNeed {
	need := FollowLoosely
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.view.Load().roster.FollowsStore():
		need = FollowClosely
	case n.roster.HasFollower(clock.Now()):
		need = RelyOnPeers
	}
	n.configFetch.NoFeed, n.directoryFetch.NoFeed, n.memberFetch.NoFeed = need == RelyOnPeers, need == RelyOnPeers, need == RelyOnPeers
	n.evacuations.fetch.NoFeed = need == RelyOnPeers
	return need
}

// OperatorNeed returns how this instance has to follow the operator's table at
// present. It relies only on peers that serve the configuration in time and, unless
// evacuations are ignored, know them.
func (n *Node) OperatorNeed() StoreNeed {
	need := n.StoreNeed()
	now := clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	unserved := n.configFetch.NeedsStore(now) || n.evacuations.enabled && !n.evacuations.hasSource(now)
	if need == RelyOnPeers && unserved {
		return FollowLoosely
	}
	return need
}

// SetStoreState updates how this instance follows the store. The peers are told
// at once, because others have to follow it if this one does not.
func (n *Node) SetStoreState(s roster.StoreState) {
	n.mu.Lock()
	changed := s != n.storeState
	n.storeState = s
	n.mu.Unlock()
	if changed {
		n.announceVersions()
	}
}
