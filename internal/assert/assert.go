// Package assert checks invariants at run time. A violation is logged and
// counted. In tests it panics.
package assert

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Violation is the panic value of a violation in tests.
type Violation string

// Name identifies one invariant in logs, metrics and reports.
type Name string

var (
	violations atomic.Uint64
	fatal      atomic.Bool
	mu         sync.Mutex
	reports    []string
)

const maxReports = 64

// Fatal makes every later violation panic. Tests call it first.
func Fatal() { fatal.Store(true) }

// That reports a violation of the named invariant if ok is false. The arguments
// are formatted only on a violation.
func That(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	report(name, fmt.Sprintf(format, args...))
}

// Violations returns the number of violations in this process so far.
func Violations() uint64 { return violations.Load() }

// Reports returns the first violations, at most maxReports of them, oldest
// first.
func Reports() []string {
	mu.Lock()
	defer mu.Unlock()
	return append([]string(nil), reports...)
}

func report(name Name, detail string) {
	violations.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_invariant_broken_total{name=%q}`, string(name))).Inc()
	text := fmt.Sprintf("%s: %s", name, detail)
	addReport(text)
	klog.ErrorS(nil, "Invariant violated", "name", name, "detail", detail)
	if fatal.Load() {
		panic(Violation("invariant violated: " + text))
	}
}

func addReport(text string) {
	mu.Lock()
	defer mu.Unlock()
	if len(reports) < maxReports {
		reports = append(reports, text)
	}
}
