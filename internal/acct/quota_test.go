package acct

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func account(name ident.Account, rate, burst ident.Tokens) envdoc.Account {
	return envdoc.Account{Name: name, Rate: rate, Burst: burst, Weight: 1}
}

// scenario is one kind of load and faults.
type scenario struct {
	accounts []envdoc.Account
	nodes    int
	load     float64 // offered in the busy phases, as a multiple of the rate
	steady   float64 // offered all the time at one instance, in addition
	phase    time.Duration
	giveBack float64
	delay    time.Duration // longest of the store
	answer   time.Duration // of the store to a write, in addition
	poll     time.Duration
	faults   []func(*simulation)
	every    time.Duration // longest time between faults
	length   time.Duration
}

// run returns the simulation after the scenario.
func (c scenario) run(seed uint64, change func(*simulation)) *simulation {
	timing := DefaultTiming(6 * time.Second)
	timing.ClaimStep = 200 * time.Millisecond
	timing.MoveAfter = 2 * time.Second
	timing.Promise = 2 * time.Second
	timing.Poll = max(timing.Poll, c.poll)
	s := newSimulation(seed, timing, c.accounts...)
	s.loss, s.repeat, s.late, s.lostAnswer = 0.05, 0.1, 0.1, 0.1
	s.wait = seed%2 == 0
	s.giveBack, s.phase, s.storeDelay = c.giveBack, c.phase, c.delay
	s.slowAnswer = c.answer
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
		s.offer(a.Name, float64(a.Rate)*c.load, end, pick, s.pausing)
		if c.steady > 0 {
			s.offer(a.Name, float64(a.Rate)*c.steady, end, firstNode, never)
		}
	}
	s.trouble(c, end)
	s.runFor(c.length + time.Second)
	return s
}

// trouble brings a fault now and then.
func (s *simulation) trouble(c scenario, end time.Time) {
	s.after(s.between(0, c.every), func() {
		if s.now.After(end) || len(c.faults) == 0 {
			return
		}
		c.faults[s.random.IntN(len(c.faults))](s)
		s.trouble(c, end)
	})
}

func killOne(s *simulation) {
	if live := s.live(); len(live) > 2 {
		s.kill(s.anyNode(live))
	}
}

func addOne(s *simulation) {
	if len(s.live()) < 8 {
		s.addNode()
	}
}

func pauseOne(s *simulation) {
	s.anyNode(s.live()).paused = s.now.Add(s.between(0, 15*time.Second))
}

func pauseHolder(s *simulation) {
	for _, n := range s.live() {
		if !n.quota.Idle() {
			n.paused = s.now.Add(s.between(time.Second, 6*time.Second))
			return
		}
	}
}

func pauseFirst(s *simulation) {
	s.live()[0].paused = s.now.Add(s.between(time.Second, 3*time.Second))
}

func stopOne(s *simulation) {
	if live := s.live(); len(live) > 2 {
		s.anyNode(live).tell(StopRequested{}, 0)
		s.after(2*time.Second, func() { s.spreadLive(5 * time.Second) })
	}
}

func cutOne(s *simulation) {
	s.anyNode(s.live()).cut = s.now.Add(s.between(0, 15*time.Second))
}

func storeOut(s *simulation) {
	s.table.down = true
	s.after(s.between(0, 8*time.Second), func() { s.table.down = false })
}

func storeSlow(s *simulation) { s.storeDelay = s.between(0, 500*time.Millisecond) }

func changeQuota(s *simulation) {
	a := s.accounts[0]
	a.Burst = leastPart + ident.Tokens(s.random.IntN(3*leastPart))
	s.setAccounts(append([]envdoc.Account{a}, s.accounts[1:]...)...)
}

func (s *simulation) worst() (ident.Account, int64) {
	name, worst := ident.Account(""), int64(-1<<62)
	for a, r := range s.records {
		if e := r.excess(); e > worst {
			name, worst = a, e
		}
	}
	return name, worst
}

// storm has every fault at once.
func storm() scenario {
	return scenario{
		accounts: []envdoc.Account{account("large", 200, 60), account("odd", 31, 11), account("small", 8, 3)},
		nodes:    6,
		load:     2.5,
		phase:    4 * time.Second,
		giveBack: 0.05,
		faults:   []func(*simulation){killOne, addOne, addOne, pauseOne, stopOne, cutOne, storeOut, storeSlow, changeQuota},
		every:    5 * time.Second,
		length:   60 * time.Second,
	}
}

// holding has instances that lose touch with the store or stand still while
// they hold leases.
func holding() scenario {
	return scenario{
		accounts: []envdoc.Account{account("busy", 100, 4)},
		nodes:    6,
		delay:    300 * time.Millisecond,
		load:     3,
		faults:   []func(*simulation){pauseHolder, pauseOne, cutOne},
		every:    8 * time.Second,
		length:   60 * time.Second,
	}
}

// answering is holding with a store that answers writes late.
func answering() scenario {
	c := holding()
	c.answer = 3 * time.Second
	c.faults = []func(*simulation){cutOne}
	return c
}

// moving has parts that change hands often and full buckets at the start.
func moving() scenario {
	return scenario{
		accounts: []envdoc.Account{account("slow", 8, 40)},
		nodes:    5,
		load:     4,
		phase:    8 * time.Second,
		faults:   []func(*simulation){stopOne, addOne},
		every:    3 * time.Second,
		length:   60 * time.Second,
	}
}

// lending has instances that borrow much.
func lending() scenario {
	return scenario{
		accounts: []envdoc.Account{account("even", 200, 24), account("skewed", 100, 20), account("tiny", 40, 4)},
		nodes:    6,
		load:     8,
		steady:   0.7,
		phase:    500 * time.Millisecond,
		length:   12 * time.Second,
	}
}

// standing is lending with instances that stand still.
func standing() scenario {
	c := lending()
	c.accounts = []envdoc.Account{account("slow", 60, 240)}
	c.load = 12
	c.steady = 0.45
	c.phase = 8 * time.Second
	c.length = time.Minute
	c.faults = []func(*simulation){pauseFirst}
	c.every = 2 * time.Second
	return c
}

// failing has many requests that end not run.
func failing() scenario {
	return scenario{
		accounts: []envdoc.Account{account("slow", 8, 40)},
		nodes:    2,
		load:     8,
		phase:    4 * time.Second,
		giveBack: 1,
		length:   60 * time.Second,
	}
}

// changing has documents that cut an account into other numbers of parts.
func changing() scenario {
	return scenario{
		accounts: []envdoc.Account{account("busy", 400, 8)},
		nodes:    5,
		load:     2,
		poll:     3 * time.Second,
		faults:   []func(*simulation){changeQuota},
		every:    15 * time.Second,
		length:   60 * time.Second,
	}
}

func TestBoundHolds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]scenario{
		"storm": storm(), "holding": holding(), "answering": answering(), "moving": moving(),
		"lending": lending(), "standing": standing(), "failing": failing(), "changing": changing(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for i := range *seedCount {
				seed := *firstSeed + i
				s := c.run(seed, nil)
				a, e := s.worst()
				g.Expect(e).To(BeNumerically("<=", 0), "seed %d account %s", seed, a)
				r := s.records[a]
				t.Logf("seed %d: nearest to the bound is %s, %d thousandths of a token; %d of %d admitted",
					seed, a, e, len(r.admitted), r.offered)
			}
		})
	}
}
