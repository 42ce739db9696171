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
	simTime     = 20 * time.Second
	simService  = 5 * time.Millisecond
	simSlots    = 2
	simInTime   = 50 * time.Millisecond
	steadyEvery = 10 * time.Millisecond  // a quarter of the capacity
	floodEvery  = 500 * time.Microsecond // five times the capacity
	simWaiters  = 200
)

// queueSim is an endpoint whose connections a WaitQueue shares between a steady
// account and an account that floods it.
type queueSim struct {
	queue     WaitQueue
	queuedAt  map[*Waiter]time.Time
	busyUntil [simSlots]time.Time
	steady    int // requests of the steady account
	inTime    int // of those, how many got a connection within simInTime
	flooded   int // served requests of the flooding account
}

func (s *queueSim) push(requester Requester, now time.Time) {
	w := &Waiter{Requester: requester}
	if s.queue.Push(requester, w, now) == nil {
		s.queuedAt[w] = now
	}
}

func (s *queueSim) serve(now time.Time) {
	for i := range s.busyUntil {
		if now.Before(s.busyUntil[i]) {
			continue
		}
		w, ok := s.queue.Pop(now)
		if !ok {
			return
		}
		s.busyUntil[i] = now.Add(simService)
		if w.Requester.Account == "flood" {
			s.flooded++
		} else if now.Sub(s.queuedAt[w]) <= simInTime {
			s.inTime++
		}
		delete(s.queuedAt, w)
	}
}

func simulate(queue WaitQueue) *queueSim {
	s := &queueSim{queue: queue, queuedAt: map[*Waiter]time.Time{}}
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < simTime; at += simTick {
		now := start.Add(at)
		if at%floodEvery == 0 {
			s.push(Requester{Account: "flood", Weight: 1}, now)
		}
		if at%steadyEvery == 0 {
			s.steady++
			s.push(Requester{Account: "steady", Weight: 1}, now)
		}
		s.serve(now)
	}
	return s
}

// TestFloodLeavesOthersTheirShare compares the fair queue with FIFO while one
// account sends five times the requests that the endpoint can serve.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	const promised = 0.99
	g := NewWithT(t)
	fair := simulate(NewFairQueue(acct.FairQueueLimits{MaxWait: 250 * time.Millisecond, PerAccount: simWaiters}))
	fifo := simulate(NewFIFO(simWaiters))
	share := func(s *queueSim) float64 { return float64(s.inTime) / float64(s.steady) }
	t.Logf("served in time: fair %.4f, FIFO %.4f; flood requests served: %d and %d", share(fair), share(fifo), fair.flooded, fifo.flooded)
	g.Expect(share(fair)).To(BeNumerically(">=", promised))
	g.Expect(share(fifo)).To(BeNumerically("<", promised), "the flood does not overload the endpoint")
	capacity := int(simTime/simService) * simSlots
	g.Expect(fair.flooded+fair.inTime).To(BeNumerically(">=", capacity*99/100), "the endpoint is not fully used")
}
