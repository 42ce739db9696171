package fleet

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func ExampleRank() {
	fmt.Println(Rank("orders", []ident.Instance{"a", "b", "c"}))
	fmt.Println(Rank("orders", []ident.Instance{"c", "a"}))
	// Output:
	// [c a b]
	// [c a]
}

func TestRankIsEvenAndStable(t *testing.T) {
	g := NewWithT(t)
	var all []ident.Instance
	for i := range 8 {
		all = append(all, ident.Instance(fmt.Sprintf("proxy-%d", i)))
	}
	first := make(map[ident.Instance]int)
	const keys = 8000
	for i := range keys {
		key := fmt.Sprint("key-", i)
		order := Rank(key, all)
		first[order[0]]++
		for p, n := range order {
			g.Expect(RankOf(key, all, n)).To(Equal(p))
		}
		fewer := slices.DeleteFunc(slices.Clone(all), func(n ident.Instance) bool { return n == order[3] })
		g.Expect(Rank(key, fewer)).To(Equal(slices.Delete(order, 3, 4)))
	}
	for _, n := range all {
		g.Expect(first[n]).To(BeNumerically("~", keys/len(all), keys/len(all)/5))
	}
	g.Expect(RankOf("k", all, "stranger")).To(Equal(-1))
	g.Expect(testing.AllocsPerRun(10, func() { RankOf("k", all, all[0]) })).To(BeZero())
}
