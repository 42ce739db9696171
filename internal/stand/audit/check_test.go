package audit_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// start is the time from which the scripts count milliseconds.
var start = time.Unix(1000, 0)

// TestRules judges the histories in testdata: for each rule some that break it and
// some that don't.
func TestRules(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "check" {
				t.Fatalf("unknown command %s", d.Cmd)
			}
			h := &audit.History{At: start.Add(time.Hour), MaxStaleness: time.Second}
			for _, line := range strings.Split(d.Input, "\n") {
				parseLine(t, h, line)
			}
			var out strings.Builder
			for _, v := range audit.Check(h) {
				fmt.Fprintln(&out, v)
			}
			if out.Len() == 0 {
				return "no violation\n"
			}
			return out.String()
		})
	})
}

// fields are the NAME=VALUE words of a line. The text after a colon is that of the
// statement; underscores in values stand for blanks.
type fields map[string]string

func (f fields) number(name string) uint64 {
	n, _ := strconv.ParseUint(f[name], 10, 64)
	return n
}

func (f fields) time(name string) time.Time {
	if f[name] == "" {
		return time.Time{}
	}
	return start.Add(time.Duration(f.number(name)) * time.Millisecond)
}

func (f fields) rows() []string {
	if f["rows"] == "" {
		return nil
	}
	return strings.Split(f["rows"], ",")
}

// position parses TERM.NUMBER.
func position(text string) ident.LogPosition {
	var p ident.LogPosition
	_, _ = fmt.Sscanf(text, "%d.%d", &p.Term, &p.Position)
	return p
}

func (f fields) writes() []audit.Write {
	var out []audit.Write
	for _, word := range strings.Split(f["committed"], ",") {
		if request, at, ok := strings.Cut(word, "@"); ok {
			out = append(out, audit.Write{Request: request, Item: "x", Position: position(at)})
		}
	}
	return out
}

// freshness maps the names of the scripts to the kinds of routes.
var freshness = map[string]audit.Freshness{"": audit.Current, "bounded": audit.Bounded, "own": audit.OwnWrites}

// parseLine adds one line of a script to a history.
func parseLine(t *testing.T, h *audit.History, line string) {
	t.Helper()
	head, text, _ := strings.Cut(line, ": ")
	words := strings.Fields(head)
	f := make(fields)
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		f[name] = strings.ReplaceAll(value, "_", " ")
	}
	_, inTx := f["tx"]
	switch words[0] {
	case "caller":
		h.Attempts = append(h.Attempts, audit.Attempt{
			Session:   audit.Session{ID: audit.SessionID(f.number("session")), Front: "n1", Account: "shop", Freshness: freshness[f["route"]]},
			Operation: audit.OperationID(f.number("operation")), InTx: inTx, Request: f["id"], Text: text, Values: f["values"], Shape: f["shape"],
			Began: f.time("sent"), Sent: f.time("sent"), Ended: f.time("ended"), Lost: f["lost"] != "", Code: f["code"], Rows: f.rows(), Receipt: f["receipt"],
		})
	case "server":
		account := ident.Account("shop")
		if f["account"] != "" {
			account = ident.Account(f["account"])
		}
		h.Steps = append(h.Steps, audit.Step{
			At: f.time("at"), Group: "db", Server: "db-a", Conn: audit.ConnID(f.number("conn")), Tx: audit.TxID(f.number("tx")), Account: account,
			Request: f["id"], Text: text, Values: f["values"], Shape: f["shape"], Code: f["code"], Rows: f.rows(), Receipt: f["receipt"],
			Applied: position(f["applied"]), Committed: f.writes(),
		})
	case "log", "dropped":
		e := audit.LogEntry{Group: "db", Write: audit.Write{Request: f["id"], Item: "x", Position: position(f["at"])}}
		if words[0] == "log" {
			h.Log = append(h.Log, e)
		} else {
			h.Dropped = append(h.Dropped, e)
		}
	case "promotion":
		h.Promotions = append(h.Promotions, audit.Promotion{Group: "db", Holder: f["holder"], Epoch: f.number("epoch")})
	default:
		t.Fatalf("unknown line %q", line)
	}
}
