package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
)

// callerTLS returns the TLS configuration for callers, or nil if no certificate
// is configured.
func callerTLS(s conf.TLS) (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate for callers")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the options for mutual TLS between peers, with certificates
// signed by the environment's own authority. It returns none if no certificate
// is configured.
func peerTLS(s conf.TLS) ([]peer.Option, error) {
	if s.PeerCertFile == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.PeerCertFile, s.PeerKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate for peers")
	}
	text, err := os.ReadFile(s.PeerCAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority of peers")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, errors.Newf("no certificate in %s", s.PeerCAFile)
	}
	server := &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	client := &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		MinVersion:   tls.VersionTLS13,
	}
	return []peer.Option{peer.WithTLS(server, client)}, nil
}
