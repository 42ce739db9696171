package lines

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// publishInterval is how often servers look whether their entry changed.
	publishInterval = 100 * time.Millisecond
	// headerTimeout limits a call's header.
	headerTimeout = 5 * time.Second
	// dataCentre is the only one of these deployments.
	dataCentre = "z1"
	// host is where the platform listens.
	host = "127.0.0.1"
)

// DeploymentConfig shapes a deployment.
type DeploymentConfig struct {
	Groups    int
	Group     emul.GroupConfig // the name is filled in
	Instances int
	Accounts  int
	Rate      float64 // of each account, operations a second
	// Dir receives the settings file of each instance.
	Dir string
	// BasePort is the first of the ports that each instance listens at, on a
	// loopback address of its own.
	BasePort int
	Faults   []Fault
}

// Deployment is the platform of a deployment: servers, store and promotion
// call.
type Deployment struct {
	config DeploymentConfig
	store  *emul.Store
	groups []*emul.Group
	http   *http.Server
	tasks  *tasks.Group
	known  map[ident.Endpoint]string // entries as published
	where  map[ident.Endpoint]string // addresses
	opened []net.Listener
	// Address is where the store and the promotion call are reached.
	Address string
}

// Open starts the platform, writes the settings files and the configuration.
func Open(ctx context.Context, c DeploymentConfig) (*Deployment, error) {
	w := &Deployment{config: c, tasks: tasks.New(ctx), known: map[ident.Endpoint]string{}, where: map[ident.Endpoint]string{}}
	if err := w.open(); err != nil {
		return nil, errors.CombineErrors(err, w.Close())
	}
	return w, nil
}

func (w *Deployment) open() error {
	for i := range w.config.Groups {
		if err := w.openGroup(ident.Group(fmt.Sprintf("g%d", i+1))); err != nil {
			return err
		}
	}
	w.store = emul.NewStore(w.groups...)
	l, err := w.listen()
	if err != nil {
		return err
	}
	w.Address = l.Addr().String()
	w.http = &http.Server{Handler: w.store, ReadHeaderTimeout: headerTimeout}
	w.tasks.Go(func(context.Context) error { return errors.Wrap(w.http.Serve(l), "serve store") })
	w.configure()
	w.publish()
	w.tasks.Go(w.keepPublished)
	for _, f := range w.config.Faults {
		w.tasks.Go(func(ctx context.Context) error { return w.inject(ctx, f) })
	}
	return w.writeSettings()
}

func (w *Deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	w.opened = append(w.opened, l)
	return l, nil
}

func (w *Deployment) openGroup(name ident.Group) error {
	c := w.config.Group
	c.Name = name
	g := emul.NewGroup(c)
	w.groups = append(w.groups, g)
	for _, s := range g.Servers() {
		l, err := w.listen()
		if err != nil {
			return err
		}
		w.where[s.ID()] = l.Addr().String()
		w.tasks.Go(func(context.Context) error {
			s.ServeLines(l)
			return nil
		})
	}
	return nil
}

// Close ends the platform and waits for it.
func (w *Deployment) Close() error {
	if w.http != nil {
		_ = w.http.Close()
	}
	for _, l := range w.opened {
		_ = l.Close()
	}
	for _, g := range w.groups {
		g.Close()
	}
	err := w.tasks.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "close platform")
}

// Lost returns how many acknowledged commits a later primary lacked.
func (w *Deployment) Lost() int {
	n := 0
	for _, g := range w.groups {
		n += len(g.Lost())
	}
	return n
}

// Keys returns a key of each account.
func (w *Deployment) Keys() []string {
	var out []string
	for i := range w.config.Accounts {
		out = append(out, fmt.Sprintf("key%d", i+1))
	}
	return out
}

// Routes returns the names of the routes whose reads see the session's own
// writes.
func (w *Deployment) Routes() []string {
	var out []string
	for i := range w.groups {
		out = append(out, fmt.Sprintf("own%d", i+1))
	}
	return out
}

func (w *Deployment) configure() {
	c := emul.Config{Version: 1, Groups: w.groups}
	for i, g := range w.groups {
		for kind, name := range map[string]string{emul.Current: "now", emul.Bounded: "soon", emul.OwnWrites: "own"} {
			c.Routes = append(c.Routes, emul.Route{Name: ident.Route(fmt.Sprintf("%s%d", name, i+1)), Kind: kind, Group: g.Name()})
		}
	}
	for i, key := range w.Keys() {
		c.Accounts = append(c.Accounts, emul.Account{Name: ident.Account(fmt.Sprintf("account%d", i+1)), Rate: w.config.Rate, Keys: []string{key}})
	}
	w.store.Put(emul.ConfigTable, emul.ConfigKey, c.Text())
}

// publish writes the servers' entries that have changed.
func (w *Deployment) publish() {
	for _, g := range w.groups {
		for _, s := range g.Servers() {
			text := s.Entry(w.where[s.ID()], dataCentre)
			if w.known[s.ID()] == string(text) {
				continue
			}
			w.known[s.ID()] = string(text)
			w.store.Put(emul.ServerTable, string(s.ID()), text)
		}
	}
}

func (w *Deployment) keepPublished(ctx context.Context) error {
	for tasks.Pause(ctx, publishInterval) {
		w.publish()
	}
	return nil
}

// Front returns where an instance serves callers, from 0.
func (w *Deployment) Front(i int) string { return w.address(i, 0) }

// ReadyURL returns where an instance says whether it is ready.
func (w *Deployment) ReadyURL(i int) string {
	return "http://" + w.address(i, 1) + emul.ReadyPath
}

func (w *Deployment) address(i, service int) string {
	return fmt.Sprintf("127.0.1.%d:%d", i+1, w.config.BasePort+service)
}

// settings returns an instance's settings file.
func (w *Deployment) settings(i int) emul.Settings {
	return emul.Settings{
		Instance: ident.Instance(fmt.Sprintf("n%d", i+1)), DataCentre: dataCentre,
		Front: w.address(i, 0), Ready: w.address(i, 1), Peer: w.address(i, 2), Store: w.Address,
		Grace: 6 * time.Second, Drain: 7 * time.Second,
	}
}

func (w *Deployment) writeSettings() error {
	for i := range w.config.Instances {
		path := filepath.Join(w.config.Dir, fmt.Sprintf("n%d.json", i+1))
		if err := os.WriteFile(path, w.settings(i).Text(), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}
