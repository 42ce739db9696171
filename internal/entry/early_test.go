package entry_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

// TestInstanceWithoutDocumentKnowsNoRouteYet starts a proxy while the platform
// is out. It must not tell a caller that its route does not exist.
func TestInstanceWithoutDocumentKnowsNoRouteYet(t *testing.T) {
	g := NewWithT(t)
	s := newSet(t, 0)
	s.platform.SetFaults(plat.Faults{Outage: plat.Refuse})
	s.startProxy(0)
	_, err := s.try(0, "orders", "")
	var refusal *pgconn.PgError
	g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	g.Expect(refusal.Code).To(Equal(string(fault.NoPrimary)))
	g.Expect(refusal.Hint).To(ContainSubstring("Come back"))
	s.platform.SetFaults(plat.Faults{})
	s.connect(0, "orders", "")
	_, err = s.try(0, "nowhere", "")
	g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	g.Expect(refusal.Code).To(Equal(string(fault.NoRoute)))
}
