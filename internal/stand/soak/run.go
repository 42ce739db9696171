package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Options gives the seed, the duration and the load of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Share is the fraction of its rate that each account offers.
	Share float64
}

const (
	requestTimeout = 5 * time.Second
	roamShare      = 0.1
	// saturation is the multiple of its rate that the saturating account
	// offers.
	saturation = 1.6
	// finalTimeout bounds the checks after the load.
	finalTimeout = 30 * time.Second
	minDuration  = 30 * time.Second
)

// fixedAccounts is the number of accounts whose quota stays the same for the
// whole run and is checked. The last of them offers more than its rate all the
// time.
const fixedAccounts = 4

// Run injects random faults into a running deployment and returns the results.
func Run(ctx context.Context, l *layout.Layout, o Options) (*Report, error) {
	if o.Duration < minDuration || len(l.Accounts) <= fixedAccounts {
		return nil, errors.Newf("run needs at least %s and more than %d accounts", minDuration, fixedAccounts)
	}
	r := &run{options: o, deployment: newDeployment(l), recorder: newRecorder()}
	defer r.deployment.Close()
	r.watcher = newWatcher(r.deployment, r.recorder)
	var err error
	if r.operators, err = newOperatorPool(r.deployment, r.recorder, r.watcher, l.Accounts[fixedAccounts:]); err != nil {
		return nil, err
	}
	defer r.operators.Close()
	r.keys = &keyCheck{deployment: r.deployment, recorder: r.recorder, operators: r.operators}
	r.plan = NewPlan(o.Seed, shapeOf(l), o.Duration)
	return r.run(ctx)
}

func shapeOf(l *layout.Layout) Shape {
	return Shape{Groups: len(l.Groups), Servers: len(l.Groups[0].Endpoints), Proxies: len(l.Proxies), Accounts: fixedAccounts - 1}
}

type run struct {
	options    Options
	deployment *deployment
	recorder   *recorder
	watcher    *watcher
	operators  *operatorPool
	keys       *keyCheck
	plan       []Fault
	start      time.Time
}

func (r *run) run(ctx context.Context) (*Report, error) {
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	watchers, faults := tasks.New(ctx), tasks.New(ctx)
	defer func() { _ = errors.CombineErrors(faults.Close(), watchers.Close()) }()
	r.startWatchers(watchers)
	r.start = time.Now()
	r.startFaults(faults)
	report, err := load.Run(ctx, r.loadConfig())
	if err != nil {
		return nil, errors.Wrap(err, "run load")
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "run interrupted without a result")
	}
	if err := faults.Close(); err != nil {
		return nil, errors.Wrap(err, "inject faults")
	}
	final, cancel := context.WithTimeout(ctx, finalTimeout)
	defer cancel()
	if err := r.operators.check(final); err != nil {
		r.recorder.violate(time.Now(), OneWinner, "read history: "+err.Error())
	}
	tasks.PauseUntil(final, time.Now().Add(rolloutBound+time.Second)) // leave time for the rollout of the last version
	if err := watchers.Close(); err != nil {
		return nil, errors.Wrap(err, "watch processes")
	}
	r.checkCallers(report)
	return r.report(report), nil
}

func (r *run) prepare(ctx context.Context) error {
	if err := r.deployment.fillList(ctx); err != nil {
		return err
	}
	if err := load.Fill(ctx, r.loadConfig()); err != nil {
		return errors.Wrap(err, "fill")
	}
	return r.operators.addSpare(ctx)
}

func (r *run) startWatchers(g *tasks.Group) {
	l := r.deployment.layout
	for _, p := range l.Proxies {
		g.Go(func(ctx context.Context) error { return r.watcher.watchProxy(ctx, p) })
	}
	names := []string{l.Platform.Name}
	for _, p := range l.Proxies {
		names = append(names, string(p.Name))
	}
	for _, group := range l.Groups {
		for _, e := range group.Endpoints {
			names = append(names, string(e.Name))
		}
	}
	for _, name := range names {
		g.Go(func(ctx context.Context) error { return r.watcher.watchProcess(ctx, name) })
	}
}

func (r *run) startFaults(g *tasks.Group) {
	i := newInjector(r.deployment, r.recorder, r.watcher, r.operators.race)
	for _, f := range r.plan {
		g.Go(func(ctx context.Context) error {
			i.run(ctx, r.start, f)
			return nil
		})
	}
	g.Go(r.operators.editPeriodically)
	g.Go(r.keys.run)
}

func (r *run) loadConfig() load.Config {
	l := r.deployment.layout
	c := load.Config{
		Duration: r.options.Duration, Seed: r.options.Seed, Timeout: requestTimeout, Roam: roamShare, Observe: r.recorder.observe,
	}
	for _, p := range l.Proxies {
		c.Proxies = append(c.Proxies, p.Callers)
	}
	for _, g := range l.Groups {
		c.Targets = append(c.Targets, load.Target{Group: g.Name, Orders: ident.Route(g.Name), Lookups: layout.LookupRoute(g.Name)})
	}
	for i, a := range l.Accounts {
		offered := r.options.Share * float64(a.Rate)
		if i == fixedAccounts-1 {
			offered = saturation * float64(a.Rate)
		}
		account := load.Account{Name: a.Name, Key: a.Key, Rate: a.Rate, Burst: a.Burst, Offered: offered}
		for _, f := range r.plan {
			if f.Kind == FloodAccount && f.Account == i {
				account.Surge = load.Surge{From: f.At, Until: f.At + f.Length, Factor: float64(f.Count) / r.options.Share}
			}
		}
		c.Accounts = append(c.Accounts, account)
	}
	return c
}

// checkCallers records the violations that callers observed.
func (r *run) checkCallers(report *load.Report) {
	for _, example := range report.Violations.Examples {
		r.recorder.violate(r.timeOf(example), CallerGuarantee, example)
	}
	if n := report.Violations.Sum() - len(report.Violations.Examples); n > 0 {
		r.recorder.violate(time.Now(), CallerGuarantee, fmt.Sprintf("%d more", n))
	}
	for _, a := range r.deployment.layout.Accounts[:fixedAccounts] {
		if w := worstWindow(admitted(r.recorder.attempts, a.Name), a.Rate, a.Burst); w.Exceeded() {
			r.recorder.violate(w.Until, QuotaBound, fmt.Sprintf("%s: %d admitted in %.3f s, %.1f allowed",
				a.Name, w.Admitted, w.Until.Sub(w.From).Seconds(), w.Allowed))
		}
	}
	for _, f := range r.recorder.faults {
		if f.Kind != DrainProxy || f.Skipped != "" {
			continue
		}
		for _, text := range cutByDrain(r.recorder.attempts, f, r.recorder.faults, requestTimeout) {
			r.recorder.violate(f.Until, GracefulStop, text)
		}
	}
}

// timeOf returns when the last attempt of the request that text names ended.
func (r *run) timeOf(text string) time.Time {
	words := map[string]bool{}
	for _, w := range strings.Fields(text) {
		words[w] = true
	}
	at := time.Now()
	for _, a := range r.recorder.attempts {
		if words[a.ID] || a.WrongAnswer == text {
			at = a.Ended
		}
	}
	return at
}
