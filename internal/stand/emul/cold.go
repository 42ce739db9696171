package emul

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// In any coldWindow, a cold server tolerates coldOverage times its rate plus
	// coldSlack statements.
	coldOverage = 1.5
	coldSlack   = 5
	// coldWindow is the time over which the statements are counted.
	coldWindow = time.Second
	// coldStep is the resolution of what an entry says about a cold server, so
	// that the entry does not change all the time.
	coldStep = time.Second
)

// coldPeriod is a period in which a server is cold: after a restart, or after its
// data centre returned from an evacuation.
type coldPeriod struct {
	since, until time.Time
	// restarted is set if the period follows a restart. Only then the server's entry
	// states it.
	restarted bool
}

// beginCold records that the server is cold from now on. The caller holds the
// group's mutex.
func (s *Server) beginCold(restarted bool) {
	if s.group.config.ColdRate > 0 {
		now := time.Now()
		s.coldPeriods = append(s.coldPeriods, coldPeriod{since: now, until: now.Add(s.group.config.ColdTime), restarted: restarted})
	}
}

// coldLeft returns for how much longer the server is cold after a restart, rounded
// up to a multiple of coldStep.
func (s *Server) coldLeft() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	var left time.Duration
	for _, c := range s.coldPeriods {
		if c.restarted {
			left = max(0, time.Until(c.until))
		}
	}
	return (left + coldStep - 1).Truncate(coldStep)
}

// CheckCold describes the returns from an evacuation after which a cold server
// received more statements than it tolerates. Statements that occupy no slot don't
// count. A restart is not checked, because the instances learn of it only from the
// server's next entry.
func (s *Store) CheckCold() []string {
	var out []string
	for _, g := range s.groups {
		limit := int(g.config.ColdRate*coldOverage + coldSlack)
		for _, server := range g.Servers() {
			for _, c := range server.listColdPeriods() {
				if n := server.busiest(c.since, c.until); !c.restarted && n > limit {
					out = append(out, fmt.Sprintf("%d statements in a second at %s, cold for %s from %s, at most %d allowed",
						n, server.id, c.until.Sub(c.since), c.since.UTC().Format(time.RFC3339Nano), limit))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

func (s *Server) listColdPeriods() []coldPeriod {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return slices.Clone(s.coldPeriods)
}

// busiest returns the most statements that the server received within a second
// between two times.
func (s *Server) busiest(since, until time.Time) int {
	var at []time.Time
	for _, a := range s.Arrivals() {
		if a.occupiesSlot() && !a.At.Before(since) && a.At.Before(until) {
			at = append(at, a.At)
		}
	}
	most, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) >= coldWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (a Arrival) occupiesSlot() bool {
	f := strings.Fields(a.Text)
	if len(f) > 2 && f[0] == "AFTER" {
		f = f[2:]
	}
	return len(f) > 0 && slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT"}, f[0])
}
