// Package endpt is a stand-in for one endpoint of a database group. It speaks
// PostgreSQL protocol 3, executes a small SQL subset, replicates a log with
// terms to the other endpoints of its group and provides the marjoram functions
// of internal/group. It stores nothing on disk: a group loses no data while a
// majority of its processes runs, and a restarted process starts empty and
// catches up as a replica.
package endpt

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// FirstTerm is the term of the primary that the settings name.
const FirstTerm ident.Term = 1 << 20

// Config describes one endpoint and its group.
type Config struct {
	Name ident.Endpoint
	// Listen is the address for callers and for replication.
	Listen string
	// Listener replaces Listen when it is set. The server closes it.
	Listener net.Listener
	// Control is the address of the control interface. If it is empty, there is
	// none.
	Control string
	// Peers holds the addresses of the other endpoints of the group. An entry
	// for the endpoint itself is ignored.
	Peers map[ident.Endpoint]string
	// Primary names the endpoint that is the primary of FirstTerm.
	Primary ident.Endpoint
	// Rejoin starts the endpoint as the replacement of a killed process, even if
	// no peer reports that there was one.
	Rejoin bool
	// RejoinQuiet is how long a replacement neither seals nor acknowledges, so
	// that any promotion that relies on a seal of its predecessor has ended.
	RejoinQuiet time.Duration

	Slots          int           // maximum number of concurrent statements
	Connections    int           // maximum number of callers' connections
	ConnectTime    time.Duration // set-up time of a connection
	Latency        time.Duration // one way, for callers
	ServiceTime    time.Duration // of each statement
	ReplicationLag time.Duration // from commit until a replica receives it

	// ApplyLag is the time from the commit of a record until a replica that
	// holds and has acknowledged the record applies it.
	ApplyLag time.Duration

	// User and Password are the credentials that callers must present. An empty
	// User accepts any name; with an empty Password none is requested.
	User     string
	Password string
	// TLS enables encrypted connections if it is set.
	TLS *tls.Config
}

func (c Config) checked() (Config, error) {
	if c.Name == "" {
		return c, errors.New("endpoint has no name")
	}
	if c.Slots <= 0 || c.Connections <= 0 {
		return c, errors.Newf("endpoint %s needs slots and connections", c.Name)
	}
	peers := make(map[ident.Endpoint]string, len(c.Peers))
	for n, a := range c.Peers {
		if n != c.Name {
			peers[n] = a
		}
	}
	c.Peers = peers
	if _, known := peers[c.Primary]; c.Primary != c.Name && !known {
		return c, errors.Newf("primary %q of endpoint %s is not a member of the group", c.Primary, c.Name)
	}
	return c, nil
}

func (c Config) majority() int { return (len(c.Peers)+1)/2 + 1 }
