package endpt

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const testTimeout = 5 * time.Second

func TestMain(m *testing.M) {
	assert.Fatal()
	code := m.Run()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			println(err.Error())
			code = 1
		}
	}
	os.Exit(code)
}

// trio is a group of three endpoints; a is the first primary.
type trio struct {
	*WithT
	t       *testing.T
	servers map[ident.Endpoint]*Server
}

func startTrio(t *testing.T, change func(*Config)) *trio {
	t.Helper()
	g := &trio{WithT: NewWithT(t), t: t, servers: map[ident.Endpoint]*Server{}}
	base := Config{Slots: 2, Connections: 16, User: "proxy", Password: "secret"}
	if change != nil {
		change(&base)
	}
	servers, err := StartGroup(context.Background(), base, "a", "b", "c")
	g.Expect(err).NotTo(HaveOccurred())
	for _, s := range servers {
		g.servers[s.config.Name] = s
		t.Cleanup(func() { g.Expect(s.Close()).To(Succeed()) })
	}
	return g
}

// dial opens a connection with the proxy's credentials.
func (g *trio) dial(n ident.Endpoint, mode pgx.QueryExecMode) *pgx.Conn {
	g.t.Helper()
	c, err := pgx.ParseConfig("postgres://proxy:secret@" + g.servers[n].Addr() + "/db?sslmode=disable")
	g.Expect(err).NotTo(HaveOccurred())
	c.DefaultQueryExecMode = mode
	conn, err := pgx.ConnectConfig(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	g.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (g *trio) exec(c *pgx.Conn, sql string, args ...any) string {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	tag, err := c.Exec(ctx, sql, args...)
	g.Expect(err).NotTo(HaveOccurred(), sql)
	return tag.String()
}

// execError executes sql and returns the SQLSTATE of its failure, or an empty
// string if it succeeds.
func (g *trio) execError(c *pgx.Conn, sql string, args ...any) string {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.Exec(ctx, sql, args...)
	return sqlState(err)
}

func (g *trio) value(c *pgx.Conn, sql string, args ...any) string {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var v string
	g.Expect(c.QueryRow(ctx, sql, args...).Scan(&v)).To(Succeed(), sql)
	return v
}

func (g *trio) lastWrite(c *pgx.Conn) (ident.LogPosition, ident.Position) {
	g.t.Helper()
	var term, position, confirmed int64
	row := c.QueryRow(context.Background(), "SELECT * FROM "+group.FnLastWrite)
	g.Expect(row.Scan(&term, &position, &confirmed)).To(Succeed())
	return ident.LogPosition{Term: ident.Term(term), Position: ident.Position(position)}, ident.Position(confirmed)
}

// awaitConfirmed waits until the primary n has confirmed the position pos.
func (g *trio) awaitConfirmed(n ident.Endpoint, pos ident.LogPosition) {
	g.t.Helper()
	g.Eventually(func() ident.Position { return g.servers[n].Status().Confirmed }, testTimeout, time.Millisecond).
		Should(BeNumerically(">=", pos.Position))
}
