// Package conf reads the settings of a process from a TOML file. The file is
// decoded strictly and checked as a whole, so that all problems are reported at
// once, each with its file, line and field.
package conf

import (
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Settings holds the settings of a proxy process.
type Settings struct {
	Instance    ident.Instance
	DataCentre  ident.DataCentre
	Environment ident.Environment

	Listen   Listen
	Platform Platform
	TLS      TLS
	Peers    Peers
	Backend  Backend
	Log      Log
	Limits   Limits
}

// Listen holds the addresses of the process, each as IP and port.
type Listen struct {
	Callers string // PostgreSQL protocol
	Peers   string // WebSocket
	Admin   string // HTTP
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	TableURL  string
	ObjectURL string
	ListURL   string
	Region    string
	Table     string
	Bucket    string
	AccessKey string
	SecretKey string
}

// TLS names the certificate files for callers and peers. Callers must use TLS
// unless AllowPlain is set.
type TLS struct {
	CertFile     string
	KeyFile      string
	PeerCertFile string
	PeerKeyFile  string
	PeerCAFile   string
	AllowPlain   bool
}

// Peers holds the shared secret that authenticates instances to each other.
type Peers struct {
	Secret string
}

// Backend holds the credentials that the proxy uses at the endpoints.
type Backend struct {
	User     string
	Password string
}

// Log sets the log level, from 0 (normal) to 9.
type Log struct {
	Level int
}

// Limits holds the resource limits and timeouts of a process.
type Limits struct {
	Callers        int             // maximum number of caller connections
	QueueWait      envdoc.Duration // a request that is expected to wait longer is rejected
	RequestTimeout envdoc.Duration
	DrainTimeout   envdoc.Duration // maximum duration of a graceful stop
	LeaseLength    envdoc.Duration
}
