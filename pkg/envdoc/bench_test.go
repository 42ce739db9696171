package envdoc_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// largeText returns a document with 5,500 groups of three endpoints, a route
// for each group, and 1,000 accounts.
func largeText() []byte {
	const groups, endpoints, accounts = 5500, 3, 1000
	var b strings.Builder
	b.WriteString("Environment = \"production\"\n")
	for g := range groups {
		fmt.Fprintf(&b, "[[Groups]]\nName = \"group-%d\"\n", g)
		for e := range endpoints {
			fmt.Fprintf(&b, "[[Groups.Endpoints]]\nName = \"e-%d-%d\"\nAddress = \"10.%d.%d.%d:5432\"\nDataCentre = \"dc-%d\"\nSlots = 2\nConnections = 16\n",
				g, e, g/250, g%250, e+1, e)
		}
		fmt.Fprintf(&b, "[[Routes]]\nName = \"route-%d\"\nGroup = \"group-%d\"\nAccess = \"Keyed\"\n", g, g)
	}
	for a := range accounts {
		fmt.Fprintf(&b, "[[Accounts]]\nName = \"account-%d\"\nKeys = [%q]\nRate = 100\nBurst = 20\n", a, envdoc.HashKey(fmt.Sprint(a)))
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	text := largeText()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := envdoc.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}
