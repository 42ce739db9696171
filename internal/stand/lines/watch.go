package lines

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	// auditInterval is how often the record is judged while a run goes on.
	auditInterval = 10 * time.Second
	// traceLength is how many statements of each connection of a violation are shown.
	traceLength = 20
	// maxTraced limits the violations that are shown with their statements.
	maxTraced = 5
)

// history returns what the servers ran and the callers were told. While the run goes
// on, only commits that were acknowledged count as permanent.
func (d *Deployment) history(ended bool) *audit.History {
	h := &audit.History{At: time.Now(), Steps: d.record.Steps(), MaxStaleness: emul.MaxStaleness, Promotions: d.store.Promotions()}
	for _, g := range d.groups {
		h.Log = append(h.Log, g.Committed(ended)...)
		h.Dropped = append(h.Dropped, g.Dropped()...)
	}
	h.Attempts = d.config.Journal.Attempts()
	return h
}

// auditLoop judges the record again and again and prints the first violation of each
// rule at once.
func (d *Deployment) auditLoop(ctx context.Context) error {
	seen := make(map[audit.Rule]bool)
	for tasks.Pause(ctx, auditInterval) {
		for _, v := range audit.Check(d.history(false)) {
			if !seen[v.Rule] {
				seen[v.Rule] = true
				fmt.Printf("violation at %s: %s\n", time.Now().UTC().Format(time.RFC3339Nano), v)
			}
		}
	}
	return nil
}

// AuditReport is what the record of the servers has shown.
type AuditReport struct {
	Steps      int
	violations []audit.Violation
	history    *audit.History
}

// CheckRecord judges the whole record. The callers have to be done.
func (d *Deployment) CheckRecord() *AuditReport {
	if d.record == nil {
		return &AuditReport{}
	}
	h := d.history(true)
	return &AuditReport{Steps: len(h.Steps), violations: audit.Check(h), history: h}
}

// Violations returns how often a rule was broken.
func (r *AuditReport) Violations() int { return len(r.violations) }

// String returns the report: the number of violations of each rule, one line for each
// violation, and what the connections of the first ones ran.
func (r *AuditReport) String() string {
	var b strings.Builder
	counts := make(map[audit.Rule]int)
	for _, v := range r.violations {
		counts[v.Rule]++
	}
	fmt.Fprintf(&b, "statements at servers %d, violations of rules %v\n", r.Steps, counts)
	shown := make(map[audit.Rule]int)
	for _, v := range r.violations {
		fmt.Fprintln(&b, "violation:", v)
		if shown[v.Rule]++; shown[v.Rule] <= maxTraced {
			fmt.Fprintln(&b, r.history.Trace(v, traceLength))
		}
	}
	return b.String()
}
