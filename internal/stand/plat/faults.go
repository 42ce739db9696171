package plat

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// Outage is the way in which the services fail.
type Outage string

// The kinds of outage.
const (
	NoOutage Outage = ""
	Refuse   Outage = "Refuse"  // calls are answered with status 503
	Hang     Outage = "Silence" // calls are accepted but never answered
)

// Faults configures the faults of the services.
type Faults struct {
	Outage Outage
	// Delay is the time until a call takes effect, even if its caller has
	// disconnected.
	Delay envdoc.Duration
	// LoseProbability is the probability that a write takes effect but its
	// response is lost.
	LoseProbability float64
	// LoseNext is the number of next writes whose response is lost.
	LoseNext int
	// LoseOnly limits lost responses to one operation, such as
	// TransactWriteItems or PutObject. Empty means every write.
	LoseOnly string
	// ListOutage makes the list return status 503.
	ListOutage bool
}

// Counters counts calls by their result.
type Counters struct {
	Reads   uint64
	Writes  uint64
	Refused uint64 // calls that an outage refused or left unanswered
	Lost    uint64 // writes that took effect without a response
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

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the active faults. LoseNext is the remaining number.
func (s *Server) Faults() Faults { return s.faults.get() }

// Counters returns the number of calls so far.
func (s *Server) Counters() Counters { return s.counters.read() }

// injector holds the active faults. A change wakes the calls that a
// hanging outage blocks.
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

// losesResponse reports whether to drop the response to a write.
func (i *injector) losesResponse(operation string) bool {
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

// admit applies the outage and the delay to a call. It returns false if the
// call must not take effect.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	f, changed := s.faults.watch()
	switch f.Outage {
	case Refuse:
		s.counters.add(func(c *Counters) { c.Refused++ })
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Hang:
		s.counters.add(func(c *Counters) { c.Refused++ })
		awaitOutageEnd(r.Context(), changed)
		abort()
	}
	return f.Delay <= 0 || s.delay(f.Delay.Std())
}

// delay waits even if the caller has disconnected. It returns false if the
// server closes first.
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

func awaitOutageEnd(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// respondToWrite sends the response to a write that took effect, or drops it.
func (s *Server) respondToWrite(operation string, response func()) {
	lost := s.faults.losesResponse(operation)
	s.counters.add(func(c *Counters) {
		c.Writes++
		if lost {
			c.Lost++
		}
	})
	if lost {
		abort()
	}
	response()
}

// abort closes the connection of the running handler without a response.
func abort() { panic(http.ErrAbortHandler) }
