package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	promise     = 9 * time.Second
	readTimeout = 3 * time.Second
)

var (
	simEpoch = time.Unix(1_000_000, 0)
	errSim   = errors.New("store out")
)

// step is something that happens at a virtual time.
type step struct {
	at    time.Time
	order int
	run   func()
}

type agenda []step

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)   { *a = append(*a, v.(step)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simNode is one instance: a DocumentTracker and what surrounds it.
type simNode struct {
	name     ident.Instance
	life     uint64
	spread   *DocumentTracker
	deadline time.Time // as the runner publishes it
	version  ident.Version
	paused   bool
	waiting  []func() // what arrived during a pause
	storeCut bool
	bases    map[uint64]ident.Version
}

// simLink is one direction between two instances.
type simLink struct {
	cut  bool
	slow bool
	last time.Time // arrival of the latest message
}

// simPath is one way by which a node learns of versions.
type simPath struct{ node, via int }

type simulation struct {
	random *rand.Rand
	off    mechanism
	agenda agenda
	order  int
	now    time.Time
	nodes  []*simNode
	links  [][]simLink
	names  []ident.Instance

	out       bool // the store is down for all
	slowStore bool
	heads     []store.Head // accepted, by version-1
	accepted  []time.Time
	paths     map[simPath]time.Time // since when each path is good

	disturbed  bool // whether paths may have changed since they were traced
	failures   []string
	byMajority int // checks at which contacts alone gave trust
	asked      uint64
}

func newSimulation(seed uint64, size int, off mechanism) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 17)),
		off:    off,
		now:    simEpoch,
		paths:  make(map[simPath]time.Time),

		disturbed: true,
	}
	for i := range size {
		s.names = append(s.names, ident.Instance(fmt.Sprintf("proxy-%d", i)))
	}
	for i := range size {
		s.links = append(s.links, make([]simLink, size))
		s.nodes = append(s.nodes, &simNode{name: s.names[i]})
		s.start(i)
		s.tickLater(i)
	}
	return s
}

func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.life++
	n.spread = NewDocumentTracker(n.name, n.life, parseSim, DefaultBounds(), s.random.Uint64(), s.now)
	n.spread.Disable(s.off)
	n.deadline, n.version, n.paused, n.waiting = time.Time{}, 0, false, nil
	n.bases = make(map[uint64]ident.Version)
	s.update(i, Known{Instances: s.names})
}

func parseSim([]byte) (*envdoc.Document, error) { return &envdoc.Document{}, nil }

func simText(v ident.Version) []byte { return fmt.Appendf(nil, "document %d", v) }

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.agenda, step{at: s.now.Add(d), order: s.order, run: run})
}

// at runs f on the node's present life, after its pause if it is paused.
func (s *simulation) onNode(i int, d time.Duration, f func()) {
	life := s.nodes[i].life
	s.after(d, func() {
		n := s.nodes[i]
		switch {
		case n.life != life:
		case n.paused:
			n.waiting = append(n.waiting, f)
		default:
			f()
		}
	})
}

func (s *simulation) tickLater(i int) {
	s.after(100*time.Millisecond, func() {
		if !s.nodes[i].paused {
			s.update(i, Tick{Connected: s.connected(i)})
		}
		s.tickLater(i)
	})
}

func (s *simulation) connected(i int) []ident.Instance {
	var names []ident.Instance
	for j := range s.nodes {
		if j != i && !s.links[i][j].cut && !s.nodes[j].paused {
			names = append(names, s.names[j])
		}
	}
	return names
}

func (s *simulation) index(n ident.Instance) int {
	for i, m := range s.names {
		if m == n {
			return i
		}
	}
	panic("unknown instance " + n)
}

// update drives one decider and carries out its commands.
func (s *simulation) update(i int, m Msg) {
	n := s.nodes[i]
	for _, c := range n.spread.Update(m, s.now) {
		s.carryOut(i, c)
	}
	n.deadline = n.spread.TrustedUntil()
}

