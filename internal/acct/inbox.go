package acct

import "sync"

// maxPeerMessages is the maximum number of queued messages from peers.
const maxPeerMessages = 4096

// inbox queues the inputs of Quota. Adding one never blocks.
type inbox struct {
	signal chan struct{}

	mu      sync.Mutex
	waiting []Msg
	offered int
}

func newInbox() *inbox {
	return &inbox{signal: make(chan struct{}, 1)}
}

// put adds an input that must not be dropped.
func (i *inbox) put(m Msg) {
	i.mu.Lock()
	i.waiting = append(i.waiting, m)
	i.mu.Unlock()
	i.wake()
}

// offer adds an input, or drops it when too many are queued.
func (i *inbox) offer(m Msg) {
	i.mu.Lock()
	full := i.offered >= maxPeerMessages
	if !full {
		i.offered++
	}
	i.mu.Unlock()
	if full {
		droppedMessages.Inc()
		return
	}
	i.put(m)
}

// wake wakes the runner without adding an input.
func (i *inbox) wake() {
	select {
	case i.signal <- struct{}{}:
	default:
	}
}

// drain returns the inputs that arrived since the last drain, followed by a
// TokensShort.
func (i *inbox) drain() []Msg {
	i.mu.Lock()
	defer i.mu.Unlock()
	all := append(i.waiting, TokensShort{})
	i.waiting = nil
	i.offered = 0
	return all
}
