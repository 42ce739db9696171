package slope

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/exper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Options gives the length of each part of a measurement.
type Options struct {
	Settle  time.Duration // from the start until the idle window begins
	Window  time.Duration
	Changes int // number of configuration changes
}

// Point holds the costs of one shape. Rates are per instance and second, during
// the idle window.
type Point struct {
	Shape
	Core          float64 // fraction of a core
	ProcessCore   float64 // of the whole process, including stand-ins and garbage collector, divided by the instances
	Memory        float64 // bytes, including the connections of the stand-ins
	Messages      float64
	Bytes         float64
	HeadBytes     float64
	QuotaBytes    float64
	Probes        float64
	StoreReads    float64
	StoreWrites   float64
	StartWrites   float64 // of one instance until the window begins
	StopWrites    float64 // of one instance while all stop
	ChangeSeconds float64 // the slowest change, until it is in force on every instance
	MoveSeconds   float64 // until every instance knows the new primaries of all moved groups
}

// Measure starts a deployment of the shape, measures it and stops it.
func Measure(ctx context.Context, s Shape, o Options) (*Point, error) {
	profile, err := s.profile()
	if err != nil {
		return nil, err
	}
	p := &Point{Shape: s}
	before := memory()
	d, err := exper.Start(ctx, profile, exper.Current)
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", s)
	}
	err = p.measure(ctx, d, o, before)
	err = errors.CombineErrors(err, p.stop(d))
	return p, errors.Wrapf(err, "measure %s", s)
}

func (p *Point) measure(ctx context.Context, d *exper.Deployment, o Options, before float64) error {
	if _, err := waitUntil(ctx, func() bool { return allInForce(d, 1) && allKnowPrimaries(d, nil) }); err != nil {
		return errors.Wrap(err, "wait for the first document")
	}
	if err := pause(ctx, o.Settle); err != nil {
		return err
	}
	p.StartWrites = p.perInstance(float64(d.Platform.Counters().Writes))
	p.Memory = p.perInstance(memory() - before)
	if err := p.idle(ctx, d, o.Window); err != nil {
		return err
	}
	for i := range o.Changes {
		took, err := change(ctx, d, ident.Version(i+2))
		if err != nil {
			return errors.Wrap(err, "change the configuration")
		}
		p.ChangeSeconds = max(p.ChangeSeconds, took.Seconds())
	}
	took, err := failOver(ctx, d, p.Moved)
	p.MoveSeconds = took.Seconds()
	return errors.Wrap(err, "move primaries")
}

// idle measures the rates during the idle window.
func (p *Point) idle(ctx context.Context, d *exper.Deployment, window time.Duration) error {
	var m cpuMeter
	if err := m.start(); err != nil {
		return err
	}
	began, first := time.Now(), readCounts(d)
	waited := pause(ctx, window)
	last, seconds := readCounts(d), time.Since(began).Seconds()
	instances, process, err := m.stop()
	if err = errors.CombineErrors(waited, err); err != nil {
		return err
	}
	rate := func(total float64) float64 { return p.perInstance(total) / seconds }
	p.Core, p.ProcessCore = rate(instances), rate(process)
	p.Messages = rate(last.messages - first.messages)
	p.Bytes = rate(last.bytes - first.bytes)
	p.HeadBytes = rate(last.heads - first.heads)
	p.QuotaBytes = rate(last.quota - first.quota)
	p.Probes = rate(last.probes - first.probes)
	p.StoreReads = rate(float64(last.store.Reads - first.store.Reads))
	p.StoreWrites = rate(float64(last.store.Writes - first.store.Writes))
	return nil
}

func (p *Point) perInstance(total float64) float64 { return total / float64(p.Instances) }

// stop stops all instances at the same time, and then the stand-ins.
func (p *Point) stop(d *exper.Deployment) error {
	before := d.Platform.Counters()
	var g errgroup.Group
	for _, x := range d.Proxies {
		g.Go(x.Close)
	}
	err := g.Wait()
	d.Proxies = nil
	p.StopWrites = p.perInstance(writesSince(d, before))
	return errors.CombineErrors(err, d.Close())
}

func writesSince(d *exper.Deployment, before plat.Counters) float64 {
	return float64(d.Platform.Counters().Writes - before.Writes)
}
