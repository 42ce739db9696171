// Package entry composes one proxy process from its parts, starts them in
// order and stops them in the reverse order. It decides nothing itself.
package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/internal/front"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	tendEvery    = 100 * time.Millisecond
	listEvery    = time.Second
	controlIdle  = 3 * time.Second
	eventRecords = 8192
)

// Proxy is one running process.
type Proxy struct {
	settings *conf.Settings
	events   *event.Log
	platform *store.Platform
	mesh     *peer.Mesh
	fleet    *fleet.Fleet
	quota    *acct.Runner
	sites    *Sites
	front    *front.Server
	admin    *admin.Server
	group    *tasks.Group
	stop     chan string
	draining atomic.Bool
	change   atomic.Pointer[ident.Change]
}

// Parts are what a Proxy is composed of.
type Parts struct {
	Settings *conf.Settings
	Events   *event.Log
	Platform *store.Platform
	Router   *peer.Router
	Mesh     *peer.Mesh
	Fleet    *fleet.Fleet
	Quota    *acct.Runner
	Sites    *Sites
	Front    *front.Server
}

// NewProxy returns a process that is not started yet.
func NewProxy(parts Parts) *Proxy {
	p := &Proxy{
		settings: parts.Settings,
		events:   parts.Events,
		platform: parts.Platform,
		mesh:     parts.Mesh,
		fleet:    parts.Fleet,
		quota:    parts.Quota,
		sites:    parts.Sites,
		front:    parts.Front,
		group:    tasks.New(context.Background()),
		stop:     make(chan string, 1),
	}
	p.fleet.Register(parts.Router)
	p.fleet.SetApply(p.apply)
	peer.Handle(parts.Router, p.sites.Receive)
	handleQuota[peer.TokenRequest](parts)
	handleQuota[peer.TokenLoan](parts)
	handleQuota[peer.LeaseRequest](parts)
	handleQuota[peer.LeasePromise](parts)
	return p
}

// handleQuota sends the messages of one type to the quota's keeper.
func handleQuota[M peer.Message](parts Parts) {
	peer.Handle(parts.Router, func(from ident.Instance, m M, now time.Time) { parts.Quota.Receive(from, m, now) })
}

// Start begins to serve. It fails when the administration address is taken.
func (p *Proxy) Start() error {
	var err error
	config := admin.Config{Address: p.settings.Listen.Admin, Secret: p.settings.Peers.Secret}
	p.admin, err = admin.Start(context.Background(), config, p, p, p.events)
	if err != nil {
		return errors.Wrap(err, "start administration")
	}
	p.mesh.Start()
	p.fleet.Start()
	p.quota.Start(context.Background())
	p.group.Go(p.tend)
	p.group.Go(p.list)
	p.front.Start()
	klog.InfoS("Serving callers", "instance", p.settings.Instance, "environment", p.settings.Environment, "address", p.settings.Listen.Callers)
	return nil
}

// apply puts a document in force.
func (p *Proxy) apply(a fleet.Apply) {
	p.sites.Apply(a.Document)
	p.quota.SetDocument(a.Document, a.Version)
	p.change.Store(&a.Change)
	klog.InfoS("Document applied", "version", a.Version, "change", a.Change)
}

// tend tells the parts which instances are live, and closes idle control
// connections.
func (p *Proxy) tend(ctx context.Context) error {
	var told []ident.Instance
	for ctx.Err() == nil {
		if live := p.fleet.Live(); !slices.Equal(live, told) {
			told = live
			p.sites.SetLive(live)
			p.quota.SetPeers(live)
		}
		p.sites.CloseIdle(time.Now().Add(-controlIdle))
		tasks.Pause(ctx, tendEvery)
	}
	return nil
}

// list reads the platform's list, for the endpoints that leave.
func (p *Proxy) list(ctx context.Context) error {
	for ctx.Err() == nil {
		listed, err := p.platform.Directory.List(ctx)
		if err != nil {
			klog.V(2).InfoS("List not read", "err", err)
		} else {
			p.sites.SetLeaving(leavingOf(listed))
		}
		tasks.Pause(ctx, listEvery)
	}
	return nil
}

func leavingOf(listed []store.Listed) map[ident.Endpoint]bool {
	leaving := make(map[ident.Endpoint]bool)
	for _, l := range listed {
		if l.Leaving {
			leaving[ident.Endpoint(l.Name)] = true
		}
	}
	return leaving
}

// Drain implements admin.Control: it asks for a graceful stop.
func (p *Proxy) Drain(reason string) {
	select {
	case p.stop <- reason:
	default:
	}
}

// Prepare implements admin.Control.
func (p *Proxy) Prepare(ctx context.Context, version ident.Version) error {
	return p.fleet.Prepare(ctx, version)
}

// ShutdownRequested returns the channel that gives the reason of a stop that an
// operator asked for.
func (p *Proxy) ShutdownRequested() <-chan string { return p.stop }

// Stop ends the process gracefully: callers first, then what they used.
func (p *Proxy) Stop(ctx context.Context) error {
	p.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Limits.DrainTimeout.Std())
	defer cancel()
	err := errors.Wrap(p.front.Drain(ctx), "drain callers")
	return errors.CombineErrors(err, p.Close())
}

// Close ends everything and waits.
func (p *Proxy) Close() error {
	err := errors.Wrap(p.front.Close(), "close callers")
	err = errors.CombineErrors(err, p.group.Close())
	err = errors.CombineErrors(err, p.quota.Close())
	err = errors.CombineErrors(err, p.sites.Close())
	err = errors.CombineErrors(err, p.fleet.Close())
	err = errors.CombineErrors(err, p.mesh.Close())
	if p.admin != nil {
		err = errors.CombineErrors(err, p.admin.Close())
	}
	return errors.CombineErrors(err, p.platform.Close())
}
