package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Report holds the results of one run.
type Report struct {
	Seed     uint64
	Seconds  float64
	Kinds    []Row
	Accounts []Row
	// Refusals counts errors by SQLSTATE; "connect" and "lost" stand for
	// connections that could not be opened or were lost.
	Refusals   map[string]int
	Gaps       []Gap
	Violations Violations `json:"Broken"`
}

// Row holds the counts and delays of one kind of request or one account. Delays
// are in milliseconds and count from the time at which the request was due.
type Row struct {
	Name        string
	Sent        int
	Answered    int
	NotRun      int
	Failed      int
	Unknown     int
	Unsent      int // no caller was free in time
	WithinQuota int `json:"Inside"` // within the account's rate and burst
	InTime      int // of those within the quota, answered in time
	Wrongful    int // of those within the quota, refused with SQLSTATE 53300
	P50         float64
	P99         float64
	Max         float64
}

// InTimeShare returns the fraction of the requests within the quota that were
// answered in time, or 1 if there were none.
func (r *Row) InTimeShare() float64 {
	if r.WithinQuota == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.WithinQuota)
}

// Gap is the longest time without an acknowledged write. Times are in seconds.
type Gap struct {
	Group   ident.Group
	Writes  int
	Longest float64
	From    float64 // since the start
}

// Worst returns the account with the lowest InTimeShare.
func (r *Report) Worst() Row {
	return slices.MinFunc(r.Accounts, func(a, b Row) int {
		switch x, y := a.InTimeShare(), b.InTimeShare(); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, rows := range [][]Row{r.Kinds, r.Accounts} {
		_, _ = fmt.Fprintln(t, "name\tsent\tanswered\tnot run\tfailed\tunknown\tunsent\tinside\tin time\twrongful\tp50 ms\tp99 ms\tmax ms\t")
		for i := range rows {
			printRow(t, &rows[i])
		}
		_, _ = fmt.Fprintln(t)
	}
	_, _ = fmt.Fprintln(t, "group\twrites\tlongest gap s\tfrom s\t")
	for _, g := range r.Gaps {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t\n", g.Group, g.Writes, g.Longest, g.From)
	}
	for _, c := range slices.Sorted(maps.Keys(r.Refusals)) {
		_, _ = fmt.Fprintf(t, "SQLSTATE %s\t%d\t\n", c, r.Refusals[c])
	}
	_, _ = fmt.Fprintf(t, "violated guarantees\t%d\t\n", r.Violations.Sum())
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print report")
	}
	for _, e := range r.Violations.Examples {
		if _, err := fmt.Fprintln(w, "broken:", e); err != nil {
			return errors.Wrap(err, "print report")
		}
	}
	return nil
}

func printRow(w io.Writer, r *Row) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f %%\t%d\t%.1f\t%.1f\t%.1f\t\n",
		r.Name, r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown, r.Unsent, r.WithinQuota,
		100*r.InTimeShare(), r.Wrongful, r.P50, r.P99, r.Max)
}
