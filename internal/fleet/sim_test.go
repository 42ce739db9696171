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
	propagationBound = 9 * time.Second
	simReadTimeout   = 3 * time.Second
)

var (
	simEpoch = time.Unix(1_000_000, 0)
	errSim   = errors.New("store unavailable")
)

// simEvent is an action at a virtual time.
type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simNode is one simulated instance: a DocumentTracker and its environment.
type simNode struct {
	name         ident.Instance
	incarnation  uint64
	tracker      *DocumentTracker
	deadline     time.Time // end of trust, as Fleet publishes it
	version      ident.Version
	paused       bool
	deferred     []func() // what arrived during a pause
	storeCut     bool
	baseVersions map[uint64]ident.Version
}

// simLink is one direction of the connection between two instances.
type simLink struct {
	cut  bool
	slow bool
	last time.Time // arrival of the latest message
}

// simPath is a path by which a node learns of versions.
type simPath struct{ node, via int }

type simulation struct {
	random    *rand.Rand
	disabled  safeguard
	queue     eventQueue
	nextOrder int
	now       time.Time
	nodes     []*simNode
	links     [][]simLink
	names     []ident.Instance

	storeDown    bool // for all nodes
	slowStore    bool
	heads        []store.Head // accepted, by version-1
	accepted     []time.Time
	workingSince map[simPath]time.Time

	pathsChanged bool // paths may have changed since the latest updatePaths
	failures     []string
	byMajority   int // checks in which a node was trusted because of its contacts alone
	lastChangeID uint64
}

func newSimulation(seed uint64, size int, disabled safeguard) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 17)),
		disabled:     disabled,
		now:          simEpoch,
		workingSince: make(map[simPath]time.Time),

		pathsChanged: true,
	}
	for i := range size {
		s.names = append(s.names, ident.Instance(fmt.Sprintf("proxy-%d", i)))
	}
	for i := range size {
		s.links = append(s.links, make([]simLink, size))
		s.nodes = append(s.nodes, &simNode{name: s.names[i]})
		s.start(i)
		s.scheduleTick(i)
	}
	return s
}

func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.incarnation++
	n.tracker = NewDocumentTracker(n.name, n.incarnation, parseSim, DefaultBounds(), s.random.Uint64(), s.now)
	n.tracker.Disable(s.disabled)
	n.deadline, n.version, n.paused, n.deferred = time.Time{}, 0, false, nil
	n.baseVersions = make(map[uint64]ident.Version)
	s.update(i, KnownChanged{Instances: s.names})
}

func parseSim([]byte) (*envdoc.Document, error) { return &envdoc.Document{}, nil }

func simText(v ident.Version) []byte { return fmt.Appendf(nil, "document %d", v) }

func (s *simulation) after(d time.Duration, run func()) {
	s.nextOrder++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.nextOrder, run: run})
}

// onNode runs f on the node's current incarnation after d, or after its pause
// if it is paused then.
func (s *simulation) onNode(i int, d time.Duration, f func()) {
	incarnation := s.nodes[i].incarnation
	s.after(d, func() {
		n := s.nodes[i]
		switch {
		case n.incarnation != incarnation:
		case n.paused:
			n.deferred = append(n.deferred, f)
		default:
			f()
		}
	})
}

func (s *simulation) scheduleTick(i int) {
	s.after(100*time.Millisecond, func() {
		if !s.nodes[i].paused {
			s.update(i, Tick{Connected: s.connected(i)})
		}
		s.scheduleTick(i)
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

// update passes an input to the node's tracker and executes its commands.
func (s *simulation) update(i int, m Msg) {
	n := s.nodes[i]
	for _, c := range n.tracker.Update(m, s.now) {
		s.execute(i, c)
	}
	n.deadline = n.tracker.TrustedUntil()
}

func (s *simulation) execute(i int, c Cmd) {
	n := s.nodes[i]
	switch c := c.(type) {
	case ReadHead:
		s.readHead(i)
	case ReadText:
		s.readText(i, c.Version)
	case SendHead:
		s.send(i, c.To, HeadReceived{From: n.name, Head: c.Head})
	case RequestText:
		s.send(i, c.To, TextRequested{From: n.name, Version: c.Version})
	case SendText:
		s.send(i, c.To, TextReceived{From: n.name, Version: c.Version, Text: c.Text})
	case Prepared:
		s.write(i, n.baseVersions[c.ID])
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

// storeReachable reports whether node i can reach the store now.
func (s *simulation) storeReachable(i int) bool { return !s.storeDown && !s.nodes[i].storeCut }

func (s *simulation) readHead(i int) {
	startedAt := s.now
	s.callStore(i, func() (Msg, bool) {
		if len(s.heads) == 0 {
			return HeadRead{StartedAt: startedAt, Err: store.ErrNotFound}, true
		}
		return HeadRead{StartedAt: startedAt, Head: s.heads[len(s.heads)-1]}, true
	}, HeadRead{StartedAt: startedAt, Err: errSim})
}

func (s *simulation) readText(i int, v ident.Version) {
	s.callStore(i, func() (Msg, bool) {
		return TextReceived{Version: v, Text: simText(v)}, int(v) <= len(s.heads)
	}, TextReceived{Version: v, Err: errSim})
}

// callStore reads the store at a random time within the latency. The reply may
// be lost; then the read fails after its timeout.
func (s *simulation) callStore(i int, read func() (Msg, bool), failed Msg) {
	latency := time.Duration(2+s.random.IntN(20)) * time.Millisecond
	if s.slowStore {
		latency = time.Duration(1+s.random.IntN(5000)) * time.Millisecond
	}
	lost := s.random.IntN(50) == 0
	incarnation := s.nodes[i].incarnation
	effectDelay := time.Duration(s.random.Int64N(int64(latency)))
	s.after(effectDelay, func() {
		if s.nodes[i].incarnation != incarnation {
			return
		}
		answer, ok := read()
		if !s.storeReachable(i) || !ok || lost || latency > simReadTimeout {
			s.onNode(i, simReadTimeout-effectDelay, func() { s.update(i, failed) })
			return
		}
		s.onNode(i, latency-effectDelay, func() { s.update(i, answer) })
	})
}

// proposeChange simulates an operator who changes the document in force on node
// i.
func (s *simulation) proposeChange(i int) {
	if s.nodes[i].paused {
		return
	}
	s.lastChangeID++
	id, base := s.lastChangeID, s.nodes[i].version
	s.nodes[i].baseVersions[id] = base
	s.update(i, Announce{ID: id, Version: base + 1})
}

// write is the conditional write after an announcement. It may take effect
// late, even after its author has ended.
func (s *simulation) write(i int, base ident.Version) {
	delay := time.Duration(s.random.IntN(200)) * time.Millisecond
	if s.random.IntN(3) == 0 {
		delay = time.Duration(s.random.IntN(10_000)) * time.Millisecond
	}
	if s.random.IntN(8) == 0 {
		s.isolateWithStore(i)
	}
	s.after(delay, func() {
		if !s.storeReachable(i) || int(base) != len(s.heads) {
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

// run simulates a span of time and stops at the first failure.
func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for s.queue.Len() > 0 && len(s.failures) == 0 {
		next := heap.Pop(&s.queue).(simEvent)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		s.checkAll()
		next.run()
		s.checkAll()
	}
}
