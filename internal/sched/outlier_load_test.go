package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	loadTick = 20 * time.Millisecond
	// loadTries and loadReadTimeout are the limits of a read at the caller of
	// the scheduler.
	loadTries       = 4
	loadReadTimeout = 400 * time.Millisecond
	loadTimeout     = 800 * time.Millisecond
)

// behaviour is how an endpoint serves calls. Shares are in percent.
type behaviour struct {
	took, roundTrip    time.Duration
	fails, hangs, busy int
	served             int
	freeAt             []time.Time // for each slot
}

// result returns how the endpoint serves its next call. The shares are spread
// evenly over its calls.
func (b *behaviour) result() CallResult {
	b.served++
	hit := func(share int) bool { return b.served*share/100 != (b.served-1)*share/100 }
	switch {
	case hit(b.fails):
		return FailedCall
	case hit(b.hangs):
		return NoAnswer
	case hit(b.busy):
		return NoFreeSlot
	}
	return Succeeded
}

// occupy returns when the endpoint has served a call that arrives at the given
// time.
func (b *behaviour) occupy(arrival time.Time, slots int, took time.Duration) time.Time {
	if len(b.freeAt) == 0 {
		b.freeAt = make([]time.Time, slots)
	}
	first := 0
	for i, t := range b.freeAt {
		if t.Before(b.freeAt[first]) {
			first = i
		}
	}
	if b.freeAt[first].After(arrival) {
		arrival = b.freeAt[first]
	}
	b.freeAt[first] = arrival.Add(took)
	return b.freeAt[first]
}

// readEvent is a step of a load at a time.
type readEvent struct {
	at time.Time
	do func()
}

// readCall is one call of a load with its tries.
type readCall struct {
	call    engine.Call
	arrived time.Time
	tries   int
	avoid   []ident.Endpoint
}

// readLoad sends calls to a scheduler, and serves its grants as the endpoints'
// behaviours say.
type readLoad struct {
	script *script
	out    strings.Builder
	start  time.Time
	events []readEvent
	calls  map[WaiterID]*readCall
	next   WaiterID
	served map[ident.Endpoint]int
	// reported is set once the primary was reported as failing most calls.
	reported bool
	// What the callers got. total is the time of all answered calls.
	answered, failed, rejected int
	total                      time.Duration
}

// behave sets the behaviour of an endpoint: behave b [took=8ms] [roundtrip=9ms]
// [fails=30] [hangs=30] [busy=30].
func (s *script) behave(t *testing.T, d *datadriven.TestData) string {
	b := &behaviour{took: 8 * time.Millisecond}
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "took":
			b.took = scanSpan(t, d, a.Key)
		case "roundtrip":
			b.roundTrip = scanSpan(t, d, a.Key)
		case "fails":
			d.ScanArgs(t, a.Key, &b.fails)
		case "hangs":
			d.ScanArgs(t, a.Key, &b.hangs)
		case "busy":
			d.ScanArgs(t, a.Key, &b.busy)
		}
	}
	s.behaviours[ident.Endpoint(d.CmdArgs[0].Key)] = b
	return ""
}

func scanSpan(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}

// runReads sends one call every interval: reads every=5ms for=2s [accounts=3]
// [writes=4] [faulty=0]. Each writes-th call is a write. The calls of
// account number faulty fail everywhere. It prints the decisions about endpoints
// and what the callers got.
func (s *script) runReads(t *testing.T, d *datadriven.TestData) string {
	every, span := scanSpan(t, d, "every"), scanSpan(t, d, "for")
	accounts, writes, faulty := 3, 0, -1
	for key, to := range map[string]*int{"accounts": &accounts, "writes": &writes, "faulty": &faulty} {
		if d.HasArg(key) {
			d.ScanArgs(t, key, to)
		}
	}
	l := &readLoad{script: s, start: s.now, calls: map[WaiterID]*readCall{}, next: s.lastLoad, served: map[ident.Endpoint]int{}}
	for at, n := time.Duration(0), 0; at < span; at, n = at+every, n+1 {
		c := &readCall{arrived: s.now.Add(at), call: engine.Call{
			Phase: engine.Single, Account: ident.Account(fmt.Sprintf("account%d", n%accounts)), Priority: 1,
			MaxLag: 1500 * time.Millisecond, Statement: engine.Statement{Op: engine.Read},
		}}
		if writes > 0 && n%writes == 0 {
			c.call.PrimaryOnly, c.call.Statement.Op = true, engine.Write
		}
		l.at(c.arrived, func() { l.acquire(c, n%accounts == faulty) })
	}
	for at := time.Duration(0); at < span+loadTimeout; at += loadTick {
		l.at(s.now.Add(at), func() { l.tick() })
	}
	l.run()
	s.lastLoad = l.next
	return l.summary()
}

func (l *readLoad) at(t time.Time, do func()) { l.events = append(l.events, readEvent{at: t, do: do}) }

func (l *readLoad) run() {
	for len(l.events) > 0 {
		first := slices.MinFunc(l.events, func(a, b readEvent) int { return a.at.Compare(b.at) })
		i := slices.IndexFunc(l.events, func(e readEvent) bool { return e.at.Equal(first.at) })
		e := l.events[i]
		l.events = slices.Delete(l.events, i, i+1)
		l.script.now = e.at
		e.do()
	}
}

