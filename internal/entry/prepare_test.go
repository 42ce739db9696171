package entry_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
)

// TestFailedPrepareLeavesNoStatement prepares two statements under the same
// name, as pgx does after an error. The first one fails at the endpoint.
func TestFailedPrepareLeavesNoStatement(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := newCluster(t, 1)
	var conn *pgx.Conn
	g.Eventually(func() (err error) {
		conn, err = pgx.Connect(ctx, "postgres://"+s.addresses[0]+"/walkin?sslmode=disable")
		return err
	}, eventTimeout).Should(Succeed())
	defer func() { _ = conn.Close(ctx) }()
	g.Eventually(func() error {
		_, err := conn.Exec(ctx, "INSERT INTO t (a) VALUES ('1')")
		return err
	}, eventTimeout).Should(Succeed())
	_, err := conn.Prepare(ctx, "same", "SELECT a FROM")
	g.Expect(err).To(HaveOccurred())
	_, err = conn.Prepare(ctx, "same", "SELECT a FROM t")
	g.Expect(err).NotTo(HaveOccurred())
	var a string
	g.Expect(conn.QueryRow(ctx, "same").Scan(&a)).To(Succeed())
	_, err = conn.Prepare(ctx, "other", "SELECT a FROM t")
	g.Expect(err).NotTo(HaveOccurred(), "a prepared statement stays")
	g.Expect(conn.QueryRow(ctx, "same").Scan(&a)).To(Succeed())
}
