package group

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The simulation runs several Electors against servers in memory, on virtual
// time and from one seed. Faults apply to hosts (down, frozen) or to pairs of
// hosts (disconnected).

type host struct {
	name                   string
	downUntil, frozenUntil time.Time
	lag                    time.Duration // added to each message
}

type pair struct{ a, b string }

type simEvent struct {
	at   time.Time
	seq  int
	host *host
	run  func()
}

type eventQueue []simEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

type sim struct {
	rng               *rand.Rand
	now               time.Time
	seq               int
	queue             eventQueue
	disconnectedUntil map[pair]time.Time
	lossy             bool
	// silentCrashes is true where whole machines fail, so that connections to
	// them time out and are not refused.
	silentCrashes bool
	// followRestarts is true where a repeated Follow restarts the replication
	// stream, and with it the measure of silence.
	followRestarts bool
	servers        []*server
	proxies        []*proxy
	acked          []record
	primaries      map[ident.Term]*server
	primary        *server // of the highest term so far, with its term and log
	primaryTerm    ident.Term
	primaryLog     []record
	violation      string
	events         []event.Kind
	ackedAt        time.Time     // when the latest write was acknowledged
	gap            time.Duration // the longest time between two such writes
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now.Sub(epoch)) + fmt.Sprintf(format, args...)
	}
}

// schedule queues work of a host. A frozen host runs it when it resumes.
func (s *sim) schedule(h *host, after time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(after), seq: s.seq, host: h, run: run})
}

func (s *sim) every(h *host, gap time.Duration, run func()) {
	s.schedule(h, gap, func() { s.every(h, gap, run); run() })
}

func (s *sim) runUntil(end time.Time) {
	for s.violation == "" && len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		if e.host != nil && s.now.Before(e.host.frozenUntil) {
			s.schedule(e.host, e.host.frozenUntil.Sub(s.now), e.run)
			continue
		}
		e.run()
	}
	s.now = end
}

func (s *sim) disconnected(a, b *host) bool {
	return s.now.Before(s.disconnectedUntil[pair{a.name, b.name}]) || s.now.Before(a.downUntil) || s.now.Before(b.downUntil)
}

func (s *sim) send(from, to *host, run func()) {
	delay := from.lag + to.lag + time.Millisecond + time.Duration(s.rng.Int64N(int64(time.Millisecond)/2))
	if s.lossy {
		switch s.rng.IntN(100) {
		case 0:
			return
		case 1, 2:
			delay += time.Duration(s.rng.Int64N(int64(250 * time.Millisecond)))
		}
	}
	if s.disconnected(from, to) {
		return
	}
	s.schedule(to, delay, func() {
		if !s.disconnected(from, to) {
			run()
		}
	})
}

func (s *sim) disconnect(a, b *host, d time.Duration) {
	s.disconnectedUntil[pair{a.name, b.name}] = s.now.Add(d)
	s.disconnectedUntil[pair{b.name, a.name}] = s.now.Add(d)
}

// fault injects one random fault, which ends by itself.
func (s *sim) fault() {
	d := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
	n, p := s.servers[s.rng.IntN(len(s.servers))], s.proxies[s.rng.IntN(len(s.proxies))]
	if s.primary != nil && s.rng.IntN(2) == 0 {
		n = s.primary
	}
	switch s.rng.IntN(7) {
	case 0:
		n.downUntil = s.now.Add(d)
	case 1:
		n.frozenUntil = s.now.Add(d)
	case 2: // disconnect it from its group, but not from the proxies
		for _, o := range s.servers {
			s.disconnect(&n.host, &o.host, d)
		}
	case 3:
		s.disconnect(&n.host, &p.host, d)
	case 4:
		p.frozenUntil = s.now.Add(d)
	case 5:
		for _, o := range s.proxies {
			s.disconnect(&n.host, &o.host, d)
		}
	case 6:
		s.disconnect(&n.host, &s.servers[s.rng.IntN(len(s.servers))].host, d)
	}
}
