package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TestSessions runs the scenarios in testdata: the steps of a session for each
// statement and for the answers to its calls.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &sessionScript{catalog: testCatalog()}
		datadriven.RunTest(t, path, s.command)
	})
}

func testCatalog() *Catalog {
	c := &Catalog{
		Version: 1,
		Routes: map[ident.Route]Route{
			"orders": {Name: "orders", Group: "db", Freshness: Current},
			"slots":  {Name: "slots", Group: "db", Freshness: OwnWrites},
			"open":   {Name: "open", Group: "db", Freshness: Bounded, Open: true},
		},
		Accounts: map[ident.Account]Account{"shop": {Name: "shop", Keys: []string{"k1"}}},
	}
	c.BuildKeyIndex()
	return c
}

type sessionScript struct {
	catalog *Catalog
	session *Session
	call    *Call
}

func (s *sessionScript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "login":
		_, account, reason := s.catalog.Admit(ident.Route(d.CmdArgs[0].Key), d.CmdArgs[1].Key)
		s.session = NewSession(1, ident.Route(d.CmdArgs[0].Key), d.CmdArgs[1].Key)
		return fmt.Sprintf("%s %s\n", account, reason)
	case "revoke":
		next := testCatalog()
		next.Version, next.Accounts = 2, map[ident.Account]Account{}
		if d.HasArg("route") {
			delete(next.Routes, "orders")
		}
		if d.HasArg("reassigned") {
			next.Accounts["farm"] = Account{Name: "farm", Keys: []string{"k1"}}
		}
		next.BuildKeyIndex()
		s.catalog = next
		return ""
	case "moveroute":
		next := testCatalog()
		name := ident.Route(d.CmdArgs[0].Key)
		moved := next.Routes[name]
		moved.Group = ident.Group(d.CmdArgs[1].Key)
		next.Routes[name] = moved
		s.catalog = next
		return ""
	case "removeroute":
		next := testCatalog()
		delete(next.Routes, "orders")
		s.catalog = next
		return ""
	case "statements":
		return s.statement(t, d)
	case "answer":
		return s.answer(d)
	case "disconnect":
		return fmt.Sprintf("roll back %d\n", s.session.Abandon())
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

var testOps = map[string]Op{
	"begin": Begin, "beginread": BeginReadOnly, "commit": Commit, "rollback": Rollback, "read": Read, "write": Write,
	"execute": Execute, "set": Set, "prepare": Prepare, "close": Deallocate,
}

func (s *sessionScript) statement(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		op, ok := testOps[f[0]]
		if !ok {
			t.Fatalf("unknown statement %s", f[0])
		}
		statement := Statement{Op: op}
		if len(f) > 1 {
			statement.Name = f[1]
		}
		if len(f) > 2 {
			statement.Argument = f[2]
			statement.Template = StatementTemplate{Text: "whole", Access: ReadAccess}
			if f[2] == "writes" {
				statement.Template.Access = WriteAccess
			}
		}
		out.WriteString(s.step(s.session.Receive(statement, s.catalog)))
	}
	return out.String()
}

func (s *sessionScript) step(step Step) string {
	var words []string
	if step.StartsOperation {
		words = append(words, "starts operation")
	}
	if step.RollbackTx != 0 {
		words = append(words, fmt.Sprintf("roll back %d", step.RollbackTx))
	}
	if a := step.Answer; a != nil {
		words = append(words, fmt.Sprintf("%s %s, state %d", a.Outcome, a.Reason, a.State))
	}
	if c := step.Call; c != nil {
		s.call = c
		words = append(words, fmt.Sprintf("run phase %d, tx %d, primary only %v, last write %d, variables %d", c.Phase, c.Tx, c.PrimaryOnly, c.LastWrite.Position, len(c.Variables)))
	}
	if step.CloseSession {
		words = append(words, "close session")
	}
	return strings.Join(words, "; ") + "\n"
}

// answer ends the running call: answer ok|notrun|unknown|failed [tx=1].
func (s *sessionScript) answer(d *datadriven.TestData) string {
	answers := map[string]Answer{
		"ok":      {Outcome: Answered, Position: ident.LogPosition{Term: 1, Position: 7}},
		"failed":  {Outcome: Answered, Reason: Failed},
		"notrun":  Refuse(Overloaded, 0, ""),
		"unknown": Indeterminate(Lost, ""),
	}
	a := answers[d.CmdArgs[0].Key]
	var tx TxID
	if len(d.CmdArgs) > 1 {
		_, _ = fmt.Sscan(d.CmdArgs[1].Vals[0], &tx)
	}
	rollback := s.session.Finish(s.call, &a, tx)
	return fmt.Sprintf("%s %s, state %d, roll back %d\n", a.Outcome, a.Reason, a.State, rollback)
}
