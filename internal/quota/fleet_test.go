package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// These values are those of relay.limiter.
const (
	simGrantTimeout = 60 * time.Millisecond
	simEmptyRetry   = 20 * time.Millisecond
	simGrantWait    = 240 * time.Millisecond
	simWindow       = 5 * time.Second
	// groupSpacing is the time from one operation of a group to the next.
	groupSpacing = 30 * time.Millisecond
)

var simOvershoot = Overshoot{Fraction: 0.1, Operations: 20, Window: simWindow}

// fleetCase is a load on a fleet and the faults that it meets.
type fleetCase struct {
	instances int
	rate      float64
	offered   float64 // a multiple of the rate
	group     int     // operations that a caller starts one after the other
	span      time.Duration
	loss      float64 // the share of messages that are lost
	lowerAt   time.Duration
	lowered   float64 // the rate from lowerAt on
	restartAt time.Duration
	backlog   time.Duration   // whose arrivals come within returnSpan of the restart
	idleUntil time.Duration   // no operation arrives before
	handovers []time.Duration // when the next instance becomes the quota owner
	freezeAt  time.Duration   // freezes an instance for 3 s
	frozen    int
}

// fleetResult is what a case was measured to do.
type fleetResult struct {
	served  float64 // share of the quota, from the third second on
	offered float64 // operations that arrived then, likewise
	most    float64 // largest count in a window, as a share of what is allowed
	// returned counts the callers that came back when they were told to, within a
	// second, and refusedAgain those of them that were refused again.
	returned, refusedAgain, refusals int
	// givenUp counts the callers that came back twice when they were told to, and
	// were refused a third time.
	givenUp int
	// arrivedAfterRestart counts the operations that arrived in the second after
	// the restart, and refusedAfterRestart the refusals in it.
	arrivedAfterRestart, refusedAfterRestart int
}

// caller is one operation, which is retried up to twice.
type caller struct {
	node       *node
	retries    int
	patienceAt time.Time
	startedAt  time.Time // of this attempt
	kept       int       // how often in a row it was told to come back within a second
	waiting    bool
	round      int // replies that it has waited for
}

// node is one instance of the simulated fleet.
type node struct {
	name       ident.Instance
	allocation *Allocation
	bucket     *Bucket
	waiting    []*caller
	frozenTill time.Time
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet simulates instances, their messages and an account's callers on virtual
// time.
type fleet struct {
	c          fleetCase
	random     *rand.Rand
	start, now time.Time
	quota      engine.Quota
	nodes      []*node
	owner      int
	queue      events
	order      int
	arrivals   []time.Time
	ran        []time.Time
	result     fleetResult
}

// runFleet runs a case.
func runFleet(seed uint64, c fleetCase) fleetResult {
	start := time.Unix(1000, 0)
	f := &fleet{c: c, random: rand.New(rand.NewPCG(seed, 7)), start: start, now: start, quota: engine.Quota{Rate: c.rate, Burst: c.rate}}
	for i := range c.instances {
		f.nodes = append(f.nodes, &node{name: ident.Instance(fmt.Sprintf("n%d", i))})
		f.restart(f.nodes[i])
	}
	f.schedule()
	for f.queue.Len() > 0 {
		e := heap.Pop(&f.queue).(event)
		if f.now = e.at; f.now.Sub(start) >= c.span {
			break
		}
		e.run()
	}
	f.measure()
	return f.result
}

// schedule plans the arrivals and the faults.
func (f *fleet) schedule() {
	group := max(1, f.c.group)
	arrivals := time.Duration(float64(group) * float64(time.Second) / (f.c.rate * f.c.offered))
	for at := time.Duration(0); at < f.c.span; at += time.Duration(f.random.ExpFloat64() * float64(arrivals)) {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		if at < f.c.idleUntil {
			continue
		}
		for i := range group {
			f.in(at+time.Duration(i)*groupSpacing, func() { f.arrive(n) })
		}
	}
	if f.c.lowered > 0 {
		f.in(f.c.lowerAt, func() { f.quota = engine.Quota{Rate: f.c.lowered, Burst: f.c.lowered} })
	}
	if f.c.restartAt > 0 {
		f.in(f.c.restartAt, func() {
			for _, n := range f.nodes {
				f.restart(n)
			}
			f.returnCallers()
		})
	}
	for _, at := range f.c.handovers {
		f.in(at, func() { f.owner = (f.owner + 1) % len(f.nodes) })
	}
	if f.c.freezeAt > 0 {
		f.in(f.c.freezeAt, func() { f.nodes[f.c.frozen].frozenTill = f.now.Add(3 * time.Second) })
	}
}

// returnCallers lets the callers of the downtime arrive.
func (f *fleet) returnCallers() {
	count := int(f.c.backlog.Seconds() * f.c.rate * f.c.offered)
	for i := range count {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		f.in(time.Duration(i)*returnSpan/time.Duration(count), func() { f.arrive(n) })
	}
}

// afterRestart reports whether it is the second after the restart.
func (f *fleet) afterRestart() bool {
	since := f.now.Sub(f.start) - f.c.restartAt
	return f.c.restartAt > 0 && since >= 0 && since < time.Second
}

func (f *fleet) in(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, run: run})
}

