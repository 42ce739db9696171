package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// BenchmarkRelay measures complete answers of one row and of many, with the
// caller and the endpoint in this process.
func BenchmarkRelay(b *testing.B) {
	for _, rows := range []int{1, 1000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			g := NewWithT(b)
			conn := dial(b, newFixture(b, func(*Options) {}).address, plain)
			batch := &pgx.Batch{}
			for i := range rows {
				batch.Queue("INSERT INTO stock (id, item) VALUES ($1, 'charcoal')", fmt.Sprint(i))
			}
			g.Expect(conn.SendBatch(context.Background(), batch).Close()).To(Succeed())
			b.ReportAllocs()
			for b.Loop() {
				answer, err := conn.Query(context.Background(), "SELECT id, item FROM stock")
				g.Expect(err).NotTo(HaveOccurred())
				count := 0
				for answer.Next() {
					count++
				}
				g.Expect(count).To(Equal(rows))
			}
		})
	}
}

// BenchmarkRelayFrame measures the relay of a single row.
func BenchmarkRelayFrame(b *testing.B) {
	s := &session{out: make([]byte, 0, 2*flushBytes)}
	row := make([]byte, 60)
	b.ReportAllocs()
	for b.Loop() {
		if len(s.out) > flushBytes/2 {
			s.out = s.out[:0]
		}
		_ = s.Relay('D', row)
	}
}

var bindOne = pgproto3.Bind{Parameters: [][]byte{[]byte("7")}}

// BenchmarkDecide measures admission, planning and the choice of an endpoint
// for one statement.
func BenchmarkDecide(b *testing.B) {
	s := newFixture(b, func(*Options) {})
	route := s.server.routes.Get("r")
	var admitter acct.Admitter = openAdmitter{}
	se := &session{server: s.server}
	step, err := back.NewPrepared(stmt.Scan("SELECT item FROM stock WHERE id = $1"), nil).Bind(bindOne)
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	batch := &back.Batch{Steps: []back.Step{step, {Op: back.OpExecute}}}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if admitter.Check(&se.identity, now) != nil || admitter.SpendWait(context.Background(), &se.identity, now) != nil {
			b.Fatal("refused")
		}
		w := &work{batch: batch, plan: newPlan(batch, route), route: route}
		choice := se.choose(w, route.Group.Monitor.View(), now)
		if choice.Index == group.NoEndpoint {
			b.Fatal("no endpoint")
		}
	}
}
