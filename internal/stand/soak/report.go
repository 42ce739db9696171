package soak

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Report holds the results of a run.
type Report struct {
	Seed       uint64
	Seconds    float64
	Plan       []Fault
	Faults     []*InjectedFault
	Counts     []KindCount
	Gaps       []Gap
	Quotas     []Quota
	Versions   Versions
	Keys       Keys
	Load       *load.Report
	Violations []ReportedViolation `json:"Broken"`
}

// KindCount holds the number of injected and skipped faults of a kind.
type KindCount struct {
	Kind    Kind
	Done    int
	Skipped int
}

// Quota reports how close an account came to its bound.
type Quota struct {
	Account  ident.Account
	Admitted int
	// Left is how many more requests the fullest window would have allowed.
	Left float64
}

// Versions summarises the changes of the document.
type Versions struct {
	Accepted int
	Unknown  int
	Refused  int
	// Slowest is the longest time, in seconds, from an acceptance until an
	// undisturbed proxy had the version in force.
	Slowest float64
}

// Keys summarises the check of revoked keys.
type Keys struct {
	Rounds int
	Served int
	// Slowest is the longest time, in seconds, from a revocation to the sending
	// of a request that was served.
	Slowest float64
}

// ReportedViolation is a violation with the events around it.
type ReportedViolation struct {
	Violation
	TimeLine []event.Record
}

// timelineMargin is how much of the timeline is shown before and after a
// violation.
const timelineMargin = 6 * time.Second

func (r *run) report(l *load.Report) *Report {
	violations, faults := r.recorder.sorted()
	out := &Report{Seed: r.options.Seed, Seconds: r.options.Duration.Seconds(), Plan: r.plan, Faults: faults, Load: l}
	out.Counts = countKinds(faults)
	out.Gaps = r.gaps(faults)
	for _, a := range r.deployment.layout.Accounts[:fixedAccounts] {
		all := admitted(r.recorder.attempts, a.Name)
		w := worstWindow(all, a.Rate, a.Burst)
		out.Quotas = append(out.Quotas, Quota{a.Name, len(all), -w.over()})
	}
	out.Versions = Versions{r.operators.edits, r.operators.unknown, r.operators.refused, r.watcher.rollout.slowest.Seconds()}
	out.Keys = Keys{r.keys.rounds, r.keys.served, r.keys.slowest.Seconds()}
	for _, v := range violations {
		out.Violations = append(out.Violations, ReportedViolation{v, r.recorder.around(v.At, timelineMargin)})
	}
	return out
}

func countKinds(faults []*InjectedFault) []KindCount {
	var out []KindCount
	for _, k := range Kinds {
		c := KindCount{Kind: k}
		for _, f := range faults {
			switch {
			case f.Kind != k:
			case f.Skipped != "":
				c.Skipped++
			default:
				c.Done++
			}
		}
		out = append(out, c)
	}
	return out
}

// gaps returns the write gaps around the faults that may cost a group its
// primary.
func (r *run) gaps(faults []*InjectedFault) []Gap {
	var out []Gap
	for _, f := range faults {
		if f.Skipped != "" || !f.onEndpoint() {
			continue
		}
		switch f.Kind {
		case KillEndpoint, PauseEndpoint, CutPrimary, CutCallers, LeavingEndpoint:
			g := r.deployment.layout.Groups[f.Group].Name
			gap := longestGap(acksOf(r.recorder.attempts, g), f.From, f.Until.Add(gapMargin))
			out = append(out, Gap{g, string(f.Kind) + " " + f.Target, gap.Seconds()})
		}
	}
	return out
}

// Print writes the summary and, if there are violations, the plan and the
// events around each of them.
func (r *Report) Print(w io.Writer) error {
	p := &printer{w: w}
	p.line("seed %d, %.0f s, %d faults planned", r.Seed, r.Seconds, len(r.Plan))
	for _, c := range r.Counts {
		p.line("  %-16s %3d done, %d skipped", c.Kind, c.Done, c.Skipped)
	}
	p.line("longest time without an acknowledged write around each fault:")
	for _, g := range r.Gaps {
		p.line("  %-9s %-32s %7.3f s", g.Group, g.Fault, g.Seconds)
	}
	for _, q := range r.Quotas {
		p.line("account %-13s %6d admitted, %.1f below the bound in its fullest window", q.Account, q.Admitted, q.Left)
	}
	p.line("versions: %d accepted, %d of unknown outcome, %d refused; slowest in force after %.2f s",
		r.Versions.Accepted, r.Versions.Unknown, r.Versions.Refused, r.Versions.Slowest)
	p.line("keys: %d revoked, %d requests served; the last one sent %.2f s after a revocation", r.Keys.Rounds, r.Keys.Served, r.Keys.Slowest)
	if p.err == nil {
		p.err = r.Load.Print(w)
	}
	r.printViolations(p)
	p.line("violated guarantees: %d (seed %d)", len(r.Violations), r.Seed)
	return errors.Wrap(p.err, "print report")
}

func (r *Report) printViolations(p *printer) {
	if len(r.Violations) == 0 {
		return
	}
	p.line("plan of seed %d:", r.Seed)
	for _, f := range r.Plan {
		p.line("  %s", f)
	}
	for _, v := range r.Violations {
		p.line("")
		p.line("VIOLATION %s at %s: %s", v.Guarantee, v.At.UTC().Format(timelineFormat), v.Text)
		for _, record := range v.TimeLine {
			p.record(record)
		}
	}
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

const timelineFormat = "15:04:05.000000"

func (p *printer) record(r event.Record) {
	s := r.Subject
	p.line("  %s %s/%d %s group=%s endpoint=%s account=%s peer=%s %s", time.Unix(0, r.Wall).UTC().Format(timelineFormat),
		r.Instance, r.Sequence, r.Kind, s.Group, s.Endpoint, s.Account, s.Peer, r.Note)
}
