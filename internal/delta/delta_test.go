package delta_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/delta"
)

const maxText = 16 << 20

// document returns the text of a configuration with the routes, in the way that
// operators write it.
func document(version int, routes ...string) []byte {
	all := make([]string, len(routes))
	for i, r := range routes {
		all[i] = fmt.Sprintf(`{"host":%q,"route_type":"bounded_staleness","timeout_ms":800,"target_latency_ms":200,"priority":1,"service":"db","max_staleness_ms":1500}`, r)
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[]}`, version, strings.Join(all, ",")))
}

func names(count int) []string {
	out := make([]string, count)
	for i := range out {
		out[i] = fmt.Sprintf("route%dx%d", i*7919%count, i)
	}
	return out
}

// A change costs a few hundred bytes. One changed route among 10,000 was sent as the whole text.
func TestSizeFollowsTheChange(t *testing.T) {
	routes := names(10_000)
	base := document(12, routes...)
	cases := map[string]struct {
		target []byte
		limit  int
	}{
		"nothing":         {base, 16},
		"version":         {document(13, routes...), 512},
		"route added":     {document(13, append([]string{"added"}, routes...)...), 512},
		"route removed":   {document(13, append(append([]string(nil), routes[:5000]...), routes[5001:]...)...), 512},
		"route changed":   {document(13, append(append(append([]string(nil), routes[:5000]...), "changed"), routes[5001:]...)...), 512},
		"half the routes": {document(13, routes[:5000]...), 512},
	}
	for name, c := range cases {
		g := NewWithT(t)
		d := delta.Make(base, c.target)
		g.Expect(len(d)).To(BeNumerically("<=", c.limit), name)
		got, err := delta.Apply(base, d, maxText)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(bytes.Equal(got, c.target)).To(BeTrue(), name)
	}
}

func TestMalformedDeltas(t *testing.T) {
	base := []byte("base")
	for name, bad := range map[string][]byte{
		"no end of the head": {0x80}, "empty instruction": {0}, "missing bytes": {9, 'x'}, "missing offset": {8},
		"copy beyond the base": {8, 1}, "huge offset": {2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, "target too large": {8, 0, 8, 0, 8, 0},
	} {
		g := NewWithT(t)
		_, err := delta.Apply(base, bad, 10)
		g.Expect(errors.Is(err, delta.ErrMalformed)).To(BeTrue(), name)
	}
}

// FuzzMake makes deltas between arbitrary texts. Applying one has to return the
// target.
func FuzzMake(f *testing.F) {
	f.Add(document(1, names(9)...), document(2, names(8)...))
	f.Add([]byte{}, []byte("x"))
	f.Fuzz(func(t *testing.T, base, target []byte) {
		got, err := delta.Apply(base, delta.Make(base, target), len(target))
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("%q, %v", got, err)
		}
	})
}

// FuzzApply applies hostile deltas. The result respects the limit.
func FuzzApply(f *testing.F) {
	f.Add([]byte("base"), []byte{8, 0, 3, 'x'})
	f.Fuzz(func(t *testing.T, base, d []byte) {
		got, err := delta.Apply(base, d, 1000)
		if err != nil && !errors.Is(err, delta.ErrMalformed) {
			t.Fatalf("untyped error: %v", err)
		}
		if len(got) > 1000 {
			t.Fatalf("%d bytes", len(got))
		}
	})
}

func BenchmarkMake(b *testing.B) {
	routes := names(10_000)
	base, target := document(12, routes...), document(13, append([]string{"added"}, routes...)...)
	b.SetBytes(int64(len(target)))
	b.ReportAllocs()
	for b.Loop() {
		delta.Make(base, target)
	}
}

func BenchmarkApply(b *testing.B) {
	routes := names(10_000)
	base, target := document(12, routes...), document(13, append([]string{"added"}, routes...)...)
	d := delta.Make(base, target)
	b.SetBytes(int64(len(target)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := delta.Apply(base, d, maxText); err != nil {
			b.Fatal(err)
		}
	}
}
