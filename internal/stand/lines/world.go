package lines

import (
	"context"
	"encoding/json"
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
	// zone is the only one of these deployments.
	zone = "z1"
	// host is where the platform listens.
	host = "127.0.0.1"
)

// WorldConfig shapes a deployment.
type WorldConfig struct {
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

// World is the platform of a deployment: servers, store and promotion call.
type World struct {
	config WorldConfig
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
func Open(ctx context.Context, c WorldConfig) (*World, error) {
	w := &World{config: c, tasks: tasks.New(ctx), known: map[ident.Endpoint]string{}, where: map[ident.Endpoint]string{}}
	if err := w.open(); err != nil {
		return nil, errors.CombineErrors(err, w.Close())
	}
	return w, nil
}

func (w *World) open() error {
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
	if err := w.configure(); err != nil {
		return err
	}
	if err := w.publish(); err != nil {
		return err
	}
	w.tasks.Go(w.keepPublished)
	for _, f := range w.config.Faults {
		w.tasks.Go(func(ctx context.Context) error { return w.inject(ctx, f) })
	}
	return w.writeSettings()
}

func (w *World) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	w.opened = append(w.opened, l)
	return l, nil
}

func (w *World) openGroup(name ident.Group) error {
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
func (w *World) Close() error {
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
func (w *World) Lost() int {
	n := 0
	for _, g := range w.groups {
		n += len(g.Lost())
	}
	return n
}

// Keys returns a key of each account.
func (w *World) Keys() []string {
	var out []string
	for i := range w.config.Accounts {
		out = append(out, fmt.Sprintf("key%d", i+1))
	}
	return out
}

// Routes returns the names of the routes whose reads see the session's own
// writes.
func (w *World) Routes() []string {
	var out []string
	for i := range w.groups {
		out = append(out, fmt.Sprintf("own%d", i+1))
	}
	return out
}

func (w *World) configure() error {
	services, routes, tenants := []any{}, []any{}, []any{}
	for i := range w.groups {
		name := fmt.Sprintf("g%d", i+1)
		services = append(services, map[string]any{"name": name, "max_conns": w.config.Group.MaxConns, "sync_replicas": w.config.Group.Sync})
		for kind, prefix := range map[string]string{"primary": "now", "bounded_staleness": "soon", "read_your_writes": "own"} {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("%s%d", prefix, i+1), "host": fmt.Sprintf("%s%d", prefix, i+1), "route_type": kind, "service": name,
				"timeout_ms": 1000, "target_latency_ms": 200, "priority": 1, "max_attempts": 2, "max_staleness_ms": 1500,
			})
		}
	}
	for i, key := range w.Keys() {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("account%d", i+1), "api_keys": []string{key}, "rate_per_s": w.config.Rate, "burst": w.config.Rate,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": 1, "services": services, "routes": routes, "tenants": tenants, "limits": map[string]any{"tx_idle_ms": 3000},
	})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	w.store.Put("op", "config", text)
	return nil
}

// publish writes the servers' entries that have changed.
func (w *World) publish() error {
	for _, g := range w.groups {
		for _, s := range g.Servers() {
			text, err := w.entry(g, s)
			if err != nil {
				return err
			}
			if w.known[s.ID()] == text {
				continue
			}
			w.known[s.ID()] = text
			w.store.Put("servers", string(s.ID()), []byte(text))
		}
	}
	return nil
}

func (w *World) entry(g *emul.Group, s *emul.Server) (string, error) {
	state, role := "ready", "replica"
	if s.Draining() {
		state = "draining"
	}
	if s.Leads() {
		role = "primary"
	}
	text, err := json.Marshal(map[string]any{
		"service": g.Name(), "address": w.where[s.ID()], "zone": zone, "version": "v1", "slots": w.config.Group.Slots,
		"state": state, "cold_left_ms": 0, "db_role": role, "sequence": 1, "born": 1000,
	})
	return string(text), errors.Wrap(err, "encode server entry")
}

func (w *World) keepPublished(ctx context.Context) error {
	for tasks.Pause(ctx, publishInterval) {
		if err := w.publish(); err != nil {
			return err
		}
	}
	return nil
}

// Front returns where an instance serves callers, from 0.
func (w *World) Front(i int) string { return w.address(i, 0) }

// ReadyURL returns where an instance says whether it is ready.
func (w *World) ReadyURL(i int) string {
	return "http://" + w.address(i, 1) + "/marjoramrudder/readiness"
}

func (w *World) address(i, service int) string {
	return fmt.Sprintf("127.0.1.%d:%d", i+1, w.config.BasePort+service)
}

// Settings returns the text of an instance's settings file.
func (w *World) Settings(i int) ([]byte, error) {
	text, err := json.MarshalIndent(map[string]any{
		"node_name": fmt.Sprintf("n%d", i+1), "zone": zone,
		"listen_addrs": map[string]string{"front": w.address(i, 0), "ready": w.address(i, 1), "control": w.address(i, 2)},
		"limits":       map[string]any{"cpu_share": 1, "cores": 1},
		"bounds":       map[string]any{"grace_s": 6, "drain_ms": 7000, "fencing_enforced": true, "quota_overage": 0.1, "quota_slack": 20},
		"platform":     map[string]string{"address": w.Address}, "cloud_api": map[string]string{"address": w.Address},
	}, "", "  ")
	return text, errors.Wrap(err, "encode settings")
}

func (w *World) writeSettings() error {
	for i := range w.config.Instances {
		text, err := w.Settings(i)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(w.config.Dir, fmt.Sprintf("n%d.json", i+1)), text, 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}
