package evac

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TestScripts runs the scripts in testdata. A command prints the changes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tracker, now := New(), time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var changes []Changed
			switch d.Cmd {
			case "wait":
				span, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(span)
				return ""
			case "active":
				return fmt.Sprintf("%v\n", tracker.Active())
			case "request":
				var all []ident.DataCentre
				for _, a := range d.CmdArgs {
					all = append(all, ident.DataCentre(a.Key))
				}
				changes = tracker.Update(now, Requested{DataCentres: all})
			case "connections":
				m := Connections{Count: make(map[ident.DataCentre]int), ColdTime: 3 * time.Second}
				for _, a := range d.CmdArgs {
					var n int
					_, _ = fmt.Sscan(a.Vals[0], &n)
					m.Count[ident.DataCentre(a.Key)] = n
				}
				changes = tracker.Update(now, m)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			var out strings.Builder
			for _, c := range changes {
				fmt.Fprintf(&out, "%s: %s, was %s for %s\n", c.DataCentre, c.State, c.Before, c.BeforeFor)
			}
			return out.String()
		})
	})
}
