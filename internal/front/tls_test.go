package front

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
)

func certificate(t testing.TB) tls.Certificate {
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func TestEncryptedCallers(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t, func(o *Options) {
		o.AllowPlain = false
		o.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
	})
	conn := dial(t, s.address, "sslmode=require")
	_, err := conn.Exec(context.Background(), "INSERT INTO kept (id, item) VALUES ('1', 'koji')")
	g.Expect(err).NotTo(HaveOccurred())
	expectHealthy(t, s, conn)
	_, err = pgx.Connect(context.Background(), fmt.Sprintf("postgres://u@%s/r?%s", s.address, plain))
	g.Expect(err).To(MatchError(ContainSubstring("28000")))

	// Plain bytes that follow the SSLRequest could be injected by a third party;
	// they must not be processed.
	socket, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(callerTimeout))
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "r"}}
	_, err = socket.Write(encode([]pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, startup}))
	g.Expect(err).NotTo(HaveOccurred())
	answer, _ := io.ReadAll(socket)
	g.Expect(answer).To(BeEmpty())
}
