package store_test

import (
	"context"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
)

// openBench opens the platform of a stand-in that runs in this process. The
// measured times include the stand-in's own.
func openBench(b *testing.B) *store.Platform {
	s, err := plat.Start(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	p, err := store.Open(s.Platform())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = p.Close()
		_ = s.Close()
	})
	b.ReportAllocs()
	return p
}

func BenchmarkHead(b *testing.B) {
	p := openBench(b)
	if err := acceptFirst(b.Context(), p); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := p.Documents.Head(b.Context(), trial); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSwapLease(b *testing.B) {
	p := openBench(b)
	lease := store.Lease{Key: store.LeaseKey{Account: "shop"}}
	for b.Loop() {
		updated := lease
		updated.Epoch++
		if err := p.Leases.Swap(b.Context(), trial, lease, updated); err != nil {
			b.Fatal(err)
		}
		lease = updated
	}
}
