package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

const (
	// settleTime is enough for instances to acquire and confirm the parts of
	// the quota, for their witnesses to reply and for new instances to confirm
	// each other's document.
	settleTime = 18 * time.Second
	// outageTime is longer than the length of a witness's promise and of any
	// lease that is renewed often.
	outageTime = 13 * time.Second
)

// TestQuotaSurvivesStoreOutage checks that instances keep their quota while the
// store is unavailable, because witnesses promise not to take over its leases.
func TestQuotaSurvivesStoreOutage(t *testing.T) {
	g := NewWithT(t)
	s := newCluster(t, 3)
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o1")
	time.Sleep(settleTime)
	s.platform.SetFaults(plat.Faults{Outage: plat.Hang})
	defer s.platform.SetFaults(plat.Faults{})
	end := time.Now().Add(outageTime)
	for time.Now().Before(end) {
		var item string
		err := conn.QueryRow(context.Background(), "SELECT item FROM orders WHERE id = $1", "o1").Scan(&item)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
	}
}
