package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

const (
	// settleFleet is enough for the parts to be claimed and confirmed, for
	// their witnesses to answer, and for new instances to vouch for each other.
	settleFleet = 18 * time.Second
	// storeOutage is longer than a witness promises at a time, and than any
	// lease that is renewed often.
	storeOutage = 13 * time.Second
)

// While the store is out, the instances keep their quota by the promises that
// they give one another.
func TestQuotaOutlivesTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newSet(t, 3)
	conn := s.connect(0, "orders", "")
	s.order(conn, "o1")
	time.Sleep(settleFleet)
	s.platform.SetFaults(plat.Faults{Outage: plat.Silence})
	defer s.platform.SetFaults(plat.Faults{})
	until := time.Now().Add(storeOutage)
	for time.Now().Before(until) {
		var item string
		err := conn.QueryRow(context.Background(), "SELECT item FROM orders WHERE id = $1", "o1").Scan(&item)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
	}
}
