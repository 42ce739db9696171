package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// queuedCall is a waiting call of the starvation test.
type queuedCall struct {
	ahead   int // calls that were waiting when it arrived
	granted int // grants to other calls since then
}

// No call starves, whatever the priorities, targets and weights of the calls that
// keep arriving: of oldestGrantInterval grants, one goes to the call that has waited
// longest. The endpoint never runs more than its slots and slotSlack.
func TestNoCallStarves(t *testing.T) {
	assert.Fatal()
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(), time.Unix(1000, 0)
		waiting, running := map[WaiterID]*queuedCall{}, []ConnID{}
		accounts := []ident.Account{"x", "y", "z"}
		var update func(m Message)
		update = func(m Message) {
			for _, c := range s.Update(now, m) {
				switch c := c.(type) {
				case Dial:
					update(DialDone{Conn: c.Conn, Result: Connected})
				case Reject:
					t.Fatalf("call %d is rejected: %s", c.Waiter, c.Detail)
				case Grant:
					delete(waiting, c.Waiter)
					running = append(running, c.Conn)
					for id, w := range waiting {
						w.granted++
						if limit := oldestGrantInterval * (w.ahead + 1); w.granted > limit {
							t.Fatalf("call %d still waits after %d grants, the limit is %d", id, w.granted, limit)
						}
					}
				}
			}
			if len(running) > testSlots+slotSlack {
				t.Fatalf("%d calls run at %d slots", len(running), testSlots)
			}
		}
		update(Limits{MaxConns: 64})
		update(Ownership{Owner: true})
		update(Weights{Rates: map[ident.Account]float64{"x": 1, "y": rapid.Float64Range(0, 100).Draw(t, "rate"), "z": 30}})
		update(Directory{Endpoints: []Endpoint{{ID: "a", Slots: testSlots}}})
		update(Primary{Endpoint: "a", Usable: true})
		for n := range WaiterID(rapid.IntRange(1, 300).Draw(t, "calls")) {
			call := &engine.Call{
				Phase: engine.Single, Statement: engine.Statement{Op: engine.Read}, PrimaryOnly: true,
				Account:  rapid.SampledFrom(accounts).Draw(t, "account"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Target:   rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}).Draw(t, "target"),
			}
			waiting[n] = &queuedCall{ahead: len(waiting)}
			update(Acquire{Waiter: n, Call: call, Deadline: now.Add(time.Hour)})
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Millisecond)
			for range rapid.IntRange(0, 2).Draw(t, "ends") {
				if len(running) > 0 {
					id := running[0]
					running = running[1:]
					update(Released{Conn: id})
				}
			}
		}
	})
}
