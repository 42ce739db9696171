package sched

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// driver sends random messages to a Scheduler and checks its invariants: a
// connection serves one call at a time and belongs to one account, no endpoint
// receives more calls than its slots plus slotSlack, the instance stays within
// its share of connections, and every call is answered exactly once.
type driver struct {
	t         *rapid.T
	scheduler *Scheduler
	now       time.Time
	next      WaiterID
	waiting   map[WaiterID]*engine.Call
	granted   map[WaiterID]Grant
	inUse     map[ConnID]WaiterID
	dials     map[ConnID]Dial
	accounts  map[ConnID]ident.Account
	endpoints map[ConnID]ident.Endpoint
	evacuated *evacuationChecks
}

const (
	testConns = 16
	testSlots = 2
)

func TestRandomLoads(t *testing.T) {
	assert.Fatal()
	rapid.Check(t, func(t *rapid.T) {
		d := &driver{
			t: t, scheduler: New(), now: time.Unix(1000, 0), waiting: map[WaiterID]*engine.Call{}, granted: map[WaiterID]Grant{},
			inUse: map[ConnID]WaiterID{}, dials: map[ConnID]Dial{}, accounts: map[ConnID]ident.Account{}, endpoints: map[ConnID]ident.Endpoint{},
			evacuated: newEvacuationChecks(),
		}
		d.update(Limits{MaxConns: testConns, EvacuationTime: testEvacuationTime, ColdRate: testColdRate, ColdTime: testColdTime})
		d.update(Ownership{Owner: true})
		d.update(Directory{Endpoints: []Endpoint{testEndpoint("a"), testEndpoint("b"), testEndpoint("c")}})
		d.update(Primary{Endpoint: "a", Usable: true})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			d.step()
		}
		d.finish()
	})
}

func (d *driver) step() {
	switch rapid.IntRange(0, 9).Draw(d.t, "step") {
	case 0, 1, 2:
		d.acquire()
	case 3, 4:
		d.release()
	case 5:
		d.endDial(rapid.SampledFrom([]DialResult{Connected, Connected, ConnLimitReached, Unreachable}).Draw(d.t, "dial"))
	case 6:
		d.now = d.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(d.t, "wait")) * time.Millisecond)
		d.update(Tick{})
	case 7:
		e := rapid.SampledFrom([]ident.Endpoint{"a", "b", "c"}).Draw(d.t, "endpoint")
		d.update(rapid.SampledFrom([]Message{
			EndpointFailure{Endpoint: e, Kind: Behind}, EndpointFailure{Endpoint: e, Kind: Unresponsive}, EndpointFailure{Endpoint: e, Kind: Saturated},
			Primary{Endpoint: e, Usable: true}, Primary{Endpoint: e}, CloseIdleConn{Endpoint: e},
			EndpointObserved{Endpoint: e, Began: d.now, Position: ident.LogPosition{Term: 1, Position: 5}, WasPrimary: true},
			Directory{Endpoints: []Endpoint{testEndpoint("a"), testEndpoint(e)}},
			EndpointOutcome{Endpoint: e, Account: "x", Result: Succeeded}, EndpointOutcome{Endpoint: e, Account: "y", Result: FailedCall},
			EndpointOutcome{Endpoint: e, Account: "x", Result: NoFreeSlot}, EndpointOutcome{Endpoint: e, Account: "y", Result: NoAnswer},
		}).Draw(d.t, "event"))
	case 8:
		d.evacuate()
	case 9:
		d.useTx()
	}
}

func (d *driver) acquire() {
	d.next++
	call := &engine.Call{
		Phase: engine.Single, Statement: engine.Statement{Op: engine.Read}, MaxLag: time.Second,
		Account:     rapid.SampledFrom([]ident.Account{"x", "y", "z"}).Draw(d.t, "account"),
		PrimaryOnly: rapid.Bool().Draw(d.t, "primary"),
		Priority:    rapid.IntRange(0, 2).Draw(d.t, "priority"),
		Target:      rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}).Draw(d.t, "target"),
	}
	d.waiting[d.next] = call
	timeout := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 5 * time.Second}).Draw(d.t, "timeout")
	d.update(Acquire{Waiter: d.next, Call: call, Deadline: d.now.Add(timeout)})
}

