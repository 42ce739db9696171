package acct

import (
	"flag"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
)

// To run more random simulations: go test ./internal/acct -run Bound -first 100
// -seeds 500
var (
	firstSeed = flag.Uint64("first", 0, "first seed of the random simulations")
	seedCount = flag.Uint64("seeds", 3, "number of seeds of the random simulations")
)

// TestMain makes violated invariants fatal and the random tests repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	assert.Fatal()
	m.Run()
}
