package emul

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The checks have to find a statement that reaches an evacuated server too late,
// and too many statements at a cold one. Control statements don't count.
func TestEvacuationChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := NewGroup(GroupConfig{
			Name: "db", Servers: 1, Slots: 8, MaxConns: 8, DataCentres: []ident.DataCentre{"z1"}, ColdRate: 2, ColdTime: 3 * time.Second,
		})
		defer group.Close()
		store := NewStore(group)
		ours, theirs := net.Pipe()
		group.serving.Go(func() { group.Server(0).Serve(theirs) })
		dial := func(context.Context, string, string) (net.Conn, error) { return ours, nil }
		c, _, err := Login(t.Context(), dial, "", "db", "account")
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		query := func(text string) { _, _ = c.Query(t.Context(), "1", text) }

		const limit = 5 * time.Second
		query("READ x")
		store.Evacuate("z1")
		time.Sleep(limit)
		query("READ x")
		query("STATUS")
		g.Expect(store.CheckEvacuations(limit)).To(BeEmpty())
		time.Sleep(time.Millisecond)
		query("STATUS")
		g.Expect(store.CheckEvacuations(limit)).To(BeEmpty())
		query("BEGIN")
		g.Expect(store.CheckEvacuations(limit)).To(HaveLen(1))
		query("ROLLBACK")
		g.Expect(store.CheckEvacuations(limit)).To(HaveLen(2))
		time.Sleep(time.Millisecond)
		store.Withdraw("z1")
		for range 8 { // 2 x 1.5 + 5
			query("READ x")
		}
		g.Expect(store.CheckCold()).To(BeEmpty())
		query("AFTER 0.0 READ x")
		g.Expect(store.CheckCold()).To(HaveLen(1))
		g.Expect(store.CheckEvacuations(limit)).To(HaveLen(2))
	})
}
