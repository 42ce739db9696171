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

// script runs the commands of a test file against a Scheduler.
type script struct {
	scheduler *Scheduler
	now       time.Time
	grants    map[WaiterID]Grant
	retries   []time.Duration // of all rejections so far
	// slow leaves dials pending until the command dialled.
	slow bool
	// behaviours and lastLoad belong to the loads of outlier_load_test.go.
	behaviours map[ident.Endpoint]*behaviour
	lastLoad   WaiterID
}

// TestScripts runs the scenarios in testdata. Each file holds one load and the
// expected scheduling decisions.
func TestScripts(t *testing.T) {
	assert.Fatal()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{scheduler: New(), now: time.Unix(1000, 0), grants: map[WaiterID]Grant{}, behaviours: map[ident.Endpoint]*behaviour{}}
		s.scheduler.Update(s.now, Limits{MaxConns: 16})
		s.scheduler.Update(s.now, Ownership{Owner: true})
		datadriven.RunTest(t, path, s.command)
	})
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	switch d.Cmd {
	case "endpoints":
		s.endpoints(t, d)
	case "acquire":
		fmt.Fprint(&out, s.acquire(t, d))
	case "release":
		fmt.Fprint(&out, s.release(t, d))
	case "wait":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(span)
		fmt.Fprint(&out, s.update(Tick{}))
	case "proof":
		var position int64
		d.ScanArgs(t, "position", &position)
		fmt.Fprint(&out, s.update(EndpointObserved{Endpoint: "a", Began: s.now, Position: ident.LogPosition{Term: 1, Position: ident.Position(position)}, WasPrimary: true}))
	case "observe":
		var position int64
		d.ScanArgs(t, "position", &position)
		fmt.Fprint(&out, s.update(EndpointObserved{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Began: s.now, Position: ident.LogPosition{Term: 1, Position: ident.Position(position)}}))
	case "failure":
		kinds := map[string]FailureKind{"behind": Behind, "saturated": Saturated, "unresponsive": Unresponsive}
		fmt.Fprint(&out, s.update(EndpointFailure{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Kind: kinds[d.CmdArgs[1].Key]}))
	case "primary":
		m := Primary{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Usable: !d.HasArg("unusable"), NoWrites: d.HasArg("nowrites")}
		if d.HasArg("expected") {
			var span string
			d.ScanArgs(t, "expected", &span)
			delay, _ := time.ParseDuration(span)
			m.ExpectedAt = s.now.Add(delay)
		}
		fmt.Fprint(&out, s.update(m))
	case "draintime":
		limit, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(&out, s.update(Limits{MaxConns: 16, DrainTime: limit}))
	case "streams":
		fmt.Fprint(&out, s.runStreams(t, d))
	case "weights":
		m := Weights{Rates: map[ident.Account]float64{}}
		for _, a := range d.CmdArgs {
			var rate float64
			d.ScanArgs(t, a.Key, &rate)
			m.Rates[ident.Account(a.Key)] = rate
		}
		fmt.Fprint(&out, s.update(m))
	case "retries":
		fmt.Fprint(&out, s.checkRetries(t, d))
	case "behave":
		fmt.Fprint(&out, s.behave(t, d))
	case "reads":
		fmt.Fprint(&out, s.runReads(t, d))
	case "roundtrip":
		span, err := time.ParseDuration(d.CmdArgs[1].Key)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(&out, s.update(EndpointObserved{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), RoundTrip: span}))
	case "outcome":
		fmt.Fprint(&out, s.outcome(t, d))
	case "lagging":
		m, lagging := s.scheduler.ReplicasLagging(s.now)
		if !lagging {
			return "no\n"
		}
		fmt.Fprintf(&out, "%d reads wait for primary %s, which needs %s for them\n", m.Reads, m.Endpoint, m.Queue)
	case "slowdials":
		s.slow = true
	case "dialled":
		id := s.dialling()
		if id == 0 {
			t.Fatal("no dial is pending")
		}
		fmt.Fprint(&out, s.update(DialDone{Conn: id, Result: Connected}))
	case "unreachable":
		fmt.Fprint(&out, s.update(DialDone{Conn: s.dialling(), Result: Unreachable}))
	case "connlimit":
		fmt.Fprint(&out, s.update(DialDone{Conn: s.dialling(), Result: ConnLimitReached}))
	default:
		out.WriteString(s.evacuation(t, d))
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

