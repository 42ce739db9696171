package entry_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

// TestMissingDocumentIsNotAMissingRoute starts a proxy while the platform is
// unavailable. The proxy must not report that a route does not exist before it
// knows the document.
func TestMissingDocumentIsNotAMissingRoute(t *testing.T) {
	g := NewWithT(t)
	s := newCluster(t, 0)
	s.platform.SetFaults(plat.Faults{Outage: plat.Refuse})
	s.startProxy(0)
	_, err := s.tryConnect(0, "orders", "")
	var refusal *pgconn.PgError
	g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	g.Expect(refusal.Code).To(Equal(string(fault.NoPrimary)))
	g.Expect(refusal.Hint).To(ContainSubstring("Come back"))
	s.platform.SetFaults(plat.Faults{})
	s.connect(0, "orders", "")
	_, err = s.tryConnect(0, "nowhere", "")
	g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	g.Expect(refusal.Code).To(Equal(string(fault.NoRoute)))
}
