// Package entry composes a proxy process from its components, starts them in
// order and stops them in reverse order. It contains no logic of its own.
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
	maintainInterval   = 100 * time.Millisecond
	listInterval       = time.Second
	controlIdleTimeout = 3 * time.Second
	maxEventRecords    = 8192
)

// Proxy is a proxy process.
type Proxy struct {
	settings       *conf.Settings
	events         *event.Log
	platform       *store.Platform
	mesh           *peer.Mesh
	fleet          *fleet.Fleet
	accounts       *acct.Runner
	groups         *Groups
	front          *front.Server
	adminListener  adminListener
	admin          *admin.Server
	tasks          *tasks.Group
	shutdownReason chan string
	draining       atomic.Bool
	changeInForce  atomic.Pointer[ident.Change]
}

// Components holds what NewProxy composes a Proxy from.
type Components struct {
	Settings      *conf.Settings
	Events        *event.Log
	Platform      *store.Platform
	Router        *peer.Router
	Mesh          *peer.Mesh
	Fleet         *fleet.Fleet
	Accounts      *acct.Runner
	Groups        *Groups
	Front         *front.Server
	AdminListener adminListener
}

// NewProxy returns a proxy that has not been started.
func NewProxy(components Components) *Proxy {
	p := &Proxy{
		settings:       components.Settings,
		events:         components.Events,
		platform:       components.Platform,
		mesh:           components.Mesh,
		fleet:          components.Fleet,
		accounts:       components.Accounts,
		groups:         components.Groups,
		front:          components.Front,
		adminListener:  components.AdminListener,
		tasks:          tasks.New(context.Background()),
		shutdownReason: make(chan string, 1),
	}
	p.fleet.Register(components.Router)
	p.fleet.SetApply(p.apply)
	peer.Handle(components.Router, p.groups.Receive)
	handleQuota[peer.TokenRequest](components)
	handleQuota[peer.TokenLoan](components)
	handleQuota[peer.LeaseRequest](components)
	handleQuota[peer.LeasePromise](components)
	return p
}

// handleQuota routes the messages of one type to the accounts' runner.
func handleQuota[M peer.Message](components Components) {
	peer.Handle(components.Router, func(from ident.Process, m M, now time.Time) { components.Accounts.Receive(from.Instance, m, now) })
}

// Start starts serving.
func (p *Proxy) Start() {
	config := admin.Config{Listener: p.adminListener, Secret: p.settings.Peers.Secret}
	p.admin = admin.Start(context.Background(), config, p, p, p.events)
	p.mesh.Start()
	p.fleet.Start()
	p.accounts.Start(context.Background())
	p.tasks.Go(p.maintain)
	p.tasks.Go(p.pollList)
	p.front.Start()
	klog.InfoS("Serving callers", "instance", p.settings.Instance, "environment", p.settings.Environment, "address", p.front.Address())
}

// Addresses returns the addresses that the process listens on. They are those
// of the settings, with the ports that the system selected in place of port 0.
func (p *Proxy) Addresses() conf.Listen {
	return conf.Listen{Callers: p.front.Address(), Peers: p.mesh.Address(), Admin: p.adminListener.Addr().String()}
}

// apply applies a document to the groups and the client accounts.
func (p *Proxy) apply(a fleet.Apply) {
	p.groups.Apply(a.Document)
	p.accounts.SetDocument(a.Document, a.Version)
	p.changeInForce.Store(&a.Change)
	klog.InfoS("Document applied", "version", a.Version, "change", a.Change)
}

// maintain passes on the list of live instances when it changes and closes idle
// control connections.
func (p *Proxy) maintain(ctx context.Context) error {
	var known []ident.Instance
	for ctx.Err() == nil {
		if live := p.fleet.Live(); !slices.Equal(live, known) {
			known = live
			p.groups.SetLive(live)
			p.accounts.SetPeers(live)
		}
		p.groups.CloseIdle(time.Now().Add(-controlIdleTimeout))
		tasks.Pause(ctx, maintainInterval)
	}
	return nil
}

// pollList reads the platform's list of machines for endpoints that are
// leaving.
func (p *Proxy) pollList(ctx context.Context) error {
	for ctx.Err() == nil {
		listed, err := p.platform.Directory.List(ctx)
		if err != nil {
			klog.V(2).InfoS("Failed to read the list of machines", "err", err)
		} else {
			p.groups.SetLeaving(leavingOf(listed))
		}
		tasks.Pause(ctx, listInterval)
	}
	return nil
}

func leavingOf(listed []store.DirectoryEntry) map[ident.Endpoint]bool {
	leaving := make(map[ident.Endpoint]bool)
	for _, l := range listed {
		if l.Leaving {
			leaving[ident.Endpoint(l.Name)] = true
		}
	}
	return leaving
}

// Drain implements admin.Control. It requests a graceful stop.
func (p *Proxy) Drain(reason string) {
	select {
	case p.shutdownReason <- reason:
	default:
	}
}

// Prepare implements admin.Control.
func (p *Proxy) Prepare(ctx context.Context, version ident.Version) error {
	return p.fleet.Prepare(ctx, version)
}

// ShutdownRequested returns a channel that receives the reason when an operator
// requests a stop.
func (p *Proxy) ShutdownRequested() <-chan string { return p.shutdownReason }

// Stop stops the proxy gracefully: first the callers, then the components that
// serve them. It returns an error if callers are still connected when the drain
// timeout or ctx ends.
func (p *Proxy) Stop(ctx context.Context) error {
	p.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Limits.DrainTimeout.Std())
	defer cancel()
	err := errors.Wrap(p.front.Drain(ctx), "drain callers")
	return errors.CombineErrors(err, p.Close())
}

// Close stops all components immediately and waits for them.
func (p *Proxy) Close() error {
	err := errors.Wrap(p.front.Close(), "close callers")
	err = errors.CombineErrors(err, p.tasks.Close())
	err = errors.CombineErrors(err, p.accounts.Close())
	err = errors.CombineErrors(err, p.groups.Close())
	err = errors.CombineErrors(err, p.fleet.Close())
	err = errors.CombineErrors(err, p.mesh.Close())
	if p.admin != nil {
		err = errors.CombineErrors(err, p.admin.Close())
	} else {
		err = errors.CombineErrors(err, errors.Wrap(p.adminListener.Close(), "close administration"))
	}
	return errors.CombineErrors(err, p.platform.Close())
}
