package emul

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// newStep returns the record of a statement that is about to run.
func (c *lineConn) newStep(id, text string) audit.Step {
	_, statement := splitFloor(text)
	return audit.Step{
		Group: c.server.group.config.Name, Server: c.server.id, Conn: c.id, Account: ident.Account(c.account),
		Tx: c.tx, Request: id, Text: statement, Values: audit.FormatValues(c.variables),
	}
}

// record adds a statement and its result to the record. The statement that opens a
// transaction belongs to it.
func (c *lineConn) record(s audit.Step, rows []string, receipt string, f *failure) {
	if s.Tx == 0 {
		s.Tx = c.tx
	}
	s.At, s.Rows, s.Receipt = time.Now(), rows, receipt
	if f != nil {
		s.Code = f.code
		if f.code == "" {
			s.Code = "CLOSED"
		}
	}
	c.server.group.config.Record.Add(s)
}

// writesOf returns the entries of a log as the record names them.
func writesOf(entries []Entry) []audit.Write {
	var out []audit.Write
	for _, e := range entries {
		out = append(out, audit.Write{Request: e.request, Item: e.Item, Position: e.Position})
	}
	return out
}

// Committed returns the writes of the primary's log that were acknowledged, and with
// all also the later ones. There are none while the group has no primary.
func (g *Group) Committed(all bool) []audit.LogEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	acked := make(map[ident.LogPosition]bool, len(g.acked))
	for _, e := range g.acked {
		acked[e.Position] = true
	}
	var kept []Entry
	for _, s := range g.servers {
		if !s.isPrimary || s.down {
			continue
		}
		for _, e := range s.log {
			if all || acked[e.Position] {
				kept = append(kept, e)
			}
		}
	}
	return g.logEntries(kept)
}

// Dropped returns the acknowledged commits that a promotion dropped.
func (g *Group) Dropped() []audit.LogEntry { return g.logEntries(g.Lost()) }

// logEntries returns entries of the group's logs as the record names them.
func (g *Group) logEntries(entries []Entry) []audit.LogEntry {
	var out []audit.LogEntry
	for _, w := range writesOf(entries) {
		out = append(out, audit.LogEntry{Group: g.config.Name, Write: w})
	}
	return out
}

// Promotions returns the promotions that the platform accepted.
func (s *Store) Promotions() []audit.Promotion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []audit.Promotion
	for _, o := range s.orders {
		out = append(out, audit.Promotion{Group: o.group, Holder: o.Holder, Epoch: o.Token})
	}
	return out
}
