package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// scenario describes load and faults of a simulation.
type scenario struct {
	accounts         []envdoc.Account
	nodes            int
	load             float64 // offered in busy phases, as a multiple of the rate
	steadyLoad       float64 // offered all the time at one instance, in addition
	phase            time.Duration
	refundShare      float64
	maxStoreDelay    time.Duration
	writeReplyDelay  time.Duration // of the store, in addition
	poll             time.Duration
	faults           []func(*simulation)
	maxFaultInterval time.Duration // between two faults
	length           time.Duration
}

// run runs the scenario and returns the simulation.
func (c scenario) run(seed uint64, change func(*simulation)) *simulation {
	timing := DefaultTiming(6 * time.Second)
	timing.ClaimStagger = 200 * time.Millisecond
	timing.RebalanceAfter = 2 * time.Second
	timing.Promise = 2 * time.Second
	timing.Poll = max(timing.Poll, c.poll)
	s := newSimulation(seed, timing, c.accounts...)
	s.lossShare, s.repeatShare, s.lateShare, s.lostReplyShare = 0.05, 0.1, 0.1, 0.1
	s.callersWait = seed%2 == 0
	s.refundShare, s.phase, s.storeDelay = c.refundShare, c.phase, c.maxStoreDelay
	s.writeReplyDelay = c.writeReplyDelay
	if change != nil {
		change(s)
	}
	for range c.nodes {
		s.addNode()
	}
	end := s.now.Add(c.length)
	for i, a := range c.accounts {
		pick := s.anyNode
		if i%2 == 1 {
			pick = firstNode
		}
		s.offerLoad(a.Name, float64(a.Rate)*c.load, end, pick, s.pausing)
		if c.steadyLoad > 0 {
			s.offerLoad(a.Name, float64(a.Rate)*c.steadyLoad, end, firstNode, never)
		}
	}
	s.scheduleFaults(c, end)
	s.runFor(c.length + time.Second)
	return s
}

// scheduleFaults injects one of the scenario's faults at random intervals until
// end.
func (s *simulation) scheduleFaults(c scenario, end time.Time) {
	s.after(s.between(0, c.maxFaultInterval), func() {
		if s.now.After(end) || len(c.faults) == 0 {
			return
		}
		c.faults[s.random.IntN(len(c.faults))](s)
		s.scheduleFaults(c, end)
	})
}

func killAny(s *simulation) {
	if live := s.live(); len(live) > 2 {
		s.kill(s.anyNode(live))
	}
}

func addInstance(s *simulation) {
	if len(s.live()) < 8 {
		s.addNode()
	}
}

func pauseAny(s *simulation) {
	s.anyNode(s.live()).pausedUntil = s.now.Add(s.between(0, 15*time.Second))
}

func pauseHolder(s *simulation) {
	for _, n := range s.live() {
		if !n.quota.Idle() {
			n.pausedUntil = s.now.Add(s.between(time.Second, 6*time.Second))
			return
		}
	}
}

func pauseFirst(s *simulation) {
	s.live()[0].pausedUntil = s.now.Add(s.between(time.Second, 3*time.Second))
}

func stopAny(s *simulation) {
	if live := s.live(); len(live) > 2 {
		s.anyNode(live).deliver(StopRequested{}, 0)
		s.after(2*time.Second, func() { s.broadcastLive(5 * time.Second) })
	}
}

func cutStoreOfAny(s *simulation) {
	s.anyNode(s.live()).storeCutUntil = s.now.Add(s.between(0, 15*time.Second))
}

func failStore(s *simulation) {
	s.table.down = true
	s.after(s.between(0, 8*time.Second), func() { s.table.down = false })
}

func slowStore(s *simulation) { s.storeDelay = s.between(0, 500*time.Millisecond) }

func changeQuota(s *simulation) {
	a := s.accounts[0]
	a.Burst = minPartBurst + ident.Tokens(s.random.IntN(3*minPartBurst))
	s.setAccounts(append([]envdoc.Account{a}, s.accounts[1:]...)...)
}

// allFaults injects every kind of fault.
func allFaults() scenario {
	return scenario{
		accounts:         []envdoc.Account{account("large", 200, 60), account("odd", 31, 11), account("small", 8, 3)},
		nodes:            6,
		load:             2.5,
		phase:            4 * time.Second,
		refundShare:      0.05,
		faults:           []func(*simulation){killAny, addInstance, addInstance, pauseAny, stopAny, cutStoreOfAny, failStore, slowStore, changeQuota},
		maxFaultInterval: 5 * time.Second,
		length:           60 * time.Second,
	}
}

// staleHolders has instances that are paused or lose the connection to the
// store while they hold leases.
func staleHolders() scenario {
	return scenario{
		accounts:         []envdoc.Account{account("busy", 100, 4)},
		nodes:            6,
		maxStoreDelay:    300 * time.Millisecond,
		load:             3,
		faults:           []func(*simulation){pauseHolder, pauseAny, cutStoreOfAny},
		maxFaultInterval: 8 * time.Second,
		length:           60 * time.Second,
	}
}

// slowReplies is staleHolders with a store that replies late to writes.
func slowReplies() scenario {
	c := staleHolders()
	c.writeReplyDelay = 3 * time.Second
	c.faults = []func(*simulation){cutStoreOfAny}
	return c
}

// movingParts has parts that often change their holder, and full buckets at the
// start.
func movingParts() scenario {
	return scenario{
		accounts:         []envdoc.Account{account("slow", 8, 40)},
		nodes:            5,
		load:             4,
		phase:            8 * time.Second,
		faults:           []func(*simulation){stopAny, addInstance},
		maxFaultInterval: 3 * time.Second,
		length:           60 * time.Second,
	}
}

// heavyLending has instances that borrow many tokens.
func heavyLending() scenario {
	return scenario{
		accounts:   []envdoc.Account{account("even", 200, 24), account("skewed", 100, 20), account("tiny", 40, 4)},
		nodes:      6,
		load:       8,
		steadyLoad: 0.7,
		phase:      500 * time.Millisecond,
		length:     12 * time.Second,
	}
}

// pausedBorrowers is heavyLending with pauses of an instance.
func pausedBorrowers() scenario {
	c := heavyLending()
	c.accounts = []envdoc.Account{account("slow", 60, 240)}
	c.load = 12
	c.steadyLoad = 0.45
	c.phase = 8 * time.Second
	c.length = time.Minute
	c.faults = []func(*simulation){pauseFirst}
	c.maxFaultInterval = 2 * time.Second
	return c
}

// failingRequests has many requests that do not run.
func failingRequests() scenario {
	return scenario{
		accounts:    []envdoc.Account{account("slow", 8, 40)},
		nodes:       2,
		load:        8,
		phase:       4 * time.Second,
		refundShare: 1,
		length:      60 * time.Second,
	}
}

// changingQuotas has documents that change the number of parts of an account.
func changingQuotas() scenario {
	return scenario{
		accounts:         []envdoc.Account{account("busy", 400, 8)},
		nodes:            5,
		load:             2,
		poll:             3 * time.Second,
		faults:           []func(*simulation){changeQuota},
		maxFaultInterval: 15 * time.Second,
		length:           60 * time.Second,
	}
}
