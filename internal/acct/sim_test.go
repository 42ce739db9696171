package acct

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// simulation runs several Quota instances on virtual time against one fake
// table service and a lossy network.
type simulation struct {
	random *rand.Rand
	now    time.Time
	start  time.Time
	queue  simQueue
	seq    int

	table  *fakeTable
	timing Timing
	nodes  []*simNode
	born   int

	version  ident.Version
	accounts []envdoc.Account
	records  map[ident.Account]*simRecord

	loss, repeat, late float64 // shares of the peers' messages
	lostAnswer         float64 // share of the store's answers
	storeDelay         time.Duration
	slowAnswer         time.Duration // to writes
	wait               bool          // whether requests wait for loans
	giveBack           float64
	divided            bool                // no instance lends tokens
	careless           bool                // tokens are given back without bound
	phase              time.Duration       // callers are busy and pause in turn
	sabotage           func(*simNode, Msg) // runs after each update
	messages, swaps    int
}

func newSimulation(seed uint64, timing Timing, accounts ...envdoc.Account) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		start:   time.Unix(1000, 0),
		table:   newFakeTable(),
		timing:  timing,
		records: make(map[ident.Account]*simRecord),
	}
	s.now = s.start
	s.setAccounts(accounts...)
	return s
}

func (s *simulation) setAccounts(accounts ...envdoc.Account) {
	s.version++
	s.accounts = accounts
	for _, a := range accounts {
		r := s.records[a.Name]
		if r == nil {
			r = &simRecord{parts: make(map[ident.Part]*simPart)}
			s.records[a.Name] = r
		}
		r.allow(a)
	}
	for _, n := range s.nodes {
		n.tell(AccountsChanged{Version: s.version, Accounts: accounts}, s.between(0, 5*time.Second))
	}
}

// simNode is one instance.
type simNode struct {
	sim    *simulation
	id     ident.Instance
	quota  *Quota
	dead   bool
	paused time.Time // until then nothing runs
	cut    time.Time // until then the store is out of reach
	filled map[*bucket]bool
}

func (n *simNode) storeDown() bool { return n.sim.table.down || n.sim.now.Before(n.cut) }

func (s *simulation) addNode() *simNode {
	s.born++
	id := ident.Instance(fmt.Sprintf("entry-%d", s.born))
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	n := &simNode{sim: s, id: id, quota: NewQuota(id, s.timing, RankByHash, random, s.now), filled: make(map[*bucket]bool)}
	s.nodes = append(s.nodes, n)
	n.tell(AccountsChanged{Version: s.version, Accounts: s.accounts}, 0)
	s.tick(n)
	s.spreadLive(time.Second)
	return n
}

func (s *simulation) live() []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return n.dead })
}

// spreadLive tells every instance who is live, after the lag of the list.
func (s *simulation) spreadLive(lag time.Duration) {
	for _, n := range s.live() {
		s.after(s.between(0, lag), func() { n.tell(LiveChanged{Live: s.liveNames()}, 0) })
	}
}

func (s *simulation) liveNames() []ident.Instance {
	var ids []ident.Instance
	for _, n := range s.live() {
		ids = append(ids, n.id)
	}
	return ids
}

func (s *simulation) kill(n *simNode) {
	n.dead = true
	s.spreadLive(5 * time.Second)
}

func (s *simulation) tick(n *simNode) {
	if n.dead {
		return
	}
	n.tell(Tick{}, 0)
	s.after(TickEvery, func() { s.tick(n) })
}

// tell delivers an input, at the earliest when the instance runs again.
func (n *simNode) tell(m Msg, delay time.Duration) {
	n.sim.after(delay, func() { n.run(func() { n.update(m) }) })
}

func (n *simNode) run(f func()) {
	if n.dead {
		return
	}
	if n.sim.now.Before(n.paused) {
		n.sim.after(n.paused.Sub(n.sim.now), func() { n.run(f) })
		return
	}
	f()
}

func (n *simNode) update(m Msg) {
	cmds := n.quota.Update(m, n.sim.now)
	if n.sim.sabotage != nil {
		n.sim.sabotage(n, m)
	}
	for _, c := range cmds {
		n.perform(c)
	}
	if n.quota.stopping && n.quota.Idle() {
		n.dead = true
	}
}

func (n *simNode) perform(c Cmd) {
	switch c := c.(type) {
	case SwapLease:
		n.sim.swap(n, c)
	case ReadLeases:
		n.sim.read(n)
	case SendPeer:
		n.sim.send(n, c)
	}
}

func (s *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.random.Int64N(int64(b-a)+1))
}

func (s *simulation) swap(n *simNode, c SwapLease) {
	s.swaps++
	lost := s.random.Float64() < s.lostAnswer
	there := s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay)
	if lost {
		there = s.between(0, 10*time.Second) // may take effect after the timeout
		n.tell(SwapDone{Fresh: c.Fresh, Result: SwapUnknown}, storeTimeout)
	}
	s.after(there, func() {
		err := store.ErrUnavailable
		if !n.storeDown() {
			err = s.table.Swap(context.Background(), "", c.Old, c.Fresh)
		}
		result := SwapUnknown
		switch {
		case err == nil:
			result = SwapOK
		case errors.Is(err, store.ErrConflict):
			result = SwapConflict
		}
		if !lost {
			n.tell(SwapDone{Fresh: c.Fresh, Result: result}, s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay)+s.slowAnswer)
		}
	})
}

func (s *simulation) read(n *simNode) {
	began := s.now
	s.after(s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay), func() {
		rows, err := s.table.All(context.Background(), "")
		if n.storeDown() {
			err = store.ErrUnavailable
		}
		back := s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay)
		if err != nil {
			n.tell(ReadFailed{}, back)
			return
		}
		n.tell(LeasesRead{Began: began, Rows: rows}, back)
	})
}

func (s *simulation) send(from *simNode, c SendPeer) {
	s.messages++
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == c.To })
	if i < 0 || s.random.Float64() < s.loss {
		return
	}
	if _, ok := c.Message.(peer.TokenRequest); ok && s.divided {
		return
	}
	delay := s.between(time.Millisecond, 1500*time.Microsecond)
	if s.random.Float64() < s.late {
		delay = s.between(0, 3*time.Second)
	}
	var m Msg
	switch p := c.Message.(type) {
	case peer.TokenRequest:
		m = AskReceived{From: from.id, Ask: p}
	case peer.TokenLoan:
		m = GiveReceived{From: from.id, Give: p}
	case peer.LeaseRequest:
		m = WitnessAsked{From: from.id, Ask: p}
	case peer.LeasePromise:
		m = WitnessAnswered{From: from.id, Hold: p}
	}
	s.nodes[i].tell(m, delay)
	if s.random.Float64() < s.repeat {
		s.nodes[i].tell(m, delay+s.between(0, 2*time.Second))
	}
}

func (s *simulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(max(0, d)), seq: s.seq, do: f})
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
