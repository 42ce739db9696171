package back

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
)

// Sizes of the simulated endpoint, in virtual time.
const (
	simTick     = 100 * time.Microsecond
	simLength   = 20 * time.Second
	simService  = 5 * time.Millisecond
	simSlots    = 2
	simInTime   = 50 * time.Millisecond
	steadyEvery = 10 * time.Millisecond  // a quarter of the capacity
	floodEvery  = 500 * time.Microsecond // five times the capacity
	simWaiters  = 200
)

// lineRun is an endpoint whose connections are shared by a WaitQueue between a
// steady account and one that floods.
type lineRun struct {
	line    WaitQueue
	asked   map[*Waiter]time.Time
	ends    [simSlots]time.Time
	steady  int // requests of the steady account
	inTime  int // of those, lent a connection in time
	flooded int // requests of the other that were served
}

func (l *lineRun) push(claim Requester, now time.Time) {
	w := &Waiter{Requester: claim}
	if l.line.Push(claim, w, now) == nil {
		l.asked[w] = now
	}
}

func (l *lineRun) serve(now time.Time) {
	for i := range l.ends {
		if now.Before(l.ends[i]) {
			continue
		}
		w, ok := l.line.Pop(now)
		if !ok {
			return
		}
		l.ends[i] = now.Add(simService)
		if w.Requester.Account == "flood" {
			l.flooded++
		} else if now.Sub(l.asked[w]) <= simInTime {
			l.inTime++
		}
		delete(l.asked, w)
	}
}

func simulate(line WaitQueue) *lineRun {
	l := &lineRun{line: line, asked: map[*Waiter]time.Time{}}
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < simLength; at += simTick {
		now := start.Add(at)
		if at%floodEvery == 0 {
			l.push(Requester{Account: "flood", Weight: 1}, now)
		}
		if at%steadyEvery == 0 {
			l.steady++
			l.push(Requester{Account: "steady", Weight: 1}, now)
		}
		l.serve(now)
	}
	return l
}

// TestFloodLeavesOthersTheirShare compares the fair line with arrival order
// while one account sends five times what the endpoint can do.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	const promised = 0.99
	g := NewWithT(t)
	fair := simulate(NewFairQueue(acct.FairQueueLimits{MaxWait: 250 * time.Millisecond, PerAccount: simWaiters}))
	fifo := simulate(NewFIFO(simWaiters))
	share := func(l *lineRun) float64 { return float64(l.inTime) / float64(l.steady) }
	t.Logf("in time: fair %.4f, in order of arrival %.4f; served of the flood: %d and %d", share(fair), share(fifo), fair.flooded, fifo.flooded)
	g.Expect(share(fair)).To(BeNumerically(">=", promised))
	g.Expect(share(fifo)).To(BeNumerically("<", promised), "the flood is no load")
	capacity := int(simLength/simService) * simSlots
	g.Expect(fair.flooded+fair.inTime).To(BeNumerically(">=", capacity*99/100), "the endpoint idles")
}
