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
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// wholeTime is how long a group must have been whole before a kill. It is
	// longer than an endpoint that rejoined may be without a vote.
	wholeTime = 3 * time.Second
	// wholeWait is how long a kill waits for that.
	wholeWait = 15 * time.Second
	wholePoll = 200 * time.Millisecond
	liftTries = 20
	liftPause = 250 * time.Millisecond
)

// injector carries out the planned faults.
type injector struct {
	set    *set
	book   *book
	spread *watcher
	race   func(ctx context.Context, operators int)

	mu    sync.Mutex
	on    []active
	kills map[ident.Group]*sync.Mutex
}

func newInjector(s *set, b *book, w *watcher, race func(ctx context.Context, operators int)) *injector {
	i := &injector{set: s, book: b, spread: w, race: race, kills: map[ident.Group]*sync.Mutex{}}
	for _, g := range s.layout.Groups {
		i.kills[g.Name] = &sync.Mutex{}
	}
	return i
}

// run waits for the fault's time, carries it out and lifts it.
func (i *injector) run(ctx context.Context, start time.Time, f Fault) {
	if !tasks.PauseUntil(ctx, start.Add(f.At)) {
		return
	}
	h := &Happened{Fault: f}
	var err error
	switch {
	case f.onProxy():
		err = i.onProxy(ctx, h)
	case f.onStore():
		err = i.onStore(ctx, h)
	case f.Kind == RaceOperators:
		i.book.begin(h, time.Now())
		i.race(ctx, f.Count)
		i.book.end(h, time.Now())
	case f.Kind == FloodAccount:
		h.Target = string(i.set.layout.Accounts[f.Account].Name)
		i.book.begin(h, time.Now())
		tasks.PauseUntil(ctx, time.Now().Add(f.Length))
		i.book.end(h, time.Now())
	default:
		err = i.onEndpoint(ctx, h)
	}
	if err != nil {
		i.book.skip(h, time.Now(), err.Error())
	}
}

func (i *injector) onProxy(ctx context.Context, h *Happened) error {
	p := i.set.layout.Proxies[h.Proxy]
	h.Target = string(p.Name)
	pid, err := i.set.pid(h.Target)
	if err != nil {
		return err
	}
	h.pid = pid
	switch h.Kind {
	case PauseProxy:
		i.book.paused(p.Name, time.Now().Add(h.Length+time.Second))
		defer func() { i.book.paused(p.Name, time.Now()) }()
		return i.pause(ctx, h, pid)
	case KillProxy:
		return i.kill(h, pid)
	}
	i.book.expectEnd(pid)
	i.book.begin(h, time.Now())
	err = i.set.admin.Drain(ctx, p.Admin, "soak")
	if err != nil {
		h.Skipped = err.Error()
		i.book.end(h, time.Now())
		return nil
	}
	for now := range ticks(ctx, wholePoll) {
		if next, err := i.set.pid(h.Target); err == nil && next != pid {
			i.book.end(h, now)
			return nil
		}
	}
	return nil
}

func (i *injector) kill(h *Happened, pid int) error {
	i.book.expectEnd(pid)
	i.book.begin(h, time.Now())
	defer func() { i.book.end(h, time.Now()) }()
	if err := i.set.signal(pid, syscall.SIGKILL); err != nil {
		h.Skipped = err.Error()
	}
	return nil
}

func (i *injector) pause(ctx context.Context, h *Happened, pid int) error {
	i.book.begin(h, time.Now())
	defer func() { i.book.end(h, time.Now()) }()
	if err := i.set.signal(pid, syscall.SIGSTOP); err != nil {
		h.Skipped = err.Error()
		return nil
	}
	tasks.PauseUntil(ctx, time.Now().Add(h.Length))
	_ = i.set.signal(pid, syscall.SIGCONT) // the process may have been killed meanwhile
	return nil
}

func (i *injector) onStore(ctx context.Context, h *Happened) error {
	h.Target = i.set.layout.Platform.Name
	i.book.begin(h, time.Now())
	i.spread.storeFault(1)
	i.turnOn(ctx, active{Fault: h.Fault})
	tasks.PauseUntil(ctx, time.Now().Add(h.Length))
	i.turnOff(ctx, active{Fault: h.Fault})
	i.spread.storeFault(-1)
	i.book.end(h, time.Now())
	return nil
}

