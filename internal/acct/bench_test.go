package acct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// BenchmarkTick measures a tick of an instance that holds every part of all
// accounts.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			q := NewQuota("entry-1", DefaultTiming(DefaultLease), RankByHash, rand.New(rand.NewPCG(1, 1)), now)
			var accounts []envdoc.Account
			for i := range n {
				accounts = append(accounts, account(ident.Account(fmt.Sprintf("account-%d", i)), 100, 64))
			}
			q.Update(AccountsChanged{Version: 1, Accounts: accounts}, now)
			q.Update(LeasesRead{StartedAt: now}, now)
			var rows []store.Lease
			for _, c := range q.Update(Tick{}, now) {
				if s, ok := c.(SwapLease); ok {
					q.Update(SwapDone{New: s.New, Result: SwapOK}, now)
					rows = append(rows, s.New)
				}
			}
			q.Update(LeasesRead{StartedAt: now, Rows: rows}, now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(TickInterval)
				q.Update(Tick{}, now)
			}
		})
	}
}
