package endpt

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// naiveKeys looks at every row.
func naiveKeys(b *table, column, value string) []string {
	var out []string
	for k, r := range b.rows {
		if v := r.values[column]; v != nil && *v == value {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func TestIndexAgreesWithTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		db := newTables()
		digit := rapid.IntRange(0, 4)
		for p := range rapid.IntRange(0, 60).Draw(t, "writes") {
			v := strconv.Itoa(digit.Draw(t, "value"))
			w := write{
				Table: "t", Key: strconv.Itoa(digit.Draw(t, "key")), Columns: []string{"v"}, Values: []*string{&v},
				Deleted: digit.Draw(t, "kind") == 0,
			}
			db.write(&w, ident.Position(p+1))
			asked := strconv.Itoa(digit.Draw(t, "asked"))
			got := slices.Sorted(slices.Values(db.byName["t"].keys("v", asked)))
			if want := naiveKeys(db.byName["t"], "v", asked); !slices.Equal(got, want) {
				t.Fatalf("keys %v, want %v", got, want)
			}
			if len(db.byName["t"].order) != len(db.byName["t"].rows) {
				t.Fatalf("order %v of %d rows", db.byName["t"].order, len(db.byName["t"].rows))
			}
		}
	})
}
