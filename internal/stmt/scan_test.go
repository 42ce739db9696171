package stmt_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

var kindNames = map[stmt.Kind]string{
	stmt.Empty: "empty", stmt.Read: "read", stmt.Write: "write", stmt.Begin: "begin", stmt.BeginReadOnly: "begin-read",
	stmt.Commit: "commit", stmt.Rollback: "rollback", stmt.Set: "set", stmt.Unsupported: "unsupported",
}

func TestScan(t *testing.T) {
	datadriven.RunTest(t, "testdata/scan", func(_ *testing.T, d *datadriven.TestData) string {
		s := stmt.Scan(d.Input)
		return fmt.Sprintf("%s multiple=%t leavesState=%t request=%q sql=%q\n", kindNames[s.Kind], s.Multiple, s.LeavesState, s.Request, s.SQL)
	})
}

func TestClassifyLoss(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stmt.ClassifyLoss(stmt.Loss{Sent: stmt.SentNothing})).To(Equal(stmt.RetryElsewhere))
	g.Expect(stmt.ClassifyLoss(stmt.Loss{Sent: stmt.SentSome})).To(Equal(stmt.Unknown), "a write that may have run is never repeated")
	g.Expect(stmt.ClassifyLoss(stmt.Loss{Sent: stmt.SentSome, NoEffect: true})).To(Equal(stmt.RetryElsewhere))
	g.Expect(stmt.ClassifyLoss(stmt.Loss{Sent: stmt.SentSome, NoEffect: true, Relayed: true})).To(Equal(stmt.Unknown))
	g.Expect(stmt.ClassifyLoss(stmt.Loss{Sent: stmt.SentSome, NoEffect: true, InTransaction: true})).To(Equal(stmt.NotRun))
	g.Expect(stmt.ClassifyLoss(stmt.Loss{Sent: stmt.SentSome, InTransaction: true})).To(Equal(stmt.Unknown))
}

func FuzzScan(f *testing.F) {
	f.Add("/* a /* b */ */ select 1; /*request_id='x'*/")
	f.Fuzz(func(_ *testing.T, sql string) { stmt.Scan(sql) })
}

func BenchmarkScan(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		stmt.Scan("SELECT quantity FROM stock WHERE item = $1")
	}
}

func TestSessionLocks(t *testing.T) {
	g := NewWithT(t)
	for sql, want := range map[string]bool{
		"SELECT pg_advisory_lock(1)":            true,
		"select pg_try_advisory_lock_shared(1)": true,
		"SELECT pg_advisory_xact_lock(1)":       false,
		"SET LOCAL statement_timeout = 1":       false,
	} {
		g.Expect(stmt.Scan(sql).LeavesLocks).To(Equal(want), sql)
	}
}
