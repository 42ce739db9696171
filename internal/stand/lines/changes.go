package lines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// configLimit is the time within which a configuration has to be in force, on
	// an instance that nothing has disturbed as long.
	configLimit = 5 * time.Second
	// meanChangePause is the mean time between two changes of the configuration.
	meanChangePause = 2 * time.Second
	// configLook is the interval between two looks at an instance.
	configLook = 150 * time.Millisecond
	// lookTimeout limits one look.
	lookTimeout = 2 * time.Second
)

// extraRoutes are the numbers of additional routes from which a change draws.
var extraRoutes = []int{0, 0, 20, 1500, 6000}

// change is a planned change of the configuration.
type change struct {
	at     time.Duration
	routes int // in addition to the usual ones
}

// planChanges returns random changes. They don't depend on the plan of the faults,
// so that a seed keeps its faults.
func planChanges(seed uint64, length time.Duration) []change {
	random := rand.New(rand.NewPCG(seed, uint64(configLimit)))
	var out []change
	for at := quietStart; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanChangePause)) {
		out = append(out, change{at: at, routes: extraRoutes[random.IntN(len(extraRoutes))]})
	}
	return out
}

// configWatch changes the configuration and checks from what callers see that each
// version is in force in time and that no instance goes back to an earlier one.
// Each version has a route of its own and keeps that of the version before.
type configWatch struct {
	deployment *Deployment
	faults     []Fault
	began      time.Time
	mu         sync.Mutex
	version    int
	accepted   map[int]time.Time // by version
	boots      map[ident.Instance]bootView
	report     ConfigReport
}

// bootView is what callers have seen of one start of an instance.
type bootView struct {
	pid     int
	since   time.Time
	version int
}

// ConfigReport is what the check of the configuration found.
type ConfigReport struct {
	Versions int
	Looks    int
	// Late and Reverted describe the looks that a version was refused too long
	// after it had been accepted, and after it had been in force.
	Late, Reverted []string
}

// Violations returns how often a promise was broken.
func (r *ConfigReport) Violations() int { return len(r.Late) + len(r.Reverted) }

// String returns the report, with one line for each violation.
func (r *ConfigReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configurations %d, looks %d, late %d, reverted %d\n", r.Versions, r.Looks, len(r.Late), len(r.Reverted))
	for _, text := range slices.Concat(r.Late, r.Reverted) {
		fmt.Fprintln(&b, "violation: configuration:", text)
	}
	return b.String()
}

func newConfigWatch(d *Deployment) *configWatch {
	return &configWatch{deployment: d, faults: d.Faults(), began: time.Now(), accepted: make(map[int]time.Time), boots: make(map[ident.Instance]bootView)}
}

// run makes the planned changes.
func (w *configWatch) run(ctx context.Context, changes []change) error {
	for _, c := range changes {
		if !tasks.Pause(ctx, time.Until(w.began.Add(c.at))) {
			return nil
		}
		w.change(c.routes)
	}
	return nil
}

// change writes the next version.
func (w *configWatch) change(routes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.deployment.configure(w.version, w.routes(routes)...)
	w.accepted[w.version] = time.Now()
	w.report.Versions++
}

// routes returns the names of the routes of the version in addition to the usual
// ones. The caller holds the mutex.
func (w *configWatch) routes(extra int) []ident.Route {
	out := []ident.Route{versionRoute(w.version), versionRoute(w.version - 1)}
	for i := range extra {
		out = append(out, ident.Route(fmt.Sprintf("extra-%d-%x", i, rand.Uint64())))
	}
	return out
}

func versionRoute(version int) ident.Route { return ident.Route(fmt.Sprintf("version-%d", version)) }

// watch looks at an instance until ctx ends.
func (w *configWatch) watch(ctx context.Context, i int) error {
	for tasks.Pause(ctx, configLook) {
		w.look(ctx, i)
	}
	return nil
}

// look opens a session for the route of the newest version.
func (w *configWatch) look(ctx context.Context, i int) {
	name := instanceName(i)
	version := w.newest()
	pid, err := w.deployment.procs.PID(string(name))
	if err != nil || version == 0 {
		return // not started yet
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	client, reply, err := emul.Login(ctx, (&net.Dialer{}).DialContext, w.deployment.Front(i), string(versionRoute(version)), w.deployment.Keys()[0])
	if client != nil {
		_ = client.Close()
	}
	after, pidErr := w.deployment.procs.PID(string(name))
	if pidErr != nil || after != pid {
		return // restarted meanwhile
	}
	refused := reply.Code == "NODB"
	if err != nil && !refused || reply.Code != "" && !refused {
		return // shows no version
	}
	w.record(name, pid, version, sent, refused)
}

func (w *configWatch) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// record checks what a look has shown.
func (w *configWatch) record(name ident.Instance, pid, version int, sent time.Time, refused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Looks++
	view := w.boots[name]
	if view.pid != pid {
		view = bootView{pid: pid, since: sent}
	}
	defer func() { w.boots[name] = view }()
	if !refused {
		view.version = max(view.version, version)
		return
	}
	if w.version > version+1 {
		return // the route has been removed meanwhile
	}
	describe := func(since time.Time) string {
		return fmt.Sprintf("%s at %s refuses version %d, %s after", name, sent.Sub(w.began).Round(time.Millisecond), version, sent.Sub(since).Round(time.Millisecond))
	}
	calm := w.calmSince(name, sent)
	for _, at := range []time.Time{w.accepted[version], view.since} {
		if at.After(calm) {
			calm = at
		}
	}
	switch {
	case view.version >= version:
		w.report.Reverted = append(w.report.Reverted, describe(w.accepted[version]))
	case sent.Sub(calm) > configLimit:
		w.report.Late = append(w.report.Late, describe(calm))
	}
}

// calmSince returns when the latest disturbance of an instance or of the store ended,
// before a time.
func (w *configWatch) calmSince(name ident.Instance, now time.Time) time.Time {
	calm := w.began
	open := false
	for _, f := range w.faults {
		at := w.began.Add(f.At)
		if at.After(now) || !f.concernsStore() && f.Instance != name {
			continue
		}
		calm = at
		switch f.Kind {
		case "freeze", "storedown", "slow", "silent", "oneway":
			open = true
		case "thaw", "storeup", "clear":
			open = false
		}
	}
	if open {
		return now
	}
	return calm
}

// CheckConfig returns what the check of the configuration found.
func (d *Deployment) CheckConfig() *ConfigReport {
	if d.changes == nil {
		return &ConfigReport{}
	}
	d.changes.mu.Lock()
	defer d.changes.mu.Unlock()
	r := d.changes.report
	return &r
}
