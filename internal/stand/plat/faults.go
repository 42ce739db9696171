package plat

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// Outage says how the store fails.
type Outage string

// The kinds of outage.
const (
	NoOutage Outage = ""
	Refuse   Outage = "Refuse"  // each call is answered with 503
	Silence  Outage = "Silence" // calls are taken and never answered
)

// Faults are the switches of the table service and the object store.
type Faults struct {
	Outage Outage
	// Delay passes before a call takes effect, also when its caller is gone.
	Delay envdoc.Duration
	// LoseProbability is the share of writes whose answer is lost after they
	// took effect.
	LoseProbability float64
	// LoseNext is how many of the next writes lose their answer.
	LoseNext int
	// LoseOnly limits lost answers to one operation, such as
	// TransactWriteItems or PutObject. Empty means every write.
	LoseOnly string
	// ListOutage makes the list answer 503.
	ListOutage bool
}

// Counters count the calls that took effect.
type Counters struct {
	Reads   uint64
	Writes  uint64
	Refused uint64 // calls that an outage refused or swallowed
	Lost    uint64 // answers lost after the effect
}

type counters struct {
	mu sync.Mutex
	Counters
}

func (c *counters) add(f func(c *Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.Counters)
}

func (c *counters) read() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Counters
}

// SetFaults replaces all switches.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the switches, with LoseNext as it is left.
func (s *Server) Faults() Faults { return s.faults.get() }

// Counters returns the calls so far.
func (s *Server) Counters() Counters { return s.counters.read() }

// injector holds the switches. A change wakes the calls that wait.
type injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	random  *rand.Rand
}

func newInjector(seed uint64) *injector {
	return &injector{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *injector) watch() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// loses decides about the answer of one write.
func (i *injector) loses(operation string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseOnly != "" && i.faults.LoseOnly != operation {
		return false
	}
	if i.faults.LoseNext > 0 {
		i.faults.LoseNext--
		return true
	}
	return i.random.Float64() < i.faults.LoseProbability
}

// admit applies the outage and the delay before a call takes effect. It
// returns false when the call must not take effect.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	f, changed := s.faults.watch()
	switch f.Outage {
	case Refuse:
		s.counters.add(func(c *Counters) { c.Refused++ })
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Silence:
		s.counters.add(func(c *Counters) { c.Refused++ })
		waitSilent(r.Context(), changed)
		abort()
	}
	return f.Delay <= 0 || s.delay(f.Delay.Std())
}

// delay waits although the caller may be gone; it ends early with the server.
func (s *Server) delay(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.group.Context().Done():
		return false
	}
}

func waitSilent(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// answerWrite writes the answer of a call that took effect, or loses it.
func (s *Server) answerWrite(operation string, answer func()) {
	lost := s.faults.loses(operation)
	s.counters.add(func(c *Counters) {
		c.Writes++
		if lost {
			c.Lost++
		}
	})
	if lost {
		abort()
	}
	answer()
}

// abort closes the connection of the running handler without an answer.
func abort() { panic(http.ErrAbortHandler) }
