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
// time and from one seed. Faults hit hosts (down, frozen) and pairs of hosts.

type host struct {
	name                   string
	downUntil, frozenUntil time.Time
	lag                    time.Duration // added to each message
}

type pair struct{ a, b string }

type happening struct {
	at  time.Time
	seq int
	on  *host
	run func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

type sim struct {
	rng    *rand.Rand
	now    time.Time
	seq    int
	agenda agenda
	cuts   map[pair]time.Time
	lossy  bool
	// silentDeaths is true where whole machines die, so that nothing refuses
	// connections to them.
	silentDeaths bool
	// startsAnew is true where a repeated Follow begins the stream, and the time
	// of silence, anew.
	startsAnew bool
	servers    []*server
	proxies    []*proxy
	acked      []record
	reigns     map[ident.Term]*server
	top        *server
	topTerm    ident.Term
	topLog     []record
	broken     string
	events     []event.Kind
	ackedAt    time.Time     // when the latest write was acknowledged
	gap        time.Duration // the longest time between two such writes
}

func (s *sim) fail(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %v: ", s.now.Sub(epoch)) + fmt.Sprintf(format, args...)
	}
}

// on schedules work of a host; a frozen host does it when it wakes, a dead one
// never.
func (s *sim) on(h *host, after time.Duration, run func()) {
	s.seq++
	heap.Push(&s.agenda, happening{at: s.now.Add(after), seq: s.seq, on: h, run: run})
}

func (s *sim) every(h *host, gap time.Duration, run func()) {
	s.on(h, gap, func() { s.every(h, gap, run); run() })
}

func (s *sim) runUntil(end time.Time) {
	for s.broken == "" && len(s.agenda) > 0 && !s.agenda[0].at.After(end) {
		e := heap.Pop(&s.agenda).(happening)
		s.now = e.at
		if e.on != nil && s.now.Before(e.on.frozenUntil) {
			s.on(e.on, e.on.frozenUntil.Sub(s.now), e.run)
			continue
		}
		e.run()
	}
	s.now = end
}

func (s *sim) cut(a, b *host) bool {
	return s.now.Before(s.cuts[pair{a.name, b.name}]) || s.now.Before(a.downUntil) || s.now.Before(b.downUntil)
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
	if s.cut(from, to) {
		return
	}
	s.on(to, delay, func() {
		if !s.cut(from, to) {
			run()
		}
	})
}

func (s *sim) cutPair(a, b *host, d time.Duration) {
	s.cuts[pair{a.name, b.name}] = s.now.Add(d)
	s.cuts[pair{b.name, a.name}] = s.now.Add(d)
}

// fault draws one fault. Each ends by itself.
func (s *sim) fault() {
	d := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
	n, p := s.servers[s.rng.IntN(len(s.servers))], s.proxies[s.rng.IntN(len(s.proxies))]
	if s.top != nil && s.rng.IntN(2) == 0 {
		n = s.top
	}
	switch s.rng.IntN(7) {
	case 0:
		n.downUntil = s.now.Add(d)
	case 1:
		n.frozenUntil = s.now.Add(d)
	case 2: // from its group, but not from proxies and callers
		for _, o := range s.servers {
			s.cutPair(&n.host, &o.host, d)
		}
	case 3:
		s.cutPair(&n.host, &p.host, d)
	case 4:
		p.frozenUntil = s.now.Add(d)
	case 5:
		for _, o := range s.proxies {
			s.cutPair(&n.host, &o.host, d)
		}
	case 6:
		s.cutPair(&n.host, &s.servers[s.rng.IntN(len(s.servers))].host, d)
	}
}