func (s *simulation) carryOut(i int, c Cmd) {
	n := s.nodes[i]
	switch c := c.(type) {
	case ReadHead:
		s.readHead(i)
	case ReadText:
		s.readText(i, c.Version)
	case SendHead:
		s.send(i, c.To, HeadHeard{From: n.name, Head: c.Head})
	case AskText:
		s.send(i, c.To, TextAsked{From: n.name, Version: c.Version})
	case GiveText:
		s.send(i, c.To, TextGiven{From: n.name, Version: c.Version, Text: c.Text})
	case Prepared:
		s.write(i, n.bases[c.ID])
	case Apply:
		if c.Version <= n.version {
			s.fail("%s applied version %d after %d", n.name, c.Version, n.version)
		}
		n.version = c.Version
	}
}

func (s *simulation) send(i int, to ident.Instance, m Msg) {
	j := s.index(to)
	l := &s.links[i][j]
	if l.cut {
		return
	}
	delay := time.Duration(1+s.random.IntN(5)) * time.Millisecond
	if l.slow {
		delay = time.Duration(s.random.IntN(12_000)) * time.Millisecond
	}
	if at := s.now.Add(delay); at.After(l.last) {
		l.last = at
	}
	s.onNode(j, l.last.Sub(s.now), func() { s.update(j, m) })
}

// reach reports whether the store answers node i now.
func (s *simulation) reach(i int) bool { return !s.out && !s.nodes[i].storeCut }

func (s *simulation) readHead(i int) {
	began := s.now
	s.visit(i, func() (Msg, bool) {
		if len(s.heads) == 0 {
			return HeadRead{Began: began, Err: store.ErrNotFound}, true
		}
		return HeadRead{Began: began, Head: s.heads[len(s.heads)-1]}, true
	}, HeadRead{Began: began, Err: errSim})
}

func (s *simulation) readText(i int, v ident.Version) {
	s.visit(i, func() (Msg, bool) {
		return TextGiven{Version: v, Text: simText(v)}, int(v) <= len(s.heads)
	}, TextGiven{Version: v, Err: errSim})
}

// visit reads the store at some time within the latency. The answer may be
// lost, and then the reader's timeout ends the wait.
func (s *simulation) visit(i int, read func() (Msg, bool), failed Msg) {
	latency := time.Duration(2+s.random.IntN(20)) * time.Millisecond
	if s.slowStore {
		latency = time.Duration(1+s.random.IntN(5000)) * time.Millisecond
	}
	lost := s.random.IntN(50) == 0
	life := s.nodes[i].life
	effect := time.Duration(s.random.Int64N(int64(latency)))
	s.after(effect, func() {
		if s.nodes[i].life != life {
			return
		}
		answer, ok := read()
		if !s.reach(i) || !ok || lost || latency > readTimeout {
			s.onNode(i, readTimeout-effect, func() { s.update(i, failed) })
			return
		}
		s.onNode(i, latency-effect, func() { s.update(i, answer) })
	})
}

// operate lets an operator edit the document that node i has in force.
func (s *simulation) operate(i int) {
	if s.nodes[i].paused {
		return
	}
	s.asked++
	id, base := s.asked, s.nodes[i].version
	s.nodes[i].bases[id] = base
	s.update(i, Announce{ID: id, Version: base + 1})
}

// write is the conditional write after an announcement. It may take effect
// late, also when its author is gone.
func (s *simulation) write(i int, base ident.Version) {
	delay := time.Duration(s.random.IntN(200)) * time.Millisecond
	if s.random.IntN(3) == 0 {
		delay = time.Duration(s.random.IntN(10_000)) * time.Millisecond
	}
	if s.random.IntN(8) == 0 {
		s.strike(i)
	}
	s.after(delay, func() {
		if !s.reach(i) || int(base) != len(s.heads) {
			return
		}
		v := base + 1
		s.heads = append(s.heads, store.Head{Version: v, Change: ident.Change(fmt.Sprint("change-", v)), Digest: digestOf(simText(v))})
		s.accepted = append(s.accepted, s.now)
		if s.random.IntN(2) == 0 {
			s.onNode(i, time.Millisecond, func() { s.update(i, Poll{}) })
		}
	})
}

func (s *simulation) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.failures = append(s.failures, fmt.Sprintf("at %v: %s", s.now.Sub(simEpoch), text))
}

// run simulates the span and stops at the first failure.
func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for s.agenda.Len() > 0 && len(s.failures) == 0 {
		next := heap.Pop(&s.agenda).(step)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		s.checkAll()
		next.run()
		s.checkAll()
	}
}
