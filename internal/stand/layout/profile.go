// Package layout describes a deployment of processes on this machine: the
// platform stand-in, the endpoints of the database groups and the proxies, with
// their addresses, settings and environment document. It writes files and does
// not start processes.
package layout

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Profile gives the size of a deployment.
type Profile struct {
	Name        string
	DataCentres []ident.DataCentre
	Groups      []ident.Group
	Servers     int // endpoints per group
	Proxies     int
	Slots       int
	Connections int
	ConnectTime time.Duration
	Latency     time.Duration // one way between data centres
	ServiceTime time.Duration // of one statement
	Accounts    []AccountSize
}

// AccountSize is the quota of one client account.
type AccountSize struct {
	Name   ident.Account
	Rate   ident.Tokens
	Burst  ident.Tokens
	Weight int
}

// serviceTime is how long an endpoint takes for one statement, in every
// profile.
const serviceTime = 2 * time.Millisecond

// Named returns the profile with the given name: demo, carbonella or tamarind.
func Named(name string) (Profile, error) {
	for _, p := range []Profile{demo(), carbonella(), tamarind()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, errors.Newf("unknown profile %q: want demo, carbonella or tamarind", name)
}

func demo() Profile {
	p := carbonella()
	p.Name, p.Proxies = "demo", 3
	return p
}

func carbonella() Profile {
	return Profile{
		Name:        "carbonella",
		DataCentres: []ident.DataCentre{"milano-a", "brescia-b", "verona-c", "piacenza-d"},
		Groups:      []ident.Group{"orders", "stock", "slots"},
		Servers:     3,
		Proxies:     8,
		Slots:       2,
		Connections: 16,
		ConnectTime: 12 * time.Millisecond,
		Latency:     time.Millisecond,
		ServiceTime: serviceTime,
		Accounts: []AccountSize{
			{"supermarket", 120, 60, 4}, {"garden-north", 60, 30, 2}, {"garden-south", 60, 30, 2},
			{"grill-chain", 40, 20, 2}, {"butchers", 20, 10, 1}, {"shop-staff", 40, 40, 2},
			{"sales-reps", 20, 20, 1}, {"depots", 8, 5, 1},
		},
	}
}

func tamarind() Profile {
	return Profile{
		Name:        "tamarind",
		DataCentres: []ident.DataCentre{"mu-north-a", "mu-north-b", "mu-north-c"},
		Groups:      []ident.Group{"exports", "shipments", "bookings"},
		Servers:     3,
		Proxies:     7,
		Slots:       3,
		Connections: 36,
		ConnectTime: 27 * time.Millisecond,
		Latency:     1500 * time.Microsecond,
		ServiceTime: serviceTime,
		Accounts: []AccountSize{
			{"importer-gulf", 120, 60, 4}, {"importer-sa", 80, 40, 3}, {"freight", 60, 30, 2},
			{"brewer-one", 30, 20, 1}, {"brewer-two", 30, 20, 1}, {"brewer-three", 10, 5, 1},
			{"reunion", 30, 15, 1}, {"port-louis", 40, 20, 2},
		},
	}
}
