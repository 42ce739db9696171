package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TestMembers runs the scripts in testdata/members. The first argument of each
// directive is the time in whole milliseconds:
//
//	tick 100 connected=(b,c)     time passes
//	rows 100 began=50            a read started at 50 returns the rows in the input: name start renewal
//	outage 100                   a read fails
//	left 100 from=b              a peer reports that it is shutting down
//	listed 100 names=(a,b)       the platform lists these instances
//	written 100                  the write of the instance's own row returns
//	wake 100                     the process resumes from a pause
//
// Before each directive except wake, ticks with the latest connections advance
// the time.
func TestMembers(t *testing.T) {
	datadriven.Walk(t, "testdata/members", func(t *testing.T, path string) {
		now, connected := simEpoch, []ident.Instance(nil)
		m := NewMembers(store.Member{Instance: "a", Start: 1}, DefaultMemberBounds())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at, err := time.ParseDuration(d.CmdArgs[0].Key + "ms")
			if err != nil {
				d.Fatalf(t, "time: %v", err)
			}
			input := memberInput(t, d)
			if v, ok := input.(Tick); ok && d.Cmd == "tick" {
				connected = v.Connected
			}
			var cmds []Cmd
			for now.Add(tickInterval).Before(simEpoch.Add(at)) && d.Cmd != "wake" {
				now = now.Add(tickInterval)
				cmds = append(cmds, m.Update(Tick{Connected: connected}, now)...)
			}
			now = simEpoch.Add(at)
			return printCmds(append(cmds, m.Update(input, now)...))
		})
	})
}

func memberInput(t *testing.T, d *datadriven.TestData) Msg {
	switch d.Cmd {
	case "tick", "wake":
		return Tick{Connected: namesOf(d)}
	case "listed":
		return InstancesListed{Instances: namesOf(d)}
	case "rows":
		var began int
		d.ScanArgs(t, "began", &began)
		return RowsRead{StartedAt: simEpoch.Add(time.Duration(began) * time.Millisecond), Rows: parseRows(t, d)}
	case "outage":
		return RowsRead{Err: errSim}
	case "left":
		var from string
		d.ScanArgs(t, "from", &from)
		return PeerLeaving{From: ident.Instance(from)}
	case "written":
		return RowWritten{}
	}
	d.Fatalf(t, "unknown directive %s", d.Cmd)
	return nil
}

// namesOf returns the names in the second argument, if there is one.
func namesOf(d *datadriven.TestData) []ident.Instance {
	var names []ident.Instance
	if len(d.CmdArgs) > 1 {
		for _, n := range d.CmdArgs[1].Vals {
			names = append(names, ident.Instance(n))
		}
	}
	return names
}

func parseRows(t *testing.T, d *datadriven.TestData) []store.Member {
	var rows []store.Member
	for line := range strings.Lines(d.Input) {
		var m store.Member
		if _, err := fmt.Sscan(line, &m.Instance, &m.Start, &m.Renewal); err != nil {
			d.Fatalf(t, "row %q: %v", line, err)
		}
		rows = append(rows, m)
	}
	return rows
}

// printCmds prints one command per line, consecutive duplicates once.
func printCmds(cmds []Cmd) string {
	var b strings.Builder
	for _, c := range cmds {
		switch c := c.(type) {
		case ReadRows:
			fmt.Fprintln(&b, "ReadRows")
		case ReadList:
			fmt.Fprintln(&b, "ReadList")
		case WriteRow:
			fmt.Fprintln(&b, "WriteRow renewal", c.Member.Renewal)
		case RemoveRow:
			fmt.Fprintln(&b, "RemoveRow", c.Instance)
		case MembersChanged:
			fmt.Fprint(&b, "MembersChanged")
			for _, n := range c.Members {
				fmt.Fprint(&b, " ", n.Instance, "/", n.Start)
			}
			fmt.Fprintln(&b)
		case LiveChanged:
			fmt.Fprintln(&b, "LiveChanged", c.Instances)
		case Record:
			fmt.Fprintln(&b, strings.TrimSpace(fmt.Sprint("Record ", c.Kind, " ", c.Peer, " ", c.Note)))
		}
	}
	return strings.Join(slices.Compact(strings.SplitAfter(b.String(), "\n")), "")
}
