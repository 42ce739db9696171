package lines

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

// Report is the result of a load.
type Report struct {
	Answered int
	// NotRun counts refusals by code, Unknown statements whose outcome is
	// unknown.
	NotRun  map[string]int
	Unknown int
	// Stale counts reads that missed an acknowledged write of their session,
	// Lost acknowledged writes that were missing at the end, and RanAfterRefusal
	// visible writes that had been refused as not run.
	Stale, Lost, RanAfterRefusal int
	// Details describes the first violations that reads showed.
	Details []string
	// Unread counts callers whose last read was not answered although all faults
	// had ended.
	Unread int
	// Closed are the statements whose connection ended without an answer.
	Closed  []Closed
	Stalls  []Stall
	Latency *hdrhistogram.Histogram // of answered statements, in microseconds
}

// Violations returns how often a guarantee was violated.
func (r *Report) Violations() int { return r.Stale + r.Lost + r.RanAfterRefusal + r.Unread }

// String returns the report in a few lines.
func (r *Report) String() string {
	at := func(q float64) time.Duration {
		return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
	}
	return fmt.Sprintf("answered %d, not run %v, unknown %d\nlatency p50 %s, p99 %s, max %s\nviolations: stale %d, lost %d, ran after refusal %d, last read not answered %d\n",
		r.Answered, r.NotRun, r.Unknown, at(50), at(99), at(100), r.Stale, r.Lost, r.RanAfterRefusal, r.Unread)
}

// The range of recorded latencies, in microseconds.
const (
	minLatency = 1
	maxLatency = 60_000_000
)

// noSession is the code under which statements are counted for which no session
// could be opened.
const noSession = "NoSession"

func newLatency() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, 2) }

func (l *load) count(r emul.Reply, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil || r.Indeterminate():
		l.report.Unknown++
	case !r.OK():
		l.report.NotRun[r.Code]++
	default:
		l.report.Answered++
		_ = l.report.Latency.RecordValue(min(maxLatency, max(minLatency, took.Microseconds())))
	}
}

func (l *load) recordClosed(request, front string, err error) {
	var e *emul.ClosedError
	if !errors.As(err, &e) {
		return // nothing was sent
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Closed = append(l.report.Closed, Closed{
		Request: request, Front: front, Sent: e.Sent, Ended: e.Ended, Ending: e.Ending, Partial: e.Partial,
	})
}
