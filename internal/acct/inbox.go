package acct

import "sync"

// maxOffered is how many peers' messages may wait for the decider.
const maxOffered = 4096

// inbox collects the inputs of a decider. Putting one in never blocks.
type inbox struct {
	signal chan struct{}

	mu      sync.Mutex
	waiting []Msg
	offered int
}

func newInbox() *inbox {
	return &inbox{signal: make(chan struct{}, 1)}
}

// put adds an input that must not be lost.
func (i *inbox) put(m Msg) {
	i.mu.Lock()
	i.waiting = append(i.waiting, m)
	i.mu.Unlock()
	i.wake()
}

// offer adds an input that may be lost.
func (i *inbox) offer(m Msg) {
	i.mu.Lock()
	full := i.offered >= maxOffered
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

// wake makes the decider look, without adding an input.
func (i *inbox) wake() {
	select {
	case i.signal <- struct{}{}:
	default:
	}
}

// take returns what came since the last take.
func (i *inbox) take() []Msg {
	i.mu.Lock()
	defer i.mu.Unlock()
	all := append(i.waiting, TokensShort{})
	i.waiting = nil
	i.offered = 0
	return all
}
