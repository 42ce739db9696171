// Package assert checks invariants inside the running program. A violation is
// logged and counted; in tests it is fatal.
package assert

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Name identifies one invariant in logs, metrics and reports.
type Name string

var (
	broken  atomic.Uint64
	fatal   atomic.Bool
	mu      sync.Mutex
	reports []string
)

const maxReports = 64

// Fatal makes every later violation panic. Tests call it first.
func Fatal() { fatal.Store(true) }

// That reports a violation of the named invariant unless ok holds. The
// arguments are formatted only on a violation.
func That(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	report(name, fmt.Sprintf(format, args...))
}

// Violations returns how many violations the process has seen.
func Violations() uint64 { return broken.Load() }

// Reports returns the first violations, oldest first.
func Reports() []string {
	mu.Lock()
	defer mu.Unlock()
	return append([]string(nil), reports...)
}

func report(name Name, detail string) {
	broken.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_invariant_broken_total{name=%q}`, string(name))).Inc()
	text := fmt.Sprintf("%s: %s", name, detail)
	keep(text)
	klog.ErrorS(nil, "Invariant broken", "name", name, "detail", detail)
	if fatal.Load() {
		panic("invariant broken: " + text)
	}
}

func keep(text string) {
	mu.Lock()
	defer mu.Unlock()
	if len(reports) < maxReports {
		reports = append(reports, text)
	}
}
