package tally

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	secondLayout = "15:04:05"
	// shownValues limits the lines about one field.
	shownValues = 20
	// absent stands for a field that is empty.
	absent = "-"
)

// WriteText writes the report as tables whose columns are separated by tabs.
func (r Report) WriteText(w io.Writer) error {
	t := table{w: w}
	t.line("%d statements failed or were late", r.Statements)
	if r.Broken > 0 {
		t.line("%d lines could not be decoded", r.Broken)
	}
	t.head("OUTCOME\tREASON\tDETAIL")
	for _, c := range r.Causes {
		writeCount(&t, c, c.Key.Outcome+"\t"+c.Key.Reason+"\t"+c.Key.Detail)
	}
	for _, f := range r.Fields {
		t.head(string(f.Field))
		for _, c := range f.Values[:min(len(f.Values), shownValues)] {
			writeCount(&t, c, cmp.Or(c.Key, absent))
		}
		if more := len(f.Values) - shownValues; more > 0 {
			t.line("and %d more", more)
		}
	}
	t.head("SECOND")
	for _, c := range r.Seconds {
		writeCount(&t, c, c.Key.UTC().Format(secondLayout))
	}
	return errors.Wrap(t.err, "write report")
}

// table writes lines until the first error.
type table struct {
	w   io.Writer
	err error
}

func (t *table) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *table) head(key string) {
	t.line("")
	t.line("%s\tSTATEMENTS\tFIRST\tLAST\tTOOK P50\tP90\tMAX\tWAITED P50\tP90\tMAX", key)
}

func writeCount[K comparable](t *table, c Count[K], key string) {
	t.line("%s\t%d\t%s\t%s\t%s\t%s", key, c.Statements,
		c.First.UTC().Format(secondLayout), c.Last.UTC().Format(secondLayout), c.Took, c.Waited)
}

// String returns the quantiles as the columns of a table.
func (s Spread) String() string {
	return fmt.Sprintf("%s\t%s\t%s", rounded(s.Median), rounded(s.P90), rounded(s.Max))
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
