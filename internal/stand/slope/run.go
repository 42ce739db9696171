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

// Options say how long each part of a measurement is.
type Options struct {
	Settle  time.Duration // from the start until the idle window begins
	Window  time.Duration
	Changes int // of the configuration
}

// Point is what one shape costs. Rates are for one instance and second, in
// the idle window.
type Point struct {
	Shape
	Core          float64 // share of a core
	ProcessCore   float64 // of the whole process, stand-ins and collector included, divided by the instances
	Memory        float64 // bytes, stand-in connections included
	Messages      float64
	Bytes         float64
	HeadBytes     float64
	QuotaBytes    float64
	Probes        float64
	StoreReads    float64
	StoreWrites   float64
	StartWrites   float64 // of one instance until the window begins
	StopWrites    float64 // of one instance while all end
	ChangeSeconds float64 // the slowest change until in force on every instance
	MoveSeconds   float64 // until every instance knows the primaries of all moved groups
}

// Measure starts a deployment of the shape, measures it and ends it.
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
	err = errors.CombineErrors(err, p.end(d))
	return p, errors.Wrapf(err, "measure %s", s)
}

func (p *Point) measure(ctx context.Context, d *exper.Deployment, o Options, before float64) error {
	if _, err := until(ctx, func() bool { return allHave(d, 1) && allMoved(d, nil) }); err != nil {
		return errors.Wrap(err, "wait for the first document")
	}
	if err := wait(ctx, o.Settle); err != nil {
		return err
	}
	p.StartWrites = p.each(float64(d.Platform.Counters().Writes))
	p.Memory = p.each(memory() - before)
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

// idle fills the rates from one window.
func (p *Point) idle(ctx context.Context, d *exper.Deployment, window time.Duration) error {
	var m meter
	if err := m.start(); err != nil {
		return err
	}
	began, first := time.Now(), countNow(d)
	waited := wait(ctx, window)
	last, seconds := countNow(d), time.Since(began).Seconds()
	instances, process, err := m.stop()
	if err = errors.CombineErrors(waited, err); err != nil {
		return err
	}
	rate := func(total float64) float64 { return p.each(total) / seconds }
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

func (p *Point) each(total float64) float64 { return total / float64(p.Instances) }

// end stops all instances at once, and then the stand-ins.
func (p *Point) end(d *exper.Deployment) error {
	before := d.Platform.Counters()
	var g errgroup.Group
	for _, x := range d.Proxies {
		g.Go(x.Close)
	}
	err := g.Wait()
	d.Proxies = nil
	p.StopWrites = p.each(writesSince(d, before))
	return errors.CombineErrors(err, d.Close())
}

func writesSince(d *exper.Deployment, before plat.Counters) float64 {
	return float64(d.Platform.Counters().Writes - before.Writes)
}