func (i *injector) onEndpoint(ctx context.Context, h *Happened) error {
	g := i.set.layout.Groups[h.Group]
	if h.Kind == KillEndpoint {
		return i.killEndpoint(ctx, h, g)
	}
	e, err := i.pick(ctx, h, g)
	if err != nil {
		return err
	}
	switch h.Kind {
	case PauseEndpoint:
		pid, err := i.set.pid(h.Target)
		if err != nil {
			return err
		}
		return i.pause(ctx, h, pid)
	case CutAnswers, LoseAnswers:
		count := int64(h.Count)
		i.book.begin(h, time.Now())
		f := endpt.Faults{CutAnswers: &count}
		if h.Kind == LoseAnswers {
			f = endpt.Faults{LoseAnswers: &count}
		}
		if err := i.set.setEndpoint(ctx, e, f); err != nil {
			h.Skipped = err.Error()
		}
		i.book.end(h, time.Now())
		return nil
	case LeavingEndpoint:
		return i.leave(ctx, h, e)
	}
	i.book.begin(h, time.Now())
	a := active{h.Fault, e.Name}
	i.turnOn(ctx, a)
	tasks.PauseUntil(ctx, time.Now().Add(h.Length))
	i.turnOff(ctx, a)
	i.book.end(h, time.Now())
	return nil
}

// pick returns the endpoint that a fault hits.
func (i *injector) pick(ctx context.Context, h *Happened, g layout.Group) (layout.Endpoint, error) {
	server := h.Server
	if server == ThePrimary {
		var ok bool
		if server, ok = i.set.leader(ctx, g); !ok {
			return layout.Endpoint{}, errors.Newf("group %s has no primary", g.Name)
		}
	}
	h.Target = string(g.Endpoints[server].Name)
	return g.Endpoints[server], nil
}

// killEndpoint kills one endpoint of a group that has been whole for a while,
// since an endpoint keeps nothing on disk.
func (i *injector) killEndpoint(ctx context.Context, h *Happened, g layout.Group) error {
	lock := i.kills[g.Name]
	lock.Lock()
	defer lock.Unlock()
	if !i.awaitWhole(ctx, g) {
		h.Target = string(g.Name)
		return errors.Newf("group %s was not whole", g.Name)
	}
	if _, err := i.pick(ctx, h, g); err != nil {
		return err
	}
	pid, err := i.set.pid(h.Target)
	if err != nil {
		return err
	}
	err = i.kill(h, pid)
	for range ticks(ctx, wholePoll) {
		if next, err := i.set.pid(h.Target); err == nil && next != pid {
			break
		}
	}
	return err
}

// awaitWhole waits until a group has been whole for a while.
func (i *injector) awaitWhole(ctx context.Context, g layout.Group) bool {
	ctx, cancel := context.WithTimeout(ctx, wholeWait)
	defer cancel()
	since := time.Now()
	for now := range ticks(ctx, wholePoll) {
		if !i.set.whole(ctx, g) {
			since = time.Now()
		}
		if now.Sub(since) >= wholeTime {
			return true
		}
	}
	return false
}

// turnOn and turnOff change the faults that are on and tell the stand-ins.
func (i *injector) turnOn(ctx context.Context, a active) {
	i.mu.Lock()
	i.on = append(i.on, a)
	i.mu.Unlock()
	i.tell(ctx, a)
}

func (i *injector) turnOff(ctx context.Context, a active) {
	i.mu.Lock()
	if n := slices.Index(i.on, a); n >= 0 {
		i.on = slices.Delete(i.on, n, n+1)
	}
	i.mu.Unlock()
	i.tell(ctx, a)
}

func (i *injector) tell(ctx context.Context, a active) {
	i.repeat(ctx, func(ctx context.Context) error {
		i.mu.Lock()
		defer i.mu.Unlock()
		if a.onStore() {
			return i.set.setPlatform(ctx, platformFaults(i.on))
		}
		for _, g := range i.set.layout.Groups {
			for _, e := range g.Endpoints {
				if e.Name == a.endpoint {
					return i.set.setEndpoint(ctx, e, endpointFaults(i.on, e.Name, i.set.layout.Profile.Latency))
				}
			}
		}
		return nil
	})
}

// repeat tries until the stand-in has taken a change, also when the run ends,
// so that no fault stays. The stand-in may be paused or starting.
func (i *injector) repeat(ctx context.Context, f func(ctx context.Context) error) {
	ctx = context.WithoutCancel(ctx)
	for range liftTries {
		if f(ctx) == nil {
			return
		}
		tasks.PauseUntil(ctx, time.Now().Add(liftPause))
	}
}
