package lines

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxUnread limits the statements that were sent and not read which a report
// describes.
const maxUnread = 10

// StopReport is the result of the check of graceful stops.
type StopReport struct {
	Stops   int
	Longest time.Duration
	// Overdue describes the instances that outlived their grace.
	Overdue []string
	// Verdicts counts the statements without an answer.
	Verdicts map[Verdict]int
	// Cut describes the violations, Unread those of the statements that were sent
	// around a stop and not read which waited longest.
	Cut, Unread []string
	// Stall is the longest time by which the callers were late.
	Stall time.Duration
}

// CheckStops judges the statements of a load that got no answer, and the times
// of the graceful stops.
func (d *Deployment) CheckStops(r *Report) *StopReport {
	out := &StopReport{Verdicts: make(map[Verdict]int)}
	for _, s := range r.Stalls {
		out.Stall = max(out.Stall, s.Late)
	}
	for _, s := range d.Stops() {
		out.Stops++
		out.Longest = max(out.Longest, s.Took)
		if s.Overdue {
			out.Overdue = append(out.Overdue, fmt.Sprintf("%s, process %d, SIGTERM at %s", s.Instance, s.PID, s.At.UTC().Format(time.RFC3339Nano)))
		}
	}
	h := d.History()
	h.Stalls = r.Stalls
	out.judge(h, r.Closed)
	return out
}

func (r *StopReport) judge(h *History, closed []Closed) {
	var unread []Closed
	for _, c := range slices.SortedFunc(slices.Values(closed), func(a, b Closed) int { return a.Ended.Compare(b.Ended) }) {
		verdict := h.Judge(c)
		r.Verdicts[verdict]++
		_, stopping := h.stop(c)
		switch {
		case verdict.IsViolation():
			r.Cut = append(r.Cut, h.Describe(c))
		case verdict == OnlySent && stopping && !c.Sent.IsZero():
			unread = append(unread, c)
		}
	}
	slices.SortStableFunc(unread, func(a, b Closed) int { return cmp.Compare(b.waited(), a.waited()) })
	for _, c := range unread[:min(maxUnread, len(unread))] {
		r.Unread = append(r.Unread, h.Describe(c))
	}
}

// Violations returns how often a graceful stop cut a statement or took too long.
func (r *StopReport) Violations() int { return len(r.Cut) + len(r.Overdue) }

// String returns the report, with one line for each violation.
func (r *StopReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "graceful stops %d, longest %s, longer than the grace %d; callers late by up to %s\n",
		r.Stops, round(r.Longest), len(r.Overdue), round(r.Stall))
	for _, v := range slices.Sorted(maps.Keys(r.Verdicts)) {
		fmt.Fprintf(&b, "statements without an answer, %s: %d\n", v, r.Verdicts[v])
	}
	for _, text := range r.Unread {
		fmt.Fprintln(&b, "unread:", text)
	}
	for _, text := range r.Overdue {
		fmt.Fprintln(&b, "violation: outlived its grace:", text)
	}
	for _, text := range r.Cut {
		fmt.Fprintln(&b, "violation: cut:", text)
	}
	return b.String()
}
