package relay

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// inbound admits the calls of other instances and knows how many run. All of
// them are answered before the instance ends.
type inbound struct {
	mu       sync.Mutex
	end      time.Time // when the calls have to be done, if it is set
	refusing bool      // admits rollbacks only
	finished bool
	running  int
	idle     chan struct{} // closed when finished is set and no call runs
}

func newInbound() *inbound { return &inbound{idle: make(chan struct{})} }

// limit sets when the calls have to be done.
func (i *inbound) limit(end time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.end = end
}

// refuse admits no further calls but rollbacks.
func (i *inbound) refuse() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refusing = true
}

// admit reports whether a call may run, and shortens its time to what the
// instance has left.
func (i *inbound) admit(now time.Time, call *engine.Call) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.finished || i.refusing && call.Phase != engine.End {
		return false
	}
	if !i.end.IsZero() {
		call.Timeout = min(call.Timeout, i.end.Sub(now))
	}
	i.running++
	return true
}

// done ends a call whose answer has been sent.
func (i *inbound) done() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	i.closeIdle()
}

func (i *inbound) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running
}

// closeIdle closes idle if it is due. The caller holds the mutex.
func (i *inbound) closeIdle() {
	if i.finished && i.running == 0 {
		close(i.idle)
	}
}

// finish admits no further calls and waits for those that run, for limit at
// most. It reports whether all are done.
func (i *inbound) finish(ctx context.Context, limit time.Duration) bool {
	i.mu.Lock()
	if !i.finished {
		i.finished = true
		i.closeIdle()
	}
	i.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-i.idle:
		return true
	case <-ctx.Done():
		return false
	}
}
