package endpt

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"
)

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func TestUnmodifiedClientRunsTheSubset(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		t.Run(mode.String(), func(t *testing.T) {
			g := startTrio(t, nil)
			c := g.dial("a", mode)
			g.Expect(c.Ping(context.Background())).To(Succeed())
			g.Expect(g.exec(c, "INSERT INTO orders (id, item, quantity) VALUES ($1, $2, $3)", "o1", "charcoal", "12")).To(Equal("INSERT 0 1"))
			g.Expect(g.value(c, "/* a */ SELECT item FROM orders WHERE id = $1 -- b", "o1")).To(Equal("charcoal"))
			g.Expect(g.exec(c, "UPDATE orders SET quantity = quantity - 2 WHERE id = $1", "o1")).To(Equal("UPDATE 1"))
			g.Expect(g.value(c, "SELECT quantity FROM orders WHERE id = $1", "o1")).To(Equal("10"))
			g.Expect(g.value(c, "INSERT INTO orders (id, item) VALUES ($1, 'it''s') RETURNING item", "o2")).To(Equal("it's"))
			var n int64
			g.Expect(c.QueryRow(context.Background(), "SELECT count(*) FROM orders").Scan(&n)).To(Succeed())
			g.Expect(n).To(Equal(int64(2)))
			g.Expect(g.execError(c, "INSERT INTO orders (id) VALUES ($1)", "o1")).To(Equal("23505"))
			g.Expect(g.exec(c, "DELETE FROM orders WHERE id = $1", "o2")).To(Equal("DELETE 1"))
			g.Expect(g.execError(c, "FROB x")).To(Equal("42601"))
			g.Expect(g.execError(c, "CREATE TABLE x")).To(Equal("0A000"))
		})
	}
}