// at runs something at an instance, after its freeze if it is frozen.
func (f *fleet) at(n *node, d time.Duration, run func()) {
	f.in(d, func() {
		if f.now.Before(n.frozenTill) {
			f.in(n.frozenTill.Sub(f.now), run)
			return
		}
		run()
	})
}

func (f *fleet) restart(n *node) {
	n.allocation, n.bucket, n.waiting = &Allocation{}, NewBucket(simOvershoot), nil
}

// send delivers a message after the delay between data centres, unless it is
// lost.
func (f *fleet) send(to *node, run func()) {
	if f.random.Float64() >= f.c.loss {
		f.at(to, time.Duration(f.random.Int64N(int64(5*time.Millisecond))), run)
	}
}

func (f *fleet) arrive(n *node) {
	f.arrivals = append(f.arrivals, f.now)
	if f.afterRestart() {
		f.result.arrivedAfterRestart++
	}
	patience := 600*time.Millisecond + time.Duration(f.random.Int64N(int64(900*time.Millisecond)))
	c := &caller{node: n, patienceAt: f.now.Add(patience)}
	f.at(n, 0, func() { f.spend(c) })
}

// spend does what relay.limiter does with an operation.
func (f *fleet) spend(c *caller) {
	c.round, c.startedAt = 0, f.now
	n := c.node
	if n == f.nodes[f.owner] {
		count, retryIn := f.grant(n, n, 1)
		f.finish(c, count == 1, retryIn)
		return
	}
	f.decide(c, n.allocation.Spend(f.now))
}

func (f *fleet) grant(owner, from *node, count ident.Tokens) (ident.Tokens, time.Duration) {
	return owner.bucket.Grant(f.now, f.quota, from.name, count, 1)
}

func (f *fleet) decide(c *caller, d Decision) {
	n := c.node
	if d.Request > 0 {
		f.request(n, d.Request)
	}
	switch {
	case d.Result != Wait:
		f.finish(c, d.Result == Spent, d.RetryIn)
	case f.now.Sub(c.startedAt) >= simGrantWait:
		f.finish(c, false, simEmptyRetry)
	default:
		f.await(c)
	}
}

// await lets an operation wait for the next reply.
func (f *fleet) await(c *caller) {
	n, round := c.node, c.round
	c.waiting = true
	n.waiting = append(n.waiting, c)
	f.at(n, simGrantTimeout, func() {
		if !c.waiting || c.round != round {
			return
		}
		c.waiting = false
		d := n.allocation.Resume(f.now)
		if d.Request > 0 {
			f.request(n, d.Request)
		}
		if d.Result == Wait {
			d = n.allocation.SpendFallback(f.now, f.quota, len(f.nodes))
		}
		f.finish(c, d.Result == Spent, d.RetryIn)
		c.kept = 0 // the quota owner promised nothing
	})
}

func (f *fleet) request(n *node, count ident.Tokens) {
	owner := f.nodes[f.owner]
	f.send(owner, func() {
		granted, retryIn := f.grant(owner, n, count)
		f.send(n, func() {
			n.allocation.Receive(f.now, granted, GrantLength, retryIn)
			waiting := n.waiting
			n.waiting = nil
			for _, c := range waiting {
				if c.waiting {
					c.waiting = false
					c.round++
					f.decide(c, n.allocation.Resume(f.now))
				}
			}
		})
	})
}

// finish ends an attempt. A refused caller comes back when it was told to, if
// its patience lasts.
func (f *fleet) finish(c *caller, ran bool, retryIn time.Duration) {
	if c.kept > 0 {
		f.result.returned++
		if !ran {
			f.result.refusedAgain++
		}
		if !ran && c.kept > 1 {
			f.result.givenUp++
		}
	}
	if ran {
		f.ran = append(f.ran, f.now)
		return
	}
	f.result.refusals++
	if f.afterRestart() {
		f.result.refusedAfterRestart++
	}
	c.kept++
	if retryIn > time.Second {
		c.kept = 0
	}
	if c.retries++; c.retries <= 2 && f.now.Add(retryIn).Before(c.patienceAt) {
		f.at(c.node, retryIn, func() { f.spend(c) })
	}
}

// measure computes the share of the quota that was served and the largest count
// in a window. A window during which the quota was lowered is allowed what the
// higher quota allows; all windows that begin later are held to the lower one.
func (f *fleet) measure() {
	from, rate := 2*time.Second, f.c.rate
	if f.c.lowered > 0 {
		from, rate = f.c.lowerAt+2*time.Second, f.c.lowered
	}
	share := func(times []time.Time) float64 {
		first, _ := slices.BinarySearchFunc(times, f.start.Add(from), time.Time.Compare)
		return float64(len(times)-first) / (rate * (f.c.span - from).Seconds())
	}
	f.result.served, f.result.offered = share(f.ran), share(f.arrivals)
	end := 0
	for i, at := range f.ran {
		for end < len(f.ran) && f.ran[end].Sub(at) < simWindow {
			end++
		}
		rate := f.c.rate
		if f.c.lowered > 0 && at.Sub(f.start) >= f.c.lowerAt {
			rate = f.c.lowered
		}
		allowed := (rate*simWindow.Seconds()+rate)*(1+simOvershoot.Fraction) + simOvershoot.Operations
		f.result.most = max(f.result.most, float64(end-i)/allowed)
	}
}