// acquire queues calls: acquire 1..4 account=shop [primary] [priority=2]
// [timeout=1s] [target=150ms] [quiet]. With quiet, it prints counts only.
func (s *script) acquire(t *testing.T, d *datadriven.TestData) string {
	var first, last int
	if _, err := fmt.Sscanf(d.CmdArgs[0].Key, "%d..%d", &first, &last); err != nil {
		_, _ = fmt.Sscan(d.CmdArgs[0].Key, &first)
		last = first
	}
	call := engine.Call{Phase: engine.Single, Account: "shop", Priority: 1, MaxLag: 1500 * time.Millisecond, Statement: engine.Statement{Op: engine.Read}}
	timeout := time.Second
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "account":
			call.Account = ident.Account(a.Vals[0])
		case "primary":
			call.PrimaryOnly = true
		case "write":
			call.PrimaryOnly, call.Statement.Op = true, engine.Write
		case "priority":
			d.ScanArgs(t, "priority", &call.Priority)
		case "timeout":
			timeout, _ = time.ParseDuration(a.Vals[0])
		case "target":
			call.Target, _ = time.ParseDuration(a.Vals[0])
		}
	}
	var out strings.Builder
	for n := first; n <= last; n++ {
		c := call
		out.WriteString(s.update(Acquire{Waiter: WaiterID(n), Call: &c, Deadline: s.now.Add(timeout)}))
	}
	if d.HasArg("quiet") {
		return fmt.Sprintf("%d run, %d rejected\n", strings.Count(out.String(), " runs at "), strings.Count(out.String(), " rejected: "))
	}
	return out.String()
}

// checkRetries checks the delays of all rejections so far: retries from=25ms
// until=150ms bunch=10. No more than bunch of them are within the same 10 ms, and
// they fill the time between from and until.
func (s *script) checkRetries(t *testing.T, d *datadriven.TestData) string {
	var fromText, untilText string
	var bunch int
	d.ScanArgs(t, "from", &fromText)
	d.ScanArgs(t, "until", &untilText)
	d.ScanArgs(t, "bunch", &bunch)
	from, _ := time.ParseDuration(fromText)
	until, _ := time.ParseDuration(untilText)
	first, last := slices.Min(s.retries), slices.Max(s.retries)
	var out strings.Builder
	if first < from || last > until {
		fmt.Fprintf(&out, "retries are from %s until %s\n", first, last)
	}
	if last-first < (until-from)*8/10 {
		fmt.Fprintf(&out, "retries fill only %s of %s\n", last-first, until-from)
	}
	if n := (&stream{retries: s.retries}).largestBunch(); n > bunch {
		fmt.Fprintf(&out, "%d retries within 10 ms\n", n)
	}
	if out.Len() == 0 {
		return "spread\n"
	}
	return out.String()
}

// release ends granted calls.
func (s *script) release(t *testing.T, d *datadriven.TestData) string {
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

// update sends a message and prints the resulting commands. Dials succeed
// immediately.
func (s *script) update(m Message) string {
	var out strings.Builder
	for _, c := range s.scheduler.Update(s.now, m) {
		switch c := c.(type) {
		case Grant:
			s.grants[c.Waiter] = c
			fmt.Fprintf(&out, "%d runs at %s, %s\n", c.Waiter, c.Endpoint, requirement(c))
		case Reject:
			s.retries = append(s.retries, c.RetryIn)
			fmt.Fprintf(&out, "%d rejected: %s, retry in %s\n", c.Waiter, c.Reason, c.RetryIn.Round(time.Millisecond))
		case Dial:
			fmt.Fprintf(&out, "dial %s for %s\n", c.Endpoint.ID, c.Account)
			if !s.slow {
				out.WriteString(s.update(DialDone{Conn: c.Conn, Result: Connected}))
			}
		case CloseConn:
			fmt.Fprintf(&out, "close a connection\n")
		case AbortConn:
			fmt.Fprintf(&out, "abort the connection of %d\n", s.callOf(c.Conn))
		case EndpointEjected:
			fmt.Fprintf(&out, "%s ejected for %s: %+v, the rest %+v\n", c.Endpoint, c.For, c.Own, c.Rest)
		case EndpointReturned:
			fmt.Fprintf(&out, "%s returned: %+v, the rest %+v\n", c.Endpoint, c.Own, c.Rest)
		}
	}
	return out.String()
}

func requirement(g Grant) string {
	if g.VerifyPrimary {
		return "primary verified"
	}
	return fmt.Sprintf("from position %d", g.After.Position)
}

func (s *script) dialling() ConnID {
	for id, c := range s.scheduler.conns {
		if c.state == dialling {
			return id
		}
	}
	return 0
}
