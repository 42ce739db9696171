package slope

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/exper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
)

const (
	largeQuota = 1_000_000
	// quotaSettleTime is long enough for the instance to be granted the whole
	// quota.
	quotaSettleTime = 5 * time.Second
	loadTime        = 5 * time.Second
	workers         = 16
)

// startInstance starts one instance in front of one fast group.
func startInstance(b *testing.B) *exper.Deployment {
	b.Helper()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	g := NewWithT(b)
	profile, err := Shape{Instances: 1, Groups: 1, Accounts: 1}.profile()
	g.Expect(err).NotTo(HaveOccurred())
	profile.Slots, profile.Connections = workers, 4*workers
	profile.Latency, profile.ServiceTime, profile.ConnectTime = 0, 0, 0
	profile.Accounts[0] = layout.AccountSize{Name: "shop", Rate: largeQuota, Burst: largeQuota, Weight: 1}
	d, err := exper.Start(context.Background(), profile, exper.Current)
	g.Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { g.Expect(d.Close()).To(Succeed()) })
	g.Expect(pause(context.Background(), quotaSettleTime)).To(Succeed())
	return d
}

func dial(d *exper.Deployment) (*pgx.Conn, error) {
	return pgx.Connect(context.Background(), fmt.Sprintf("postgres://shop:%s@%s/%s?sslmode=disable",
		d.Layout.Accounts[0].Key, d.Layout.Proxies[0].Callers, d.Layout.Groups[0].Name))
}

// BenchmarkIdleCallers reports the heap and stack bytes of one idle caller at
// the instance. The client side is a bare socket.
func BenchmarkIdleCallers(b *testing.B) {
	for _, n := range []int{1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := NewWithT(b)
			d := startInstance(b)
			sockets := make([]net.Conn, 0, n)
			before := memory()
			for range n {
				c, err := dial(d)
				g.Expect(err).NotTo(HaveOccurred())
				h, err := c.PgConn().Hijack()
				g.Expect(err).NotTo(HaveOccurred())
				sockets = append(sockets, h.Conn)
			}
			each := (memory() - before) / float64(n)
			for _, s := range sockets {
				_ = s.Close()
			}
			b.ReportMetric(each, "bytes/caller")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkStatementCost reports the processor time that the instance spends on
// one statement, and that of the whole process, including callers and
// endpoints.
func BenchmarkStatementCost(b *testing.B) {
	for _, kind := range []string{"lookup", "order"} {
		b.Run(kind, func(b *testing.B) {
			g := NewWithT(b)
			d := startInstance(b)
			var m cpuMeter
			g.Expect(m.start()).To(Succeed())
			began := time.Now()
			count, err := run(d, kind)
			seconds := time.Since(began).Seconds()
			instance, process, stopped := m.stop()
			g.Expect(stopped).NotTo(HaveOccurred())
			g.Expect(err).NotTo(HaveOccurred())
			b.ReportMetric(1e6*instance/float64(count), "instance-us/statement")
			b.ReportMetric(1e6*process/float64(count), "process-us/statement")
			b.ReportMetric(float64(count)/seconds, "statements/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// run keeps the workers busy for loadTime and returns the number of statements
// that they ran.
func run(d *exper.Deployment, kind string) (int, error) {
	counts := make([]int, workers)
	until := time.Now().Add(loadTime)
	var g errgroup.Group
	for w := range workers {
		g.Go(func() error {
			var err error
			counts[w], err = work(d, kind, w, until)
			return err
		})
	}
	err := g.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	return total, err
}

func work(d *exper.Deployment, kind string, worker int, until time.Time) (int, error) {
	ctx := context.Background()
	conn, err := dial(d)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }()
	n := 0
	for ; time.Now().Before(until); n++ {
		if kind == "order" {
			_, err = conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2)", fmt.Sprint(worker, "-", n), "charcoal")
		} else {
			_, err = conn.Exec(ctx, "SELECT item FROM orders WHERE id = $1", "none")
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
