package entry_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// BenchmarkPath runs the same statements on a direct connection to a stand-in
// endpoint and through a proxy, all in one process. The difference between the
// medians is the latency that the proxy adds.
func BenchmarkPath(b *testing.B) {
	for _, kind := range []string{"lookup", "order"} {
		b.Run("direct/"+kind, func(b *testing.B) { measureStatements(b, kind, direct) })
		b.Run("proxied/"+kind, func(b *testing.B) { measureStatements(b, kind, proxied) })
	}
	b.Run("unconfirmed/order", func(b *testing.B) { measureStatements(b, "order", proxied, primaryDurability) })
}

// primaryDurability acknowledges writes as soon as the primary has them.
func primaryDurability(d *envdoc.Document) { d.Routes[0].Durability = envdoc.Primary }

type connectFunc func(b *testing.B, s *cluster) *pgx.Conn

func direct(b *testing.B, s *cluster) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://proxy:%s@%s/x?sslmode=disable", endpointPassword, s.endpoints["a1"].Addr()))
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func proxied(_ *testing.B, s *cluster) *pgx.Conn { return s.connect(0, "orders", "") }

func measureStatements(b *testing.B, kind string, dial connectFunc, changes ...func(*envdoc.Document)) {
	g := NewWithT(b)
	ctx := context.Background()
	s := newCluster(b, 1, append(changes, unlimitedQuota)...)
	s.insertOrder(s.connect(0, "orders", ""), "first")
	conn := dial(b, s)
	times := make([]time.Duration, 0, 1<<16)
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if kind == "order" {
			_, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2)", fmt.Sprint("o", i), "charcoal")
			g.Expect(err).NotTo(HaveOccurred())
		} else {
			var item string
			g.Expect(conn.QueryRow(ctx, "SELECT item FROM orders WHERE id = $1", "first").Scan(&item)).To(Succeed())
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}
