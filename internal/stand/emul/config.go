package emul

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Names of the store's tables and rows and of the readiness check.
const (
	// ConfigTable and ConfigKey name the row of the configuration.
	ConfigTable = "op"
	ConfigKey   = "config"
	// ServerTable is the table with one row for each server.
	ServerTable = "servers"
	// ReadyPath is the URL path of an instance's readiness check.
	ReadyPath = "/marjoramrudder/readiness"
)

// The kinds of routes.
const (
	Current   = "primary"
	Bounded   = "bounded_staleness"
	OwnWrites = "read_your_writes"
)

// Route is a route to a group. Its limits are fixed.
type Route struct {
	Name  ident.Route
	Kind  string
	Group ident.Group
}

// Account is a client account. Rate is in operations a second; the burst is one
// second's worth.
type Account struct {
	Name ident.Account
	Rate float64
	Keys []string
}

// Config is an operator's configuration.
type Config struct {
	Version  int
	Groups   []*Group
	Routes   []Route
	Accounts []Account
	// RouteTimeout is the timeout of all routes, DefaultRouteTimeout if zero.
	RouteTimeout time.Duration
}

// DefaultRouteTimeout is the timeout of a route in a configuration that sets
// none.
const DefaultRouteTimeout = time.Second

// configTime is the time within which a configuration has to be in force.
const configTime = 5 * time.Second

// MaxStaleness is the limit of routes that are not Current.
const MaxStaleness = 1500 * time.Millisecond

// idleTx is the idle timeout of a transaction in milliseconds.
const idleTx = 3000

// Text returns the configuration in JSON, as the operator writes it.
func (c Config) Text() []byte {
	services, routes, accounts := []any{}, []any{}, []any{}
	timeout := cmp.Or(c.RouteTimeout, DefaultRouteTimeout)
	for _, g := range c.Groups {
		service := map[string]any{"name": g.config.Name, "max_conns": g.config.MaxConns, "sync_replicas": g.config.Sync}
		if g.config.ColdRate > 0 {
			service["cold_per_s"], service["cold_start_s"] = g.config.ColdRate, g.config.ColdTime.Seconds()
		}
		services = append(services, service)
	}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Name, "route_type": r.Kind, "service": r.Group,
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 200, "priority": 1, "max_attempts": 2, "max_staleness_ms": MaxStaleness.Milliseconds(),
		})
	}
	for _, a := range c.Accounts {
		accounts = append(accounts, map[string]any{"name": a.Name, "api_keys": a.Keys, "rate_per_s": a.Rate, "burst": a.Rate})
	}
	return encode(map[string]any{
		"version": c.Version, "services": services, "routes": routes, "tenants": accounts, "limits": map[string]any{"tx_idle_ms": idleTx},
	})
}

// Entry returns the server's entry for the store, in JSON. A server that is placed
// in a data centre by its group's configuration ignores dc.
func (s *Server) Entry(address string, dc ident.DataCentre) []byte {
	state, role := "ready", "replica"
	if s.Draining() {
		state = "draining"
	}
	if s.IsPrimary() {
		role = "primary"
	}
	return encode(map[string]any{
		"service": s.group.config.Name, "address": address, "zone": cmp.Or(s.dataCentre, dc), "version": "v1", "slots": s.group.config.Slots,
		"state": state, "cold_left_ms": s.coldLeft().Milliseconds(), "db_role": role, "sequence": 1, "born": firstStart + s.startedAgain(),
	})
}

// firstStart is when all servers have started at first, in Unix milliseconds.
const firstStart = 1000

// startedAgain returns how often the server has started again with an empty log.
func (s *Server) startedAgain() int64 {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.starts
}

// Settings is the content of an instance's settings file.
type Settings struct {
	Instance           ident.Instance
	DataCentre         ident.DataCentre
	Front, Ready, Peer string
	Store              string // also the address of the promotion call
	Grace, Drain       time.Duration
	// Evacuation is the time limit of an evacuation, zero for none.
	Evacuation time.Duration
}

// Text returns the settings in JSON.
func (s Settings) Text() []byte {
	bounds := map[string]any{
		"config_apply_ms": configTime.Milliseconds(), "grace_s": s.Grace.Seconds(), "drain_ms": s.Drain.Milliseconds(), "fencing_enforced": true,
		"quota_overage": 0.1, "quota_slack": 20,
	}
	if s.Evacuation > 0 {
		bounds["evac_ms"], bounds["cold_overage"], bounds["cold_slack"] = s.Evacuation.Milliseconds(), coldOverage, coldSlack
	}
	return encode(map[string]any{
		"node_name": s.Instance, "zone": s.DataCentre,
		"listen_addrs": map[string]string{"front": s.Front, "ready": s.Ready, "control": s.Peer},
		"limits":       map[string]any{"cpu_share": 1, "cores": 1},
		"bounds":       bounds,
		"platform":     map[string]string{"address": s.Store}, "cloud_api": map[string]string{"address": s.Store},
	})
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values are strings and numbers only
	}
	return text
}
