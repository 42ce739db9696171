package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// script drives a Scheduler by the commands of a data file.
type script struct {
	group  *Scheduler
	now    time.Time
	grants map[WaiterID]Grant
	// slow leaves dials open until they are ended by the command opened.
	slow bool
}

// TestScripts replays the loads of testdata: each file is one load with what
// the policy makes of it.
func TestScripts(t *testing.T) {
	assert.Fatal()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{group: New(), now: time.Unix(1000, 0), grants: map[WaiterID]Grant{}}
		s.group.Update(s.now, Limits{MaxConns: 16})
		s.group.Update(s.now, Ownership{Owner: true})
		datadriven.RunTest(t, path, s.command)
	})
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	switch d.Cmd {
	case "group":
		s.endpoints(t, d)
	case "ask":
		fmt.Fprint(&out, s.ask(t, d))
	case "done":
		fmt.Fprint(&out, s.done(t, d))
	case "wait":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(span)
		fmt.Fprint(&out, s.update(Tick{}))
	case "led":
		var position int64
		d.ScanArgs(t, "position", &position)
		fmt.Fprint(&out, s.update(EndpointObserved{Endpoint: "a", Began: s.now, Position: ident.LogPosition{Term: 1, Position: ident.Position(position)}, WasPrimary: true}))
	case "shows":
		var position int64
		d.ScanArgs(t, "position", &position)
		fmt.Fprint(&out, s.update(EndpointObserved{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Began: s.now, Position: ident.LogPosition{Term: 1, Position: ident.Position(position)}}))
	case "trouble":
		kinds := map[string]FailureKind{"behind": Behind, "full": Saturated, "silent": Unresponsive}
		fmt.Fprint(&out, s.update(EndpointFailure{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Kind: kinds[d.CmdArgs[1].Key]}))
	case "leader":
		m := Primary{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Usable: !d.HasArg("gone"), NoWrites: d.HasArg("nowrites")}
		if d.HasArg("back") {
			var span string
			d.ScanArgs(t, "back", &span)
			back, _ := time.ParseDuration(span)
			m.ExpectedAt = s.now.Add(back)
		}
		fmt.Fprint(&out, s.update(m))
	case "slowdials":
		s.slow = true
	case "opened":
		id := s.dialling()
		if id == 0 {
			t.Fatal("nothing is being dialled")
		}
		fmt.Fprint(&out, s.update(DialDone{Conn: id, Result: Connected}))
	case "full":
		fmt.Fprint(&out, s.update(DialDone{Conn: s.dialling(), Result: ConnLimitReached}))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return out.String()
}

func (s *script) endpoints(t *testing.T, d *datadriven.TestData) {
	slots := 2
	if d.HasArg("slots") {
		d.ScanArgs(t, "slots", &slots)
	}
	var all []Endpoint
	for _, a := range d.CmdArgs {
		if a.Key == "slots" {
			continue
		}
		all = append(all, Endpoint{ID: ident.Endpoint(a.Key), Slots: slots, Draining: slices.Contains(a.Vals, "draining")})
	}
	s.update(Directory{Endpoints: all})
	s.update(Primary{Endpoint: "a", Usable: true})
}

// ask queues calls: ask 1..4 account=shop [leader] [priority=2] [budget=1s].
func (s *script) ask(t *testing.T, d *datadriven.TestData) string {
	var first, last int
	if _, err := fmt.Sscanf(d.CmdArgs[0].Key, "%d..%d", &first, &last); err != nil {
		_, _ = fmt.Sscan(d.CmdArgs[0].Key, &first)
		last = first
	}
	call := engine.Call{Phase: engine.Single, Account: "shop", Priority: 1, MaxLag: 1500 * time.Millisecond, Statement: engine.Statement{Op: engine.Read}}
	budget := time.Second
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "account":
			call.Account = ident.Account(a.Vals[0])
		case "leader":
			call.PrimaryOnly = true
		case "write":
			call.PrimaryOnly, call.Statement.Op = true, engine.Write
		case "priority":
			d.ScanArgs(t, "priority", &call.Priority)
		case "budget":
			budget, _ = time.ParseDuration(a.Vals[0])
		}
	}
	var out strings.Builder
	for n := first; n <= last; n++ {
		c := call
		out.WriteString(s.update(Acquire{Waiter: WaiterID(n), Call: &c, Deadline: s.now.Add(budget)}))
	}
	return out.String()
}

// done ends granted calls after they took some time.
func (s *script) done(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for _, a := range d.CmdArgs {
		var n int
		if _, err := fmt.Sscan(a.Key, &n); err != nil {
			t.Fatal(err)
		}
		g, ok := s.grants[WaiterID(n)]
		if !ok {
			t.Fatalf("call %d has no connection", n)
		}
		out.WriteString(s.update(Released{Conn: g.Conn}))
	}
	return out.String()
}

// update passes a message on and prints the commands. Dials succeed at once.
func (s *script) update(m Message) string {
	var out strings.Builder
	for _, c := range s.group.Update(s.now, m) {
		switch c := c.(type) {
		case Grant:
			s.grants[c.Waiter] = c
			fmt.Fprintf(&out, "%d runs at %s%s\n", c.Waiter, c.Endpoint, need(c))
		case Reject:
			fmt.Fprintf(&out, "%d refused: %s, back in %s\n", c.Waiter, c.Reason, c.RetryIn.Round(time.Millisecond))
		case Dial:
			fmt.Fprintf(&out, "dial %s for %s\n", c.Endpoint.ID, c.Account)
			if !s.slow {
				out.WriteString(s.update(DialDone{Conn: c.Conn, Result: Connected}))
			}
		case CloseConn:
			fmt.Fprintf(&out, "drop a connection\n")
		}
	}
	return out.String()
}

func need(g Grant) string {
	if g.VerifyPrimary {
		return " under its lead"
	}
	return fmt.Sprintf(" after %d", g.After.Position)
}

func (s *script) dialling() ConnID {
	for id, c := range s.group.conns {
		if c.state == dialling {
			return id
		}
	}
	return 0
}
