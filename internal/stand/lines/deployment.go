package lines

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/procs"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// publishInterval is how often changed server entries are published.
	publishInterval = 100 * time.Millisecond
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 5 * time.Second
	// dataCentre is the data centre of a deployment that has only one.
	dataCentre = "z1"
	// grace is the time that an instance has for a graceful stop.
	grace = 6 * time.Second
	// instanceServices is how many addresses an instance has: for callers, for the
	// readiness check and for other instances.
	instanceServices = 3
	// host is the address on which the platform listens.
	host = "127.0.0.1"
)

// DeploymentConfig configures a deployment.
type DeploymentConfig struct {
	Groups    int
	Group     emul.GroupConfig // the name is filled in
	Instances int
	Accounts  int
	Rate      float64 // quota of each account in operations a second
	// RouteTimeout is the timeout of all routes, emul.DefaultRouteTimeout if zero.
	RouteTimeout time.Duration
	// Dir receives the settings file of each instance.
	Dir string
	// BasePort is the first of the ports on which each instance listens. Each
	// instance has its own loopback address 127.0.NETWORK.I, with I from 1.
	BasePort int
	Network  int
	Faults   []Fault
	// Seed selects random faults over Length in addition, unless it is zero. They
	// include faults of the instances if Signals is set; the processes are then
	// found in Dir.
	Seed    uint64
	Signals bool
	Length  time.Duration
	// Changes is set if the configuration changes, in steps that Seed selects.
	Changes bool
	// Series is set if Seed selects series of faults around restarts, in place of
	// single faults of instances.
	Series bool
	// Journal has the statements of the callers. With one, what the servers run is
	// recorded and judged.
	Journal *audit.Journal
}

// Deployment is the emulated platform of a deployment: servers, row store and
// promotion call. The instances run separately.
type Deployment struct {
	config    DeploymentConfig
	store     *emul.Store
	groups    []*emul.Group
	http      *http.Server
	tasks     *tasks.Group
	links     map[ident.Endpoint]*link // to the servers; the one to the store has an empty name
	listeners []net.Listener
	procs     procs.Set
	mu        sync.Mutex
	stops     []*Stop
	kills     []Event
	changes   *configWatch // nil without changes
	record    *audit.Record
	entriesMu sync.Mutex
	entries   entries
	outages   int // in which entries have lapsed
}

