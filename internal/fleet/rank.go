// Package fleet tracks, for one instance, the other instances and the
// environment document: which instances are live, which version is in force,
// and whether the instance's evidence is recent enough to honour keys. The
// types Members and DocumentTracker are pure; Fleet runs them and accesses the
// store and the peers on their behalf. The package asserts that the applied
// version never decreases.
package fleet

import (
	"cmp"
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

type scoredInstance struct {
	instance ident.Instance
	score    uint64
}

// Rank orders instances by preference for key, the most preferred first. All
// instances with the same list compute the same order without communication,
// and a change of the list moves only the keys of the instances that were added
// or removed. It implements rendezvous hashing after Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
// Networking, 1998.
func Rank(key string, instances []ident.Instance) []ident.Instance {
	all := make([]scoredInstance, len(instances))
	for i, n := range instances {
		all[i] = scoredInstance{instance: n, score: score(key, n)}
	}
	slices.SortFunc(all, func(a, b scoredInstance) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance, b.instance))
	})
	order := make([]ident.Instance, len(all))
	for i, r := range all {
		order[i] = r.instance
	}
	return order
}

// Prefers reports whether a precedes b in Rank's order. It does not allocate.
func Prefers(key string, a, b ident.Instance) bool {
	one, other := score(key, a), score(key, b)
	return one > other || one == other && a < b
}

// RankOf returns the index of self in Rank's order, or -1 if self is not in the
// list. It does not allocate.
func RankOf(key string, instances []ident.Instance, self ident.Instance) int {
	if !slices.Contains(instances, self) {
		return -1
	}
	selfScore := score(key, self)
	rank := 0
	for _, n := range instances {
		s := score(key, n)
		if s > selfScore || s == selfScore && n < self {
			rank++
		}
	}
	return rank
}

// score hashes key and instance by FNV-1a and mixes the bits with the finaliser
// of MurmurHash3.
func score(key string, instance ident.Instance) uint64 {
	h := uint64(fnvOffset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	h = (h ^ 0xff) * fnvPrime // separates key and instance
	for i := range len(instance) {
		h = (h ^ uint64(instance[i])) * fnvPrime
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