// release ends one granted call.
func (d *driver) release() {
	for id := WaiterID(1); id <= d.next; id++ {
		g, ok := d.granted[id]
		if !ok {
			continue
		}
		delete(d.granted, id)
		delete(d.inUse, g.Conn)
		if rapid.Bool().Draw(d.t, "lost") {
			d.update(ConnLost{Conn: g.Conn})
		} else {
			d.update(Released{Conn: g.Conn})
		}
		return
	}
}

func (d *driver) endDial(r DialResult) {
	if len(d.dials) > 0 {
		id := slices.Min(slices.Collect(maps.Keys(d.dials)))
		delete(d.dials, id)
		d.update(DialDone{Conn: id, Result: r})
	}
}

// finish advances the time until no call is waiting.
func (d *driver) finish() {
	d.now = d.now.Add(time.Minute)
	d.update(Tick{})
	if len(d.waiting) > 0 {
		d.t.Fatalf("%d calls were not answered", len(d.waiting))
	}
}

func (d *driver) update(m Message) {
	d.evacuated.message(d, m)
	for _, c := range d.scheduler.Update(d.now, m) {
		switch c := c.(type) {
		case Grant:
			d.grant(c)
		case Reject:
			d.answered(c.Waiter)
		case Dial:
			d.dials[c.Conn] = c
			d.accounts[c.Conn], d.endpoints[c.Conn] = c.Account, c.Endpoint.ID
		case CloseConn:
			if id, used := d.inUse[c.Conn]; used {
				d.t.Fatalf("connection %d of call %d is closed", c.Conn, id)
			}
		case AbortConn:
			d.abort(c.Conn)
		}
	}
	d.check()
	d.checkEvacuated()
}

func (d *driver) answered(id WaiterID) *engine.Call {
	call, ok := d.waiting[id]
	if !ok {
		d.t.Fatalf("call %d is answered twice", id)
	}
	delete(d.waiting, id)
	return call
}

func (d *driver) grant(g Grant) {
	call := d.answered(g.Waiter)
	if id, used := d.inUse[g.Conn]; used {
		d.t.Fatalf("connection %d serves calls %d and %d", g.Conn, id, g.Waiter)
	}
	if d.accounts[g.Conn] != call.Account {
		d.t.Fatalf("connection of %s serves %s", d.accounts[g.Conn], call.Account)
	}
	if !g.VerifyPrimary && g.After.Zero() {
		d.t.Fatalf("call %d runs at %s without a proof of freshness", g.Waiter, g.Endpoint)
	}
	d.evacuated.sent(d, g.Endpoint, !g.VerifyPrimary)
	d.inUse[g.Conn], d.granted[g.Waiter] = g.Waiter, g
}

// check compares the counters of each endpoint with its connections and checks
// their limits.
func (d *driver) check() {
	for id, e := range d.scheduler.endpoints {
		open, active := 0, 0
		for _, c := range d.scheduler.conns {
			if c.endpoint != e {
				continue
			}
			open++
			if c.takesSlot() {
				active++
			}
		}
		if open != len(e.conns) || active != e.active {
			d.t.Fatalf("%s counts %d open and %d active connections, but has %d and %d", id, len(e.conns), e.active, open, active)
		}
		if active > testSlots+slotSlack {
			d.t.Fatalf("%s has %d calls for %d slots", id, active, testSlots)
		}
		if open > d.scheduler.connShare() {
			d.t.Fatalf("%s has %d connections, the share is %d", id, open, d.scheduler.connShare())
		}
	}
}
