package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"
)

// TestSameAsDirectConnection sends the same random calls through the proxy and
// to an endpoint of another group, and compares the answers. A failed
// transaction is ended at once, since its statements may get different errors.
func TestSameAsDirectConnection(t *testing.T) {
	const steps = 300
	g := NewWithT(t)
	s := newFixture(t, func(*Options) {})
	proxied := dial(t, s.address, plain)
	direct := dial(t, startEndpoints(t)[0].Addr(), plain)
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 1))
		for i := range steps {
			do := nextCall(r)
			if direct.PgConn().TxStatus() == 'E' {
				do = call{texts: []string{"COMMIT"}, mode: do.mode}
			}
			want, got := do.run(direct), do.run(proxied)
			g.Expect(got).To(Equal(want), "seed %d step %d: %+v", seed, i, do)
			g.Expect(proxied.PgConn().TxStatus()).To(Equal(direct.PgConn().TxStatus()), "seed %d step %d: %+v", seed, i, do)
		}
	}
}

// call is one use of pgx.
type call struct {
	texts []string
	mode  pgx.QueryExecMode
	batch bool
	name  string // prepare under this name, then run the prepared statement
}

var modes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

func nextCall(r *rand.Rand) call {
	c := call{texts: []string{nextText(r)}, mode: modes[r.IntN(len(modes))]}
	switch r.IntN(6) {
	case 0:
		c.batch = true
		for range r.IntN(4) {
			c.texts = append(c.texts, nextText(r))
		}
	case 1:
		c.name = fmt.Sprint("p", r.IntN(4))
	}
	return c
}

func nextText(r *rand.Rand) string {
	id := r.IntN(20)
	switch r.IntN(12) {
	case 0:
		return "BEGIN"
	case 1, 2:
		return "COMMIT"
	case 3:
		return "ROLLBACK"
	case 4:
		return "SELECT id FROM stock ("
	case 5:
		return fmt.Sprintf("UPDATE stock SET item = 'b' WHERE id = '%d'", id)
	case 6:
		return fmt.Sprintf("DELETE FROM stock WHERE id = '%d'", id)
	case 7:
		return fmt.Sprintf("INSERT INTO stock (id, item) VALUES ('%d', 'c') RETURNING item", id)
	case 8, 9:
		return fmt.Sprintf("INSERT INTO stock (id, item) VALUES ('%d', 'a')", id)
	case 10:
		return "SELECT count(*) FROM stock"
	}
	return "SELECT id, item FROM stock"
}

func (c call) run(conn *pgx.Conn) []string {
	ctx := context.Background()
	if c.batch {
		return c.runBatch(ctx, conn)
	}
	text, args := c.texts[0], []any{c.mode}
	if c.name != "" {
		if err := conn.Deallocate(ctx, c.name); err != nil {
			return []string{"deallocate " + state(err)}
		}
		if _, err := conn.Prepare(ctx, c.name, text); err != nil {
			return []string{state(err)}
		}
		text, args = c.name, nil
	}
	rows, err := conn.Query(ctx, text, args...)
	if err != nil {
		return []string{state(err)}
	}
	return drain(rows)
}

func (c call) runBatch(ctx context.Context, conn *pgx.Conn) (out []string) {
	b := &pgx.Batch{}
	for _, t := range c.texts {
		b.Queue(t)
	}
	results := conn.SendBatch(ctx, b)
	for range c.texts {
		rows, err := results.Query()
		if err != nil {
			out = append(out, state(err))
			break
		}
		out = append(out, drain(rows)...)
	}
	return append(out, state(results.Close()))
}

func drain(rows pgx.Rows) (out []string) {
	for rows.Next() {
		values, err := rows.Values()
		out = append(out, fmt.Sprint(values, err))
	}
	sort.Strings(out)
	if rows.Err() != nil {
		return append(out, state(rows.Err()))
	}
	return append(out, rows.CommandTag().String()+" "+state(rows.Err()))
}

func state(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}
