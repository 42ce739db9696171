package layout

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The environment and the credentials of every deployment.
const (
	Environment  = ident.Environment("production")
	BackUser     = "marjoram"
	BackPassword = "endpoint-password-of-the-set"
	peerSecret   = "peer-secret-of-the-set-0123456789"
)

// Layout describes the processes of a deployment with their addresses.
type Layout struct {
	Dir      string
	Profile  Profile
	Platform Platform
	Groups   []Group
	Proxies  []Proxy
	Accounts []Account
}

// Platform describes the platform stand-in.
type Platform struct {
	Name    string
	Listen  string
	Control string
}

// Group describes one database group.
type Group struct {
	Name      ident.Group
	Endpoints []Endpoint
}

// Endpoint describes one endpoint stand-in.
type Endpoint struct {
	Name       ident.Endpoint
	DataCentre ident.DataCentre
	Listen     string
	Control    string
}

// Proxy describes one instance.
type Proxy struct {
	Name       ident.Instance
	DataCentre ident.DataCentre
	Callers    string
	Peers      string
	Admin      string
	Settings   string // path of its settings file
}

// Account is a client account with its key.
type Account struct {
	AccountSize
	Key string
}

// New assigns free loopback addresses to the processes of a profile.
func New(profile Profile, dir string) (*Layout, error) {
	const addressesPerProcess = 3
	ports, err := freePorts(2 + addressesPerProcess*(len(profile.Groups)*profile.Servers+profile.Proxies))
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := ports[0]
		ports = ports[1:]
		return address
	}
	l := &Layout{Dir: dir, Profile: profile, Platform: Platform{Name: "platform", Listen: next(), Control: next()}}
	for _, g := range profile.Groups {
		l.Groups = append(l.Groups, newGroup(profile, g, next))
	}
	for i := range profile.Proxies {
		name := ident.Instance(fmt.Sprintf("proxy-%d", i+1))
		l.Proxies = append(l.Proxies, Proxy{
			Name: name, DataCentre: profile.dataCentre(i), Callers: next(), Peers: next(), Admin: next(),
			Settings: filepath.Join(dir, string(name)+".toml"),
		})
	}
	for _, a := range profile.Accounts {
		l.Accounts = append(l.Accounts, Account{AccountSize: a, Key: envdoc.NewKey()})
	}
	return l, nil
}

func newGroup(p Profile, name ident.Group, next func() string) Group {
	g := Group{Name: name}
	for i := range p.Servers {
		g.Endpoints = append(g.Endpoints, Endpoint{
			Name:       ident.Endpoint(fmt.Sprintf("%s-%d", name, i+1)),
			DataCentre: p.dataCentre(i),
			Listen:     next(),
			Control:    next(),
		})
	}
	return g
}

func (p *Profile) dataCentre(i int) ident.DataCentre { return p.DataCentres[i%len(p.DataCentres)] }

// The processes of a deployment listen on ports from minPort up to maxPort.
// Systems select the ports of outgoing connections above them.
const (
	minPort = 20_000
	maxPort = 32_000
)

// freePorts returns loopback addresses whose ports were free when the function
// checked them. A process may open them later, as no outgoing connection takes
// a port in this range.
func freePorts(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	start := rand.IntN(maxPort - minPort)
	for i := 0; i < maxPort-minPort && len(addresses) < count; i++ {
		port := minPort + (start+i)%(maxPort-minPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	if len(addresses) < count {
		return nil, errors.Newf("%d of %d ports are free from %d to %d", len(addresses), count, minPort, maxPort)
	}
	return addresses, nil
}

// Document returns the environment document. Each group has a keyed route with
// the group's name for orders, and a keyed read-only route for lookups that
// accepts stale data.
func (l *Layout) Document() *envdoc.Document {
	d := &envdoc.Document{Environment: Environment}
	for _, g := range l.Groups {
		d.Groups = append(d.Groups, l.documentGroup(g))
		d.Routes = append(d.Routes,
			envdoc.Route{Name: ident.Route(g.Name), Group: g.Name, Access: envdoc.Keyed, Durability: envdoc.Majority},
			envdoc.Route{Name: LookupRoute(g.Name), Group: g.Name, Access: envdoc.Keyed, ReadOnly: true, MaxAge: lookupAge, Durability: envdoc.Majority},
		)
	}
	for _, a := range l.Accounts {
		d.Accounts = append(d.Accounts, envdoc.Account{
			Name: a.Name, Keys: []envdoc.KeyHash{envdoc.HashKey(a.Key)}, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight,
		})
	}
	return d
}

// lookupAge is the maximum age of the data that lookups accept.
const lookupAge = envdoc.Duration(2e9)

// LookupRoute returns the name of a group's route for lookups.
func LookupRoute(g ident.Group) ident.Route { return ident.Route(g + "-lookup") }

func (l *Layout) documentGroup(g Group) envdoc.Group {
	out := envdoc.Group{Name: g.Name}
	for _, e := range g.Endpoints {
		out.Endpoints = append(out.Endpoints, envdoc.Endpoint{
			Name: e.Name, Address: e.Listen, DataCentre: e.DataCentre,
			Slots: l.Profile.Slots, Connections: l.Profile.Connections,
		})
	}
	return out
}

// Settings returns the settings of one proxy.
func (l *Layout) Settings(p Proxy) *conf.Settings {
	base := "http://" + l.Platform.Listen
	return &conf.Settings{
		Instance: p.Name, DataCentre: p.DataCentre, Environment: Environment,
		Listen: conf.Listen{Callers: p.Callers, Peers: p.Peers, Admin: p.Admin},
		Platform: conf.Platform{
			TableURL: base, ObjectURL: base, ListURL: base + "/list", Region: conf.DefaultRegion,
			Table: conf.DefaultTable, Bucket: conf.DefaultBucket, AccessKey: "set", SecretKey: "set",
		},
		TLS:     conf.TLS{AllowPlain: true},
		Peers:   conf.Peers{Secret: peerSecret},
		Backend: conf.Backend{User: BackUser, Password: BackPassword},
		Limits: conf.Limits{
			Callers: conf.DefaultCallers, QueueWait: conf.DefaultQueueWait, RequestTimeout: conf.DefaultRequestTimeout,
			DrainTimeout: conf.DefaultDrainTimeout, LeaseLength: conf.DefaultLeaseLength,
		},
	}
}
