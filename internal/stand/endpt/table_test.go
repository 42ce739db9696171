package endpt

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// naiveKeys scans all rows.
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

func TestIndexMatchesFullScan(t *testing.T) {
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
			queried := strconv.Itoa(digit.Draw(t, "queried"))
			got := slices.Sorted(slices.Values(db.byName["t"].keys("v", queried)))
			if want := naiveKeys(db.byName["t"], "v", queried); !slices.Equal(got, want) {
				t.Fatalf("keys %v, want %v", got, want)
			}
			if len(db.byName["t"].order) != len(db.byName["t"].rows) {
				t.Fatalf("order %v of %d rows", db.byName["t"].order, len(db.byName["t"].rows))
			}
		}
	})
}
