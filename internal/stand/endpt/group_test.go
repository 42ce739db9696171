package endpt

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const simple = pgx.QueryExecModeSimpleProtocol

func requireSQL(pos ident.LogPosition) string {
	return fmt.Sprintf("SELECT %s(%d, %d, 0)", group.FnRequireData, pos.Term, pos.Position)
}

func (g *trio) changePrimary(to ident.Endpoint, term ident.Term, others ...ident.Endpoint) {
	g.t.Helper()
	for _, n := range append(others, to) {
		g.exec(g.dial(n, simple), fmt.Sprintf("SELECT * FROM %s(%d)", group.FnSeal, term))
	}
	g.exec(g.dial(to, simple), fmt.Sprintf("SELECT * FROM %s(%d)", group.FnPromote, term))
	for _, n := range others {
		g.exec(g.dial(n, simple), fmt.Sprintf("SELECT %s(%d, '%s')", group.FnFollow, term, g.servers[to].Addr()))
	}
}

func (g *trio) awaitHeld(n ident.Endpoint, pos ident.LogPosition) {
	g.t.Helper()
	c := g.dial(n, simple)
	g.Eventually(func() string { return g.execError(c, requireSQL(pos)) }, testTimeout, time.Millisecond).Should(BeEmpty())
}

func TestPartitionedPrimaryConfirmsNothing(t *testing.T) {
	g := startTrio(t, nil)
	a := g.dial("a", pgx.QueryExecModeCacheStatement)
	g.exec(a, "INSERT INTO orders (id) VALUES ('kept')")
	kept, _ := g.lastWrite(a)
	g.awaitConfirmed("a", kept)
	g.awaitHeld("b", kept)

	cut := true
	g.servers["a"].SetFaults(Faults{CutGroup: &cut})
	g.exec(a, "INSERT INTO orders (id) VALUES ('lost')")
	lost, _ := g.lastWrite(a)
	g.changePrimary("b", 2<<20, "c")
	b := g.dial("b", pgx.QueryExecModeCacheStatement)
	g.exec(b, "INSERT INTO orders (id) VALUES ('next')")
	next, _ := g.lastWrite(b)
	g.awaitConfirmed("b", next)
	g.Expect(g.servers["a"].Status().Confirmed).To(Equal(kept.Position))

	cut = false
	g.servers["a"].SetFaults(Faults{CutGroup: &cut})
	g.exec(g.dial("a", simple), fmt.Sprintf("SELECT %s(%d, '%s')", group.FnFollow, 2<<20, g.servers["b"].Addr()))
	g.awaitHeld("a", next)
	g.Expect(g.execError(b, requireSQL(lost))).To(BeEmpty(), "the position is beyond the start of the later term")
	for _, n := range []ident.Endpoint{"a", "b"} {
		var ids []string
		for _, r := range g.servers[n].Rows("orders") {
			ids = append(ids, *r["id"])
		}
		g.Expect(ids).To(Equal([]string{"kept", "next"}))
	}
}
