package sched

import (
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	testEvacuationTime = 3500 * time.Millisecond
	testColdTime       = 2 * time.Second
	testColdRate       = 10.0
)

// evacuationChecks records the requests and the statements that were sent. It
// checks that nothing is sent to an endpoint after its time is over, that an
// evacuated endpoint gets no reads that another one could run, and that a cold
// endpoint gets no more calls than its rate allows.
type evacuationChecks struct {
	listed    map[ident.Endpoint]Endpoint
	since     map[ident.DataCentre]time.Time // of the present evacuation
	coldUntil map[ident.Endpoint]time.Time
	coldSince map[ident.Endpoint]time.Time
	coldCalls map[ident.Endpoint]int // since coldSince
}

// testEndpoint returns an endpoint in a data centre of its own.
func testEndpoint(id ident.Endpoint) Endpoint {
	return Endpoint{ID: id, DataCentre: ident.DataCentre(id), Slots: testSlots}
}

func newEvacuationChecks() *evacuationChecks {
	return &evacuationChecks{
		listed: map[ident.Endpoint]Endpoint{}, since: map[ident.DataCentre]time.Time{},
		coldUntil: map[ident.Endpoint]time.Time{}, coldSince: map[ident.Endpoint]time.Time{},
		coldCalls: map[ident.Endpoint]int{},
	}
}

// message records what a message says of evacuations.
func (v *evacuationChecks) message(d *driver, m Message) {
	directory, ok := m.(Directory)
	if !ok {
		return
	}
	for _, e := range directory.Endpoints {
		_, evacuated := v.since[e.DataCentre]
		switch {
		case e.Evacuated && !evacuated:
			v.since[e.DataCentre] = d.now
		case !e.Evacuated && evacuated:
			delete(v.since, e.DataCentre)
			v.becomesCold(d.now, e.ID)
		}
		v.listed[e.ID] = e
	}
}

// becomesCold starts to count the calls to an endpoint.
func (v *evacuationChecks) becomesCold(now time.Time, id ident.Endpoint) {
	v.coldSince[id], v.coldUntil[id], v.coldCalls[id] = now, now.Add(testColdTime), 0
}

// sent checks one statement that is sent to an endpoint.
func (v *evacuationChecks) sent(d *driver, id ident.Endpoint, read bool) {
	since, evacuated := v.since[v.listed[id].DataCentre]
	if evacuated && read {
		d.t.Fatalf("evacuated endpoint %s gets a read", id)
	}
	if evacuated && d.now.Sub(since) >= testEvacuationTime {
		d.t.Fatalf("%s gets a call %s after its evacuation", id, d.now.Sub(since))
	}
	if !d.now.Before(v.coldUntil[id]) {
		return
	}
	v.coldCalls[id]++
	allowed := 1 + ownerColdShare*testColdRate*d.now.Sub(v.coldSince[id]).Seconds()
	if float64(v.coldCalls[id]) > allowed+tokenEpsilon*10 {
		d.t.Fatalf("cold endpoint %s gets %d calls, %.2f are allowed", id, v.coldCalls[id], allowed)
	}
}

// evacuate requests or withdraws the evacuation of any of the data centres.
func (d *driver) evacuate() {
	m := Directory{}
	for _, id := range []ident.Endpoint{"a", "b", "c"} {
		e := testEndpoint(id)
		e.Evacuated = rapid.IntRange(0, 2).Draw(d.t, "evacuated") == 0
		m.Endpoints = append(m.Endpoints, e)
	}
	d.update(m)
	if rapid.Bool().Draw(d.t, "long") {
		d.now = d.now.Add(testEvacuationTime)
		d.update(Tick{})
	}
}

// useTx makes connections in use idle in transaction, or runs a statement on
// those that are. A resumed transaction
// takes a slot whether one is free or not, so it is resumed only if one is.
func (d *driver) useTx() {
	for id := WaiterID(1); id <= d.next; id++ {
		g, ok := d.granted[id]
		switch {
		case !ok || rapid.Bool().Draw(d.t, "unchanged"):
		case d.scheduler.conns[g.Conn].state == running:
			d.update(IdleInTx{Conn: g.Conn})
		case d.scheduler.conns[g.Conn].endpoint.active < testSlots+slotSlack:
			d.update(Resumed{Conn: g.Conn})
		}
	}
}

// abort ends the call of a connection. A running one ends as if a commit was in
// flight, when it is released.
func (d *driver) abort(id ConnID) {
	waiter, used := d.inUse[id]
	if !used {
		d.t.Fatalf("connection %d is aborted but not in use", id)
	}
	if d.scheduler.conns[id] == nil {
		delete(d.inUse, id)
		delete(d.granted, waiter)
	}
}

// checkEvacuated checks that no connection is idle at an endpoint that is
// evacuated, and none idle in transaction once its time is over.
func (d *driver) checkEvacuated() {
	for id, c := range d.scheduler.conns {
		since, evacuated := d.evacuated.since[c.endpoint.DataCentre]
		if !evacuated {
			continue
		}
		if c.state == idle {
			d.t.Fatalf("connection %d to evacuated endpoint %s is idle", id, c.endpoint.ID)
		}
		if over := d.now.Sub(since) >= testEvacuationTime; over && (c.state == idleInTx || c.state == running && !c.aborted) {
			d.t.Fatalf("connection %d to %s is still used", id, c.endpoint.ID)
		}
	}
}
