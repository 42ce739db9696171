// Package conf reads the settings of one process: a TOML file that is decoded
// strictly and checked as a whole, so that all errors come at once, each with
// its file, line and field.
package conf

import (
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Settings are the settings of one proxy process.
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

// TLS names the files for callers and peers. With AllowPlain false, callers
// must use TLS.
type TLS struct {
	CertFile     string
	KeyFile      string
	PeerCertFile string
	PeerKeyFile  string
	PeerCAFile   string
	AllowPlain   bool
}

// Peers holds the shared secret by which instances know one another.
type Peers struct {
	Secret string
}

// Backend holds the proxy's own credentials at the endpoints.
type Backend struct {
	User     string
	Password string
}

// Log says what the process logs: Level from 0 (normal) to 9.
type Log struct {
	Level int
}

// Limits bound what one process takes on.
type Limits struct {
	Callers        int             // connections of callers
	QueueWait      envdoc.Duration // longest expected wait that is still admitted
	RequestTimeout envdoc.Duration
	DrainTimeout   envdoc.Duration // longest graceful stop
	LeaseLength    envdoc.Duration
}
