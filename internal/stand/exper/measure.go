package exper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Options gives the length and the load of each run.
type Options struct {
	Seed   uint64
	Length time.Duration // of the load
	Share  float64       // fraction of its rate that each account offers
}

// Result holds the measures of one deployment in one scenario.
type Result struct {
	Deployment   string
	Scenario     string
	Version      Version
	ReplicaShare float64 // fraction of the reads
	Gap          float64 // seconds without an acknowledged write, in the faulted group
	Worst        string  // the worst-served account, except for the flooding one
	WorstInTime  float64 // fraction of its requests within the quota answered in time
	WorstP50     float64 // milliseconds
	WorstP99     float64
	WithinQuota  int `json:"Inside"` // requests within their account's quota
	Wrongful     int // of those, refused for exceeding the quota
	OrderP50     float64
	OrderP99     float64
	Violations   int `json:"Broken"` // violated guarantees
	Invariants   uint64
	Report       *load.Report
}

// Run starts a deployment, loads it, injects the scenario's faults and returns
// the results.
func Run(ctx context.Context, profile layout.Profile, s Scenario, v Version, o Options) (*Result, error) {
	before := assert.Violations()
	d, err := Start(ctx, profile, v)
	if err != nil {
		return nil, err
	}
	m, err := d.measure(ctx, s, o)
	err = errors.CombineErrors(err, d.Close())
	if err != nil {
		return nil, errors.Wrapf(err, "%s under %s", profile.Name, s.Name)
	}
	m.Invariants = assert.Violations() - before
	return m, nil
}

func (d *Deployment) measure(ctx context.Context, s Scenario, o Options) (*Result, error) {
	c := d.Load(o.Seed, o.Length, o.Share)
	var flooding ident.Account
	if s.Flood {
		flooding = flood(&c)
	}
	if err := load.Fill(ctx, c); err != nil {
		return nil, err
	}
	replicaBefore, primaryBefore := d.reads()
	group := tasks.New(ctx)
	group.Go(func(ctx context.Context) error { return d.inject(ctx, s, o.Length) })
	r, err := load.Run(ctx, c)
	if err = errors.CombineErrors(err, group.Close()); err != nil {
		return nil, err
	}
	replica, primary := d.reads()
	m := summarise(r, d.faultedGroup(), flooding)
	m.Deployment, m.Scenario, m.Version = d.Layout.Profile.Name, s.Name, d.version
	m.ReplicaShare = share(replica-replicaBefore, replica-replicaBefore+primary-primaryBefore)
	return m, nil
}

// inject starts the faults after the first third of the run and ends them after
// the second.
func (d *Deployment) inject(ctx context.Context, s Scenario, length time.Duration) error {
	if !tasks.Pause(ctx, length/3) {
		return nil
	}
	var undos []func()
	for _, f := range s.Faults {
		undos = append(undos, f(d))
	}
	klog.InfoS("Faults injected", "scenario", s.Name, "count", len(undos))
	tasks.Pause(ctx, length/3)
	for _, undo := range undos {
		undo()
	}
	return nil
}

func summarise(r *load.Report, faulted ident.Group, flooding ident.Account) *Result {
	m := &Result{Report: r, Violations: r.Violations.Sum()}
	rest := &load.Report{}
	for _, a := range r.Accounts {
		m.WithinQuota += a.WithinQuota
		m.Wrongful += a.Wrongful
		if a.Name != string(flooding) {
			rest.Accounts = append(rest.Accounts, a)
		}
	}
	worst := rest.Worst()
	m.Worst, m.WorstInTime, m.WorstP50, m.WorstP99 = worst.Name, worst.InTimeShare(), worst.P50, worst.P99
	for _, k := range r.Kinds {
		if k.Name == string(load.Order) {
			m.OrderP50, m.OrderP99 = k.P50, k.P99
		}
	}
	for _, g := range r.Gaps {
		if g.Group == faulted {
			m.Gap = g.Longest
		}
	}
	return m
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