// tick proves a position of the primary, so that reads may run at replicas.
func (l *readLoad) tick() {
	now := l.script.now
	l.update(Tick{})
	if m, failing := l.script.scheduler.FailingPrimary(now); failing && !l.reported {
		l.reported = true
		l.logf("primary %s fails: %+v of %d accounts, unfit %v", m.Endpoint, m.Outcomes, m.Accounts, m.Unfit)
	}
	l.update(EndpointObserved{Endpoint: l.script.scheduler.primary.Endpoint, Began: now, Position: ident.LogPosition{Term: 1, Position: 1}, WasPrimary: true})
}

func (l *readLoad) acquire(c *readCall, faulty bool) {
	l.next++
	c.tries++
	if faulty {
		c.call.Statement.Name = "faulty"
	}
	l.calls[l.next] = c
	l.update(Acquire{Waiter: l.next, Call: &c.call, Avoid: c.avoid, Deadline: c.arrived.Add(loadTimeout)})
}

func (l *readLoad) update(m Message) {
	for _, c := range l.script.scheduler.Update(l.script.now, m) {
		switch c := c.(type) {
		case Grant:
			l.serve(c)
		case Reject:
			delete(l.calls, c.Waiter)
			l.rejected++
		case Dial:
			// A connection takes two round trips to open.
			span := 2 * l.script.behaviour(c.Endpoint.ID).roundTrip
			l.at(l.script.now.Add(span), func() {
				if span > 0 {
					l.update(EndpointObserved{Endpoint: c.Endpoint.ID, RoundTrip: span / 2})
				}
				l.update(DialDone{Conn: c.Conn, Result: Connected})
			})
		case EndpointEjected:
			l.logf("%s ejected for %s: %+v, the rest %+v", c.Endpoint, c.For, c.Own, c.Rest)
		case EndpointReturned:
			l.logf("%s returned", c.Endpoint)
		}
	}
}

func (l *readLoad) logf(format string, args ...any) {
	fmt.Fprintf(&l.out, "%5d ms: ", l.script.now.Sub(l.start).Milliseconds())
	fmt.Fprintf(&l.out, format+"\n", args...)
}

// serve runs a granted call at its endpoint.
func (l *readLoad) serve(g Grant) {
	now, c := l.script.now, l.calls[g.Waiter]
	delete(l.calls, g.Waiter)
	l.served[g.Endpoint]++
	b := l.script.behaviour(g.Endpoint)
	result := b.result()
	if c.call.Statement.Name == "faulty" {
		result = FailedCall
	}
	done := now.Add(b.roundTrip)
	switch result {
	case Succeeded:
		done = b.occupy(now.Add(b.roundTrip/2), l.script.scheduler.endpoints[g.Endpoint].Slots, b.took).Add(b.roundTrip / 2)
	case FailedCall:
		done = done.Add(time.Millisecond)
	case NoAnswer:
		done = now.Add(loadReadTimeout)
	}
	l.at(done, func() { l.answer(g, c, result, now) })
}

// answer reports the outcome of a call, and tries a read again that did not
// succeed.
func (l *readLoad) answer(g Grant, c *readCall, result CallResult, began time.Time) {
	now := l.script.now
	l.update(EndpointOutcome{Endpoint: g.Endpoint, Account: c.call.Account, Result: result})
	if result == NoAnswer {
		l.update(ConnLost{Conn: g.Conn})
		l.update(EndpointFailure{Endpoint: g.Endpoint, Kind: Unresponsive})
	} else {
		l.update(Released{Conn: g.Conn})
	}
	switch result {
	case Succeeded:
		l.update(EndpointObserved{Endpoint: g.Endpoint, Began: began, Took: now.Sub(began), UsedSlot: true, RoundTrips: 1})
		l.answered++
		l.total += now.Sub(c.arrived)
		return
	case NoFreeSlot:
		l.update(EndpointFailure{Endpoint: g.Endpoint, Kind: Saturated})
	}
	if c.call.PrimaryOnly || c.tries == loadTries || now.Sub(c.arrived) >= loadTimeout {
		l.failed++
		return
	}
	c.avoid = append(c.avoid, g.Endpoint)
	l.acquire(c, false)
}

func (l *readLoad) summary() string {
	mean := time.Duration(0)
	if l.answered > 0 {
		mean = l.total / time.Duration(l.answered)
	}
	fmt.Fprintf(&l.out, "callers: %d answered, %d failed, %d rejected, %s on average\n", l.answered, l.failed, l.rejected, mean.Round(time.Millisecond))
	for _, id := range slices.SortedFunc(maps.Keys(l.served), cmp.Compare[ident.Endpoint]) {
		fmt.Fprintf(&l.out, "%s received %d\n", id, l.served[id])
	}
	return l.out.String()
}

// behaviour returns how an endpoint serves calls.
func (s *script) behaviour(id ident.Endpoint) *behaviour {
	if b := s.behaviours[id]; b != nil {
		return b
	}
	s.behaviours[id] = &behaviour{took: 8 * time.Millisecond}
	return s.behaviours[id]
}
