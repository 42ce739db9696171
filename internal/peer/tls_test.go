package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// selfSigned returns a certificate for the loopback address and a pool that
// trusts it alone.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "peer"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	leaf, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func mutualTLS(own tls.Certificate, pool *x509.CertPool) Option {
	certificates := []tls.Certificate{own}
	server := &tls.Config{Certificates: certificates, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	client := &tls.Config{Certificates: certificates, RootCAs: pool}
	return WithTLS(server, client)
}

func TestMeshOverTLS(t *testing.T) {
	g := NewWithT(t)
	own, pool := selfSigned(t)
	untrusted, _ := selfSigned(t)
	b := startNode(t, "b", testSecret, mutualTLS(own, pool))
	a := startNode(t, "a", testSecret, mutualTLS(own, pool))
	x := startNode(t, "0", testSecret, mutualTLS(untrusted, pool)) // trusts the peer but is not trusted
	connectAll(a, b, x)
	g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"a"}))
	g.Eventually(a.Connected, eventTimeout).Should(Equal([]ident.Instance{"b"}))
	a.Broadcast(DocumentRequest{Version: 1})
	g.Eventually(b.inbox.messages, eventTimeout).Should(ConsistOf(DocumentRequest{Version: 1}))
	g.Expect(x.Connected()).To(BeEmpty())
}
