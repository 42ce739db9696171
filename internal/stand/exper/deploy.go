// Package exper measures the system under load and faults. It runs a whole
// deployment in one process: the platform stand-in, the endpoints of each group
// and the proxies. It drives them with package load, injects scripted faults
// and reports what operators watch: the share of reads served by replicas, the
// failover gap, the service of the worst-served client account, and the
// requests refused although they were within the account's rate.
package exper

import (
	"context"
	"runtime/pprof"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/entry"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/naive"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Deployment is a deployment that runs in this process.
type Deployment struct {
	Layout    *layout.Layout
	Platform  *plat.Server
	Endpoints map[ident.Group][]*endpt.Server
	Proxies   []*entry.Proxy
	version   Version
}

// Version selects the policies under test.
type Version string

// The versions.
const (
	// Current is the system with its own policies.
	Current Version = "current"
	// Unconfirmed acknowledges a write as soon as the primary holds it.
	Unconfirmed Version = "unconfirmed"
	// Naive serves first come, first served, divides quotas statically, reads
	// at the primary and acknowledges a write as soon as the primary holds it.
	Naive Version = "naive"
)

// InstanceLabels labels the goroutines of the proxies in a CPU profile of the
// process, to separate them from those of the stand-ins.
var InstanceLabels = pprof.Labels("role", "instance")

// Versions lists all versions.
var Versions = []Version{Current, Unconfirmed, Naive}

// Start starts a deployment and stores its environment document.
func Start(ctx context.Context, profile layout.Profile, v Version) (*Deployment, error) {
	l, err := layout.New(profile, "")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Layout: l, Endpoints: map[ident.Group][]*endpt.Server{}, version: v}
	if err := d.start(ctx); err != nil {
		return nil, errors.CombineErrors(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	p := d.Layout.Platform
	if d.Platform, err = plat.Start(ctx, plat.WithConfig(plat.Config{Listen: p.Listen, Control: p.Control, Seed: 1})); err != nil {
		return errors.Wrap(err, "start platform")
	}
	for _, g := range d.Layout.Groups {
		if err := d.startGroup(ctx, g); err != nil {
			return errors.Wrapf(err, "start group %s", g.Name)
		}
	}
	if err := d.storeDocument(ctx); err != nil {
		return err
	}
	pprof.Do(ctx, InstanceLabels, func(context.Context) { err = d.startProxies() })
	return err
}

func (d *Deployment) startProxies() error {
	for _, p := range d.Layout.Proxies {
		proxy, err := entry.Build(d.Layout.Settings(p), d.policies())
		if err != nil {
			return errors.Wrapf(err, "build %s", p.Name)
		}
		d.Proxies = append(d.Proxies, proxy)
		proxy.Start()
	}
	return nil
}

func (d *Deployment) policies() entry.Policies {
	if d.version != Naive {
		return entry.Policies{}
	}
	return naive.Policies(d.Layout.Document().Accounts, len(d.Layout.Proxies))
}

func (d *Deployment) startGroup(ctx context.Context, g layout.Group) error {
	peers := map[ident.Endpoint]string{}
	for _, e := range g.Endpoints {
		peers[e.Name] = e.Listen
	}
	f := &d.Layout.Profile
	for _, e := range g.Endpoints {
		s, err := endpt.Start(ctx, endpt.Config{
			Name: e.Name, Listen: e.Listen, Peers: peers, Primary: g.Endpoints[0].Name,
			Slots: f.Slots, Connections: f.Connections, ConnectTime: f.ConnectTime, Latency: f.Latency,
			ServiceTime: f.ServiceTime, ReplicationLag: f.Latency,
			User: layout.BackUser, Password: layout.BackPassword,
		})
		if err != nil {
			return err
		}
		d.Endpoints[g.Name] = append(d.Endpoints[g.Name], s)
	}
	for _, s := range d.Endpoints[g.Name] {
		if err := s.Ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// storeDocument stores the environment document as its first version.
func (d *Deployment) storeDocument(ctx context.Context) error {
	doc := d.Layout.Document()
	for i := range doc.Routes {
		if d.version != Current {
			doc.Routes[i].Durability = envdoc.Primary
		}
	}
	text, err := envdoc.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "marshal document")
	}
	s, err := store.Open(d.Platform.Platform())
	if err != nil {
		return errors.Wrap(err, "open store")
	}
	defer func() { _ = s.Close() }()
	head := store.Head{Change: "first", Author: "experiment", At: time.Now()}
	_, err = s.Documents.Accept(ctx, layout.Environment, 0, head, text)
	return errors.Wrap(err, "accept document")
}

// Close stops all processes and waits for them.
func (d *Deployment) Close() error {
	var all error
	for _, p := range d.Proxies {
		all = errors.CombineErrors(all, p.Close())
	}
	for _, g := range d.Endpoints {
		for _, s := range g {
			all = errors.CombineErrors(all, s.Close())
		}
	}
	if d.Platform != nil {
		all = errors.CombineErrors(all, d.Platform.Close())
	}
	return all
}

// Load returns the load of the deployment's accounts, each of which offers the
// given share of its rate.
func (d *Deployment) Load(seed uint64, length time.Duration, share float64) load.Config {
	c := load.Config{Duration: length, Seed: seed, Roam: roamShare}
	for _, p := range d.Layout.Proxies {
		c.Proxies = append(c.Proxies, p.Callers)
	}
	for _, g := range d.Layout.Groups {
		c.Targets = append(c.Targets, load.Target{Group: g.Name, Orders: ident.Route(g.Name), Lookups: layout.LookupRoute(g.Name)})
	}
	for _, a := range d.Layout.Accounts {
		c.Accounts = append(c.Accounts, load.Account{
			Name: a.Name, Key: a.Key, Rate: a.Rate, Burst: a.Burst, Offered: share * float64(a.Rate),
		})
	}
	return c
}

const roamShare = 0.05

// primary returns the primary of the highest term in a group.
func (d *Deployment) primary(g ident.Group) *endpt.Server {
	var best *endpt.Server
	for _, s := range d.Endpoints[g] {
		if st := s.Status(); st.Role == primaryRole && (best == nil || st.Term > best.Status().Term) {
			best = s
		}
	}
	return best
}

// reads counts the reads that replicas and primaries have served.
func (d *Deployment) reads() (replica, primary int64) {
	for _, g := range d.Endpoints {
		for _, s := range g {
			c := s.Counters()
			replica += c.Reads[replicaRole]
			primary += c.Reads[primaryRole]
		}
	}
	return replica, primary
}
