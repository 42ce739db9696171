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

// BenchmarkPath compares the same statements on a direct connection to an
// endpoint stand-in and through a proxy, all in one process. The difference of
// the medians is the time that the proxy adds.
func BenchmarkPath(b *testing.B) {
	for _, kind := range []string{"lookup", "order"} {
		b.Run("direct/"+kind, func(b *testing.B) { measure(b, kind, direct) })
		b.Run("proxied/"+kind, func(b *testing.B) { measure(b, kind, proxied) })
	}
	b.Run("unconfirmed/order", func(b *testing.B) { measure(b, "order", proxied, unconfirmed) })
}

// unconfirmed acknowledges orders as soon as the primary has them.
func unconfirmed(d *envdoc.Document) { d.Routes[0].Durability = envdoc.Primary }

type dialer func(b *testing.B, s *set) *pgx.Conn

func direct(b *testing.B, s *set) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://proxy:%s@%s/x?sslmode=disable", backSecret, s.endpoints["a1"].Addr()))
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func proxied(_ *testing.B, s *set) *pgx.Conn { return s.connect(0, "orders", "") }

func measure(b *testing.B, kind string, dial dialer, changes ...func(*envdoc.Document)) {
	g := NewWithT(b)
	ctx := context.Background()
	s := newSet(b, 1, append(changes, generous)...)
	s.order(s.connect(0, "orders", ""), "first")
	conn := dial(b, s)
	times := make([]time.Duration, 0, 1<<16)
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		if kind == "order" {
			_, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2)", fmt.Sprint("o", i), "charcoal")
			g.Expect(err).NotTo(HaveOccurred())
		} else {
			var item string
			g.Expect(conn.QueryRow(ctx, "SELECT item FROM orders WHERE id = $1", "first").Scan(&item)).To(Succeed())
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}
