package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/procs"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// caughtUpTime is how long all endpoints of a group must have been caught
	// up before one is killed. It is longer than the time for which an endpoint
	// that rejoined has no vote.
	caughtUpTime = 3 * time.Second
	// caughtUpTimeout is how long a kill waits for the group to catch up.
	caughtUpTimeout = 15 * time.Second
	statusPause     = 200 * time.Millisecond
	controlTries    = 20
	controlPause    = 250 * time.Millisecond
)

// injector injects the planned faults.
type injector struct {
	deployment *deployment
	recorder   *recorder
	watcher    *watcher
	race       func(ctx context.Context, operators int)

	mu     sync.Mutex
	active []activeFault
	kills  map[ident.Group]*sync.Mutex
}

func newInjector(d *deployment, rc *recorder, w *watcher, race func(ctx context.Context, operators int)) *injector {
	i := &injector{deployment: d, recorder: rc, watcher: w, race: race, kills: map[ident.Group]*sync.Mutex{}}
	for _, g := range d.layout.Groups {
		i.kills[g.Name] = &sync.Mutex{}
	}
	return i
}

// run waits for the fault's start time, injects the fault and ends it.
func (i *injector) run(ctx context.Context, start time.Time, f Fault) {
	if !tasks.PauseUntil(ctx, start.Add(f.At)) {
		return
	}
	injected := &InjectedFault{Fault: f}
	var err error
	switch {
	case f.onProxy():
		err = i.onProxy(ctx, injected)
	case f.onStore():
		err = i.onStore(ctx, injected)
	case f.Kind == RaceOperators:
		i.recorder.begin(injected, time.Now())
		i.race(ctx, f.Count)
		i.recorder.end(injected, time.Now())
	case f.Kind == FloodAccount:
		injected.Target = string(i.deployment.layout.Accounts[f.Account].Name)
		i.recorder.begin(injected, time.Now())
		tasks.PauseUntil(ctx, time.Now().Add(f.Length))
		i.recorder.end(injected, time.Now())
	default:
		err = i.onEndpoint(ctx, injected)
	}
	if err != nil {
		i.recorder.skip(injected, time.Now(), err.Error())
	}
}

func (i *injector) onProxy(ctx context.Context, injected *InjectedFault) error {
	p := i.deployment.layout.Proxies[injected.Proxy]
	injected.Target = string(p.Name)
	pid, err := i.deployment.procs.PID(injected.Target)
	if err != nil {
		return err
	}
	injected.pid = pid
	switch injected.Kind {
	case PauseProxy:
		i.recorder.paused(p.Name, time.Now().Add(injected.Length+time.Second))
		defer func() { i.recorder.paused(p.Name, time.Now()) }()
		return i.pause(ctx, injected, pid)
	case KillProxy:
		return i.kill(injected, pid)
	}
	i.recorder.expectEnd(pid)
	i.recorder.begin(injected, time.Now())
	err = i.deployment.admin.Drain(ctx, p.Admin, "soak")
	if err != nil {
		injected.Skipped = err.Error()
		i.recorder.end(injected, time.Now())
		return nil
	}
	for now := range ticks(ctx, statusPause) {
		if next, err := i.deployment.procs.PID(injected.Target); err == nil && next != pid {
			i.recorder.end(injected, now)
			return nil
		}
	}
	return nil
}

func (i *injector) kill(injected *InjectedFault, pid int) error {
	i.recorder.expectEnd(pid)
	i.recorder.begin(injected, time.Now())
	defer func() { i.recorder.end(injected, time.Now()) }()
	if err := procs.SignalPID(pid, syscall.SIGKILL); err != nil {
		injected.Skipped = err.Error()
	}
	return nil
}

func (i *injector) pause(ctx context.Context, injected *InjectedFault, pid int) error {
	i.recorder.begin(injected, time.Now())
	defer func() { i.recorder.end(injected, time.Now()) }()
	if err := procs.SignalPID(pid, syscall.SIGSTOP); err != nil {
		injected.Skipped = err.Error()
		return nil
	}
	tasks.PauseUntil(ctx, time.Now().Add(injected.Length))
	_ = procs.SignalPID(pid, syscall.SIGCONT) // ignore the error: the process may have been killed meanwhile
	return nil
}

func (i *injector) onStore(ctx context.Context, injected *InjectedFault) error {
	injected.Target = i.deployment.layout.Platform.Name
	i.recorder.begin(injected, time.Now())
	i.watcher.countStoreFault(1)
	i.turnOn(ctx, activeFault{Fault: injected.Fault})
	tasks.PauseUntil(ctx, time.Now().Add(injected.Length))
	i.turnOff(ctx, activeFault{Fault: injected.Fault})
	i.watcher.countStoreFault(-1)
	i.recorder.end(injected, time.Now())
	return nil
}

