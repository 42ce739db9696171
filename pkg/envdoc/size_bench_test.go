package envdoc_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// documentText returns a document with groups of three endpoints, a route for
// each group, and accounts.
func documentText(groups, accounts int) []byte {
	var b strings.Builder
	b.WriteString("Environment = \"production\"\n")
	for g := range groups {
		fmt.Fprintf(&b, "[[Groups]]\nName = \"group-%d\"\n", g)
		for e := range 3 {
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

// BenchmarkParseSize measures the time of parsing, the size of the text and the
// memory that the document retains, by number of groups and accounts.
func BenchmarkParseSize(b *testing.B) {
	for _, size := range []struct{ groups, accounts int }{{1, 0}, {100, 0}, {1000, 0}, {5500, 0}, {1, 100}, {1, 1000}, {1, 10000}} {
		b.Run(fmt.Sprintf("groups=%d/accounts=%d", size.groups, size.accounts), func(b *testing.B) {
			text := documentText(size.groups, size.accounts)
			var document *envdoc.Document
			before := heapBytes()
			for b.Loop() {
				var err error
				if document, err = envdoc.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(heapBytes()-before, "kept-bytes")
			runtime.KeepAlive(text)
			runtime.KeepAlive(document)
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