// Open starts the platform, publishes the configuration and writes the settings
// files.
func Open(ctx context.Context, c DeploymentConfig) (*Deployment, error) {
	d := &Deployment{config: c, tasks: tasks.New(ctx), entries: entries{published: map[ident.Endpoint]string{}}, links: map[ident.Endpoint]*link{}}
	if err := d.open(); err != nil {
		return nil, errors.CombineErrors(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) open() error {
	if d.config.Journal != nil {
		d.record = audit.NewRecord()
	}
	for i := range d.config.Groups {
		if err := d.openGroup(ident.Group(fmt.Sprintf("g%d", i+1))); err != nil {
			return err
		}
	}
	d.store = emul.NewStore(d.groups...)
	l, err := d.listen()
	if err != nil {
		return err
	}
	if err := d.openLink("", l.Addr().String()); err != nil {
		return err
	}
	d.http = &http.Server{Handler: d.store, ReadHeaderTimeout: headerTimeout}
	d.tasks.Go(func(context.Context) error { return errors.Wrap(d.http.Serve(l), "serve store") })
	d.configure(0)
	d.publishEntries()
	d.tasks.Go(d.publishLoop)
	d.procs = procs.NewSet(d.config.Dir)
	for _, f := range d.Faults() {
		d.tasks.Go(func(ctx context.Context) error { return d.inject(ctx, f) })
	}
	if d.config.Changes {
		d.watchConfig()
	}
	if d.record != nil {
		d.tasks.Go(d.auditLoop)
	}
	return d.writeSettings()
}

// Faults returns the faults that are injected, configured and random.
func (d *Deployment) Faults() []Fault {
	c := &d.config
	if c.Seed == 0 {
		return c.Faults
	}
	instances := 0
	if c.Signals {
		instances = c.Instances
	}
	if c.Series {
		return append(slices.Clone(c.Faults), NewSeries(c.Seed, d.groups, instances, c.Length)...)
	}
	return append(slices.Clone(c.Faults), NewPlan(c.Seed, d.groups, instances, c.Length)...)
}

func (d *Deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	d.listeners = append(d.listeners, l)
	return l, nil
}

func (d *Deployment) openGroup(name ident.Group) error {
	c := d.config.Group
	c.Name, c.Record = name, d.record
	g := emul.NewGroup(c)
	d.groups = append(d.groups, g)
	for _, s := range g.Servers() {
		l, err := d.listen()
		if err != nil {
			return err
		}
		if err := d.openLink(s.ID(), l.Addr().String()); err != nil {
			return err
		}
		d.tasks.Go(func(context.Context) error {
			s.ServeListener(l)
			return nil
		})
	}
	return nil
}

// openLink opens the link through which the instances reach a server, or the
// store.
func (d *Deployment) openLink(id ident.Endpoint, target string) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	d.links[id] = newLink(d.tasks.Context(), l, target)
	return nil
}

// Close stops the platform and waits for its goroutines.
func (d *Deployment) Close() error {
	if d.http != nil {
		_ = d.http.Close()
	}
	var err error
	for _, l := range d.links {
		err = errors.CombineErrors(err, l.Close())
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	for _, g := range d.groups {
		g.Close()
	}
	if ended := d.tasks.Close(); !errors.Is(ended, http.ErrServerClosed) {
		err = errors.CombineErrors(err, ended)
	}
	return errors.Wrap(err, "close platform")
}

// Lost returns the number of acknowledged commits that were missing on a later
// primary.
func (d *Deployment) Lost() int {
	n := 0
	for _, g := range d.groups {
		n += len(g.Lost())
	}
	return n
}

// Keys returns one key for each account.
func (d *Deployment) Keys() []string {
	var out []string
	for i := range d.config.Accounts {
		out = append(out, fmt.Sprintf("key%d", i+1))
	}
	return out
}

func (d *Deployment) routeTimeout() time.Duration {
	return cmp.Or(d.config.RouteTimeout, emul.DefaultRouteTimeout)
}

// watchConfig starts the changes of the configuration and the check of them.
func (d *Deployment) watchConfig() {
	d.changes = newConfigWatch(d)
	d.tasks.Go(func(ctx context.Context) error {
		return d.changes.run(ctx, planChanges(d.config.Seed, d.config.Length))
	})
	for i := range d.config.Instances {
		d.tasks.Go(func(ctx context.Context) error { return d.changes.watch(ctx, i) })
	}
}

// configure puts a version of the configuration into the store. Versions begin with
// zero. The routes are in addition to the usual ones.
func (d *Deployment) configure(version int, routes ...ident.Route) {
	c := emul.Config{Version: version + 1, Groups: d.groups, RouteTimeout: d.routeTimeout()}
	for _, r := range d.AllRoutes() {
		c.Routes = append(c.Routes, emul.Route{Name: r.Name, Kind: routeKinds[r.Freshness-1].kind, Group: r.Group})
	}
	c.Routes = append(c.Routes, emul.Route{Name: movedRoute, Kind: emul.OwnWrites, Group: d.groups[version%len(d.groups)].Name()})
	for _, name := range routes {
		c.Routes = append(c.Routes, emul.Route{Name: name, Kind: emul.Bounded, Group: d.groups[0].Name()})
	}
	for i, key := range d.Keys() {
		c.Accounts = append(c.Accounts, emul.Account{Name: accountName(i), Rate: d.config.Rate, Keys: []string{key}})
	}
	d.store.Put(emul.ConfigTable, emul.ConfigKey, c.Text())
}

func (d *Deployment) publishLoop(ctx context.Context) error {
	for tasks.Pause(ctx, publishInterval) {
		d.publishEntries()
	}
	return nil
}

// Front returns the address on which the instance with index i, from 0, serves
// callers.
func (d *Deployment) Front(i int) string { return d.address(i, 0) }

// instanceName returns the name of the instance with index i, from 0.
func instanceName(i int) ident.Instance { return ident.Instance(fmt.Sprintf("n%d", i+1)) }

// frontOf returns the address on which an instance serves callers.
func (d *Deployment) frontOf(n ident.Instance) string {
	for i := range d.config.Instances {
		if instanceName(i) == n {
			return d.Front(i)
		}
	}
	return ""
}

// ReadyURL returns the URL of an instance's readiness check.
func (d *Deployment) ReadyURL(i int) string {
	return "http://" + d.address(i, 1) + emul.ReadyPath
}

func (d *Deployment) address(i, service int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", d.config.Network, i+1, d.config.BasePort+service)
}

// settings returns the settings of an instance.
func (d *Deployment) settings(i int) emul.Settings {
	return emul.Settings{
		Instance: instanceName(i), DataCentre: d.dataCentreOf(i), Evacuation: evacuationLimit,
		Front: d.address(i, 0), Ready: d.address(i, 1), Peer: d.address(i, 2), Store: d.links[""].Address(),
		Grace: grace, Drain: 7 * time.Second,
	}
}

// dataCentreOf returns where an instance is.
func (d *Deployment) dataCentreOf(i int) ident.DataCentre {
	if all := dataCentresOf(d.groups); len(all) > 0 {
		return all[i%len(all)]
	}
	return dataCentre
}

func (d *Deployment) writeSettings() error {
	for i := range d.config.Instances {
		if err := d.checkAddresses(i); err != nil {
			return err
		}
		path := filepath.Join(d.config.Dir, fmt.Sprintf("n%d.json", i+1))
		if err := os.WriteFile(path, d.settings(i).Text(), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}

// checkAddresses returns an error if an address of an instance is taken, for example by
// another run.
func (d *Deployment) checkAddresses(i int) error {
	for service := range instanceServices {
		l, err := net.Listen("tcp", d.address(i, service))
		if err != nil {
			return errors.Wrapf(err, "address of %s", instanceName(i))
		}
		if err := l.Close(); err != nil {
			return errors.Wrap(err, "release address")
		}
	}
	return nil
}
