package disco

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// script drives one tracker and applies its directories as an instance does.
type script struct {
	tracker  *Tracker
	now      time.Time
	wakeAt   time.Time
	revision ident.Revision
	inForce  []sched.DirectoryEntry
}

// TestScripts runs the scripts in testdata. Without the tracker, endpoints that
// are alive leave the directory when the store was unavailable.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1000, 0)}
		s.tracker = NewTracker()
		datadriven.RunTest(t, path, s.command)
	})
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "lost":
		s.apply(s.tracker.Update(s.now, StoreLost{}))
	case "read":
		m := EntriesRead{InForce: s.inForce}
		d.ScanArgs(t, "revision", &m.Revision)
		m.Entries = parseEntries(d.Input)
		s.apply(s.tracker.Update(s.now, m))
	case "peer":
		d.ScanArgs(t, "revision", &s.revision)
		s.inForce = parseEntries(d.Input)
	case "wait":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.wait(span)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.directory()
}

func (s *script) wait(span time.Duration) {
	end := s.now.Add(span)
	if !s.wakeAt.IsZero() && !s.wakeAt.After(end) {
		s.now, s.wakeAt = s.wakeAt, time.Time{}
		s.apply(s.tracker.Update(s.now, Tick{}))
	}
	s.now = end
}

func (s *script) apply(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Publish:
			if c.Revision > s.revision {
				s.revision, s.inForce = c.Revision, c.Entries
			}
		case Wake:
			s.wakeAt = c.At
		}
	}
}

func (s *script) directory() string {
	var names []string
	for _, e := range s.inForce {
		name := fmt.Sprintf("%s@%s/%d", e.Endpoint.ID, e.Endpoint.Address, e.Endpoint.StartedAt)
		if e.Endpoint.Draining {
			name += "/draining"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.TrimSpace(fmt.Sprintf("revision %d: %s", s.revision, strings.Join(names, " "))) + "\n"
}

// parseEntries parses one entry a line: ID ADDRESS START [draining].
func parseEntries(text string) []sched.DirectoryEntry {
	var all []sched.DirectoryEntry
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		e := sched.DirectoryEntry{Group: "db", Endpoint: sched.Endpoint{ID: ident.Endpoint(words[0]), Address: words[1]}}
		_, _ = fmt.Sscan(words[2], &e.Endpoint.StartedAt)
		e.Endpoint.Draining = len(words) > 3
		all = append(all, e)
	}
	return all
}
