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

// simulation runs several Quota instances in virtual time with one fake store
// and an unreliable network.
type simulation struct {
	random *rand.Rand
	now    time.Time
	start  time.Time
	queue  eventQueue
	seq    int

	table     *fakeTable
	timing    Timing
	nodes     []*simNode
	nodeCount int

	version  ident.Version
	accounts []envdoc.Account
	records  map[ident.Account]*accountRecord

	lossShare, repeatShare, lateShare float64 // of messages between peers
	lostReplyShare                    float64 // of replies from the store
	storeDelay                        time.Duration
	writeReplyDelay                   time.Duration // in addition to storeDelay
	callersWait                       bool          // requests wait for borrowed tokens
	refundShare                       float64       // of requests
	lendingDisabled                   bool
	unboundedRefunds                  bool
	phase                             time.Duration       // length of alternating busy and quiet phases of callers
	afterUpdate                       func(*simNode, Msg) // changes an instance after each update
	messages, swaps                   int
}

func newSimulation(seed uint64, timing Timing, accounts ...envdoc.Account) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		start:   time.Unix(1000, 0),
		table:   newFakeTable(),
		timing:  timing,
		records: make(map[ident.Account]*accountRecord),
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
			r = &accountRecord{parts: make(map[ident.Part]*partRecord)}
			s.records[a.Name] = r
		}
		r.raiseBound(a)
	}
	for _, n := range s.nodes {
		n.deliver(AccountsChanged{Version: s.version, Accounts: accounts}, s.between(0, 5*time.Second))
	}
}

// simNode is one simulated instance.
type simNode struct {
	sim           *simulation
	id            ident.Instance
	quota         *Quota
	dead          bool
	pausedUntil   time.Time // runs nothing before
	storeCutUntil time.Time // cannot reach the store before
	filled        map[*bucket]bool
}

func (n *simNode) storeDown() bool { return n.sim.table.down || n.sim.now.Before(n.storeCutUntil) }

func (s *simulation) addNode() *simNode {
	s.nodeCount++
	id := ident.Instance(fmt.Sprintf("entry-%d", s.nodeCount))
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	n := &simNode{sim: s, id: id, quota: NewQuota(id, s.timing, RankByHash, random, s.now), filled: make(map[*bucket]bool)}
	s.nodes = append(s.nodes, n)
	n.deliver(AccountsChanged{Version: s.version, Accounts: s.accounts}, 0)
	s.tick(n)
	s.broadcastLive(time.Second)
	return n
}

func (s *simulation) live() []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return n.dead })
}

// broadcastLive sends the live list to every instance, each after a random
// delay of at most lag.
func (s *simulation) broadcastLive(lag time.Duration) {
	for _, n := range s.live() {
		s.after(s.between(0, lag), func() { n.deliver(LiveChanged{Live: s.liveNames()}, 0) })
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
	s.broadcastLive(5 * time.Second)
}

func (s *simulation) tick(n *simNode) {
	if n.dead {
		return
	}
	n.deliver(Tick{}, 0)
	s.after(TickInterval, func() { s.tick(n) })
}

// deliver passes an input to the instance after delay, or once its pause has
// ended.
func (n *simNode) deliver(m Msg, delay time.Duration) {
	n.sim.after(delay, func() { n.run(func() { n.update(m) }) })
}

func (n *simNode) run(f func()) {
	if n.dead {
		return
	}
	if n.sim.now.Before(n.pausedUntil) {
		n.sim.after(n.pausedUntil.Sub(n.sim.now), func() { n.run(f) })
		return
	}
	f()
}

func (n *simNode) update(m Msg) {
	cmds := n.quota.Update(m, n.sim.now)
	if n.sim.afterUpdate != nil {
		n.sim.afterUpdate(n, m)
	}
	for _, c := range cmds {
		n.execute(c)
	}
	if n.quota.stopping && n.quota.Idle() {
		n.dead = true
	}
}

func (n *simNode) execute(c Cmd) {
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
	lost := s.random.Float64() < s.lostReplyShare
	effectDelay := s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay)
	if lost {
		effectDelay = s.between(0, 10*time.Second) // may take effect after the timeout
		n.deliver(SwapDone{New: c.New, Result: SwapUnknown}, storeTimeout)
	}
	s.after(effectDelay, func() {
		err := store.ErrUnavailable
		if !n.storeDown() {
			err = s.table.Swap(context.Background(), "", c.Old, c.New)
		}
		result := SwapUnknown
		switch {
		case err == nil:
			result = SwapOK
		case errors.Is(err, store.ErrConflict):
			result = SwapConflict
		}
		if !lost {
			n.deliver(SwapDone{New: c.New, Result: result}, s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay)+s.writeReplyDelay)
		}
	})
}

func (s *simulation) read(n *simNode) {
	startedAt := s.now
	s.after(s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay), func() {
		rows, err := s.table.All(context.Background(), "")
		if n.storeDown() {
			err = store.ErrUnavailable
		}
		replyDelay := s.between(time.Millisecond, 4*time.Millisecond+s.storeDelay)
		if err != nil {
			n.deliver(ReadFailed{}, replyDelay)
			return
		}
		n.deliver(LeasesRead{StartedAt: startedAt, Rows: rows}, replyDelay)
	})
}

func (s *simulation) send(from *simNode, c SendPeer) {
	s.messages++
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == c.To })
	if i < 0 || s.random.Float64() < s.lossShare {
		return
	}
	if _, ok := c.Message.(peer.TokenRequest); ok && s.lendingDisabled {
		return
	}
	delay := s.between(time.Millisecond, 1500*time.Microsecond)
	if s.random.Float64() < s.lateShare {
		delay = s.between(0, 3*time.Second)
	}
	var m Msg
	switch p := c.Message.(type) {
	case peer.TokenRequest:
		m = TokenRequestReceived{From: from.id, Request: p}
	case peer.TokenLoan:
		m = TokenLoanReceived{From: from.id, Loan: p}
	case peer.LeaseRequest:
		m = LeaseRequestReceived{From: from.id, Request: p}
	case peer.LeasePromise:
		m = LeasePromiseReceived{From: from.id, Promise: p}
	}
	s.nodes[i].deliver(m, delay)
	if s.random.Float64() < s.repeatShare {
		s.nodes[i].deliver(m, delay+s.between(0, 2*time.Second))
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

type eventQueue []simEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
