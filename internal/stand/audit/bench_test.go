package audit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
)

// record runs transactions of five statements at one server, whose journal and record it
// returns. None of them breaks a rule.
func record(statements int) (*audit.Journal, *audit.Record) {
	j, r := audit.NewJournal(), audit.NewRecord()
	values := map[string]string{"v1": "y1", "v2": "y2"}
	session := audit.Session{ID: j.NextSession(), Front: "n1", Account: "shop", Freshness: audit.Current}
	conn := r.NextConn()
	var operation audit.OperationID
	var tx audit.TxID
	for i := range statements {
		if i%5 == 0 {
			operation, tx = j.NextOperation(), r.NextTx()
		}
		text := fmt.Sprintf("READ item-%d", i%60)
		a := j.Begin(audit.Attempt{Session: session, Operation: operation, InTx: true, Text: text, Values: audit.FormatValues(values), Sent: time.Now()})
		r.Add(audit.Step{
			At: time.Now(), Group: "db", Server: "db-a", Conn: conn, Tx: tx, Account: "shop", Request: a.Request,
			Text: text, Values: audit.FormatValues(values), Receipt: "r",
		})
		j.End(a, time.Now(), func(a *audit.Attempt) { a.Receipt = "r" })
	}
	return j, r
}

// BenchmarkRecord measures what one statement costs in the record and the journal.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	record(b.N)
}

// BenchmarkCheck measures how long a run of a minute takes to judge.
func BenchmarkCheck(b *testing.B) {
	j, r := record(20_000)
	h := &audit.History{At: time.Now(), Steps: r.Steps(), Attempts: j.Attempts(), MaxStaleness: time.Second}
	for b.Loop() {
		if v := audit.Check(h); len(v) > 0 {
			b.Fatal(v[0])
		}
	}
}
