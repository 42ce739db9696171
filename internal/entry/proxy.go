// Package entry composes one proxy process from its parts, starts them in
// order and stops them in the reverse order. It decides nothing itself.
package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/front"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	pollEvery    = time.Second
	tendEvery    = time.Second
	controlIdle  = 3 * time.Second
	eventRecords = 8192
)

// Proxy is one running process.
type Proxy struct {
	settings *conf.Settings
	events   *event.Log
	platform *store.Platform
	mesh     *peer.Mesh
	quota    *acct.Keeper
	sites    *Sites
	front    *front.Server
	group    *tasks.Group
	version  ident.Version
}

// NewProxy returns a process that is not started yet.
func NewProxy(settings *conf.Settings, events *event.Log, platform *store.Platform, router *peer.Router, mesh *peer.Mesh, quota *acct.Keeper, sites *Sites, server *front.Server) *Proxy {
	peer.Handle(router, sites.Receive)
	peer.Handle(router, func(from ident.Instance, m peer.TokenAsk, now time.Time) { quota.Receive(from, m, now) })
	peer.Handle(router, func(from ident.Instance, m peer.TokenGive, now time.Time) { quota.Receive(from, m, now) })
	return &Proxy{
		settings: settings,
		events:   events,
		platform: platform,
		mesh:     mesh,
		quota:    quota,
		sites:    sites,
		front:    server,
		group:    tasks.New(context.Background()),
	}
}

// Start begins to serve.
func (p *Proxy) Start() {
	p.mesh.Start()
	p.quota.Start(context.Background())
	p.group.Go(p.poll)
	p.group.Go(p.tend)
	p.front.Start()
	klog.InfoS("Serving callers", "instance", p.settings.Instance, "environment", p.settings.Environment, "address", p.settings.Listen.Callers)
}

// poll reads the head of the environment and applies what is new.
func (p *Proxy) poll(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.refresh(ctx); err != nil {
			klog.InfoS("Document not read", "err", err)
		}
		wait(ctx, pollEvery)
	}
	return nil
}

func (p *Proxy) refresh(ctx context.Context) error {
	head, err := p.platform.Documents.Head(ctx, p.settings.Environment)
	if err != nil || head.Version <= p.version {
		return err
	}
	text, err := p.platform.Documents.Text(ctx, p.settings.Environment, head.Version)
	if err != nil {
		return err
	}
	doc, err := envdoc.Parse(text)
	if err != nil {
		return errors.Wrapf(err, "version %d", head.Version)
	}
	p.apply(doc, head.Version)
	return nil
}

func (p *Proxy) apply(doc *envdoc.Document, version ident.Version) {
	p.sites.Apply(doc)
	p.quota.SetDocument(doc, version)
	p.version = version
	klog.InfoS("Document applied", "version", version)
}

// tend does the regular upkeep.
func (p *Proxy) tend(ctx context.Context) error {
	for ctx.Err() == nil {
		p.sites.CloseIdle(time.Now().Add(-controlIdle))
		wait(ctx, tendEvery)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Drain stops the process gracefully: callers first, then what they used.
func (p *Proxy) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Limits.DrainTimeout.Std())
	defer cancel()
	return errors.Wrap(p.front.Drain(ctx), "drain callers")
}

// Close ends everything and waits.
func (p *Proxy) Close() error {
	err := errors.Wrap(p.front.Close(), "close callers")
	err = errors.CombineErrors(err, p.group.Close())
	err = errors.CombineErrors(err, p.quota.Close())
	err = errors.CombineErrors(err, p.sites.Close())
	err = errors.CombineErrors(err, p.mesh.Close())
	return errors.CombineErrors(err, p.platform.Close())
}
