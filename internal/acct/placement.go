package acct

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Rank orders instances by their preference for a key. The order is the same on
// every instance that knows the same live instances.
type Rank func(key string, live []ident.Instance) []ident.Instance

// RankByHash ranks by highest random weight: Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
// Networking 6(1), 1998.
func RankByHash(key string, live []ident.Instance) []ident.Instance {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

func score(key string, instance ident.Instance) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	return mix(h.Sum64())
}

// mix is the finaliser of MurmurHash3. FNV alone leaves the high bits of
// similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// placement describes which instances should hold the parts of one account.
type placement struct {
	preferred      [][]ident.Instance // by index of the part, most preferred first
	maxPerInstance int                // parts
}

// newPlacement distributes the parts over the live instances. Each part goes to
// the highest ranked instance that has capacity, after Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
func newPlacement(account ident.Account, parts int, live []ident.Instance, rank Rank) placement {
	if parts == 0 || len(live) == 0 {
		return placement{}
	}
	p := placement{maxPerInstance: (parts + len(live) - 1) / len(live)}
	load := make(map[ident.Instance]int, len(live))
	for i := range parts {
		order := rank(fmt.Sprintf("%s/%d", account, i), live)
		best := slices.IndexFunc(order, func(n ident.Instance) bool { return load[n] < p.maxPerInstance })
		load[order[best]]++
		chosen := order[best]
		order = slices.Insert(slices.Delete(order, best, best+1), 0, chosen)
		p.preferred = append(p.preferred, order)
	}
	return p
}

// rankOf returns how many instances are preferred to self for part i.
func (p placement) rankOf(i int, self ident.Instance) int {
	if i >= len(p.preferred) {
		return 0
	}
	return max(0, slices.Index(p.preferred[i], self))
}