func (i *injector) onEndpoint(ctx context.Context, injected *InjectedFault) error {
	g := i.deployment.layout.Groups[injected.Group]
	if injected.Kind == KillEndpoint {
		return i.killEndpoint(ctx, injected, g)
	}
	e, err := i.pick(ctx, injected, g)
	if err != nil {
		return err
	}
	switch injected.Kind {
	case PauseEndpoint:
		pid, err := i.deployment.procs.PID(injected.Target)
		if err != nil {
			return err
		}
		return i.pause(ctx, injected, pid)
	case CutAnswers, LoseAnswers:
		count := int64(injected.Count)
		i.recorder.begin(injected, time.Now())
		f := endpt.Faults{CutAnswers: &count}
		if injected.Kind == LoseAnswers {
			f = endpt.Faults{LoseAnswers: &count}
		}
		if err := i.deployment.setEndpoint(ctx, e, f); err != nil {
			injected.Skipped = err.Error()
		}
		i.recorder.end(injected, time.Now())
		return nil
	case LeavingEndpoint:
		return i.leave(ctx, injected, e)
	}
	i.recorder.begin(injected, time.Now())
	a := activeFault{injected.Fault, e.Name}
	i.turnOn(ctx, a)
	tasks.PauseUntil(ctx, time.Now().Add(injected.Length))
	i.turnOff(ctx, a)
	i.recorder.end(injected, time.Now())
	return nil
}

// pick returns the endpoint that a fault affects.
func (i *injector) pick(ctx context.Context, injected *InjectedFault, g layout.Group) (layout.Endpoint, error) {
	server := injected.Server
	if server == CurrentPrimary {
		var ok bool
		if server, ok = i.deployment.primary(ctx, g); !ok {
			return layout.Endpoint{}, errors.Newf("group %s has no primary", g.Name)
		}
	}
	injected.Target = string(g.Endpoints[server].Name)
	return g.Endpoints[server], nil
}

// killEndpoint kills one endpoint once all endpoints of its group have been
// caught up for a while. Endpoints keep no data on disk, so a kill while
// another endpoint is behind could lose confirmed records.
func (i *injector) killEndpoint(ctx context.Context, injected *InjectedFault, g layout.Group) error {
	lock := i.kills[g.Name]
	lock.Lock()
	defer lock.Unlock()
	if !i.awaitCaughtUp(ctx, g) {
		injected.Target = string(g.Name)
		return errors.Newf("group %s did not catch up in time", g.Name)
	}
	if _, err := i.pick(ctx, injected, g); err != nil {
		return err
	}
	pid, err := i.deployment.procs.PID(injected.Target)
	if err != nil {
		return err
	}
	err = i.kill(injected, pid)
	for range ticks(ctx, statusPause) {
		if next, err := i.deployment.procs.PID(injected.Target); err == nil && next != pid {
			break
		}
	}
	return err
}

// awaitCaughtUp waits until all endpoints of a group have been caught up for
// caughtUpTime.
func (i *injector) awaitCaughtUp(ctx context.Context, g layout.Group) bool {
	ctx, cancel := context.WithTimeout(ctx, caughtUpTimeout)
	defer cancel()
	since := time.Now()
	for now := range ticks(ctx, statusPause) {
		if !i.deployment.caughtUp(ctx, g) {
			since = time.Now()
		}
		if now.Sub(since) >= caughtUpTime {
			return true
		}
	}
	return false
}

// turnOn puts a fault into effect.
func (i *injector) turnOn(ctx context.Context, a activeFault) {
	i.mu.Lock()
	i.active = append(i.active, a)
	i.mu.Unlock()
	i.applyFaults(ctx, a)
}

// turnOff ends a fault.
func (i *injector) turnOff(ctx context.Context, a activeFault) {
	i.mu.Lock()
	if n := slices.Index(i.active, a); n >= 0 {
		i.active = slices.Delete(i.active, n, n+1)
	}
	i.mu.Unlock()
	i.applyFaults(ctx, a)
}

// applyFaults sends the faults in effect to the stand-in that a concerns.
func (i *injector) applyFaults(ctx context.Context, a activeFault) {
	i.repeat(ctx, func(ctx context.Context) error {
		i.mu.Lock()
		defer i.mu.Unlock()
		if a.onStore() {
			return i.deployment.setPlatform(ctx, platformFaults(i.active))
		}
		for _, g := range i.deployment.layout.Groups {
			for _, e := range g.Endpoints {
				if e.Name == a.endpoint {
					return i.deployment.setEndpoint(ctx, e, endpointFaults(i.active, e.Name, i.deployment.layout.Profile.Latency))
				}
			}
		}
		return nil
	})
}

// repeat calls f until the stand-in has accepted the change, which may take a
// while if it is paused or starting. It ignores the end of ctx, so that no
// fault outlasts the run.
func (i *injector) repeat(ctx context.Context, f func(ctx context.Context) error) {
	ctx = context.WithoutCancel(ctx)
	for range controlTries {
		if f(ctx) == nil {
			return
		}
		tasks.PauseUntil(ctx, time.Now().Add(controlPause))
	}
}
