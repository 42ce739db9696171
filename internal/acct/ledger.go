package acct

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// demandMemory is the time over which demand is averaged.
const demandMemory = 500 * time.Millisecond

// ledger is what this instance knows about one account's quota.
type ledger struct {
	account   ident.Account
	cut       cut
	placement placement
	shares    []*share // by part
	limit     *limit

	asks   []ask // in flight
	late   []ask // not answered in time
	grants []*grant
	donors map[ident.Instance]*donor

	tried   uint64  // as of the last tick
	refused uint64  // as of the last tick
	demand  float64 // requests a second
	excess  float64 // refusals a second
	missed  uint64  // refused without waiting, in missMemory
	moved   time.Time
	noted   time.Time // when refusals were recorded last
	dirty   bool

	missedUntil time.Time
}

func newLedger(account ident.Account) *ledger {
	return &ledger{account: account, limit: newLimit(account), donors: make(map[ident.Instance]*donor)}
}

// share returns the share of a part, a new one if there is none.
func (l *ledger) share(key store.LeaseKey, now time.Time) *share {
	i, found := l.search(key.Part)
	if !found {
		l.shares = slices.Insert(l.shares, i, newShare(key, now))
	}
	return l.shares[i]
}

// find returns the share of a part, nil if there is none.
func (l *ledger) find(part ident.Part) *share {
	if i, found := l.search(part); found {
		return l.shares[i]
	}
	return nil
}

func (l *ledger) search(part ident.Part) (int, bool) {
	return slices.BinarySearchFunc(l.shares, part, func(s *share, p ident.Part) int {
		return cmp.Compare(s.key.Part, p)
	})
}

// measure updates the demand after a span of time.
func (l *ledger) measure(span time.Duration) {
	tried, refused := l.limit.tried.Load(), l.limit.refused.Load()
	if span > 0 && span < time.Minute {
		gain := 1 - math.Exp(-span.Seconds()/demandMemory.Seconds())
		l.demand += (float64(tried-l.tried)/span.Seconds() - l.demand) * gain
		l.excess += (float64(refused-l.refused)/span.Seconds() - l.excess) * gain
	}
	l.tried, l.refused = tried, refused
	l.limit.spread.Store(int64(l.spread()))
}

// spread returns the time in which the account's rate could serve those that
// this instance refused in a second, if every instance refused as many.
func (l *ledger) spread() time.Duration {
	if l.cut.parts == 0 {
		return longestRetry
	}
	share := float64(l.cut.rate) / float64(l.cut.parts)
	return min(longestRetry, time.Duration(l.excess/share*float64(time.Second)))
}

// current reports whether the share belongs to the cut in force.
func (l *ledger) current(s *share) bool {
	return l.cut.parts > 0 && partsOf(s.key.Part) == l.cut.parts
}

// bucket returns a closed bucket for a share, one that holds nothing when the
// share is of another cut.
func (l *ledger) bucket(s *share) *bucket {
	if !l.current(s) {
		return newBucket(time.Second, 0)
	}
	return newBucket(l.cut.interval(), l.cut.burstOf(indexOf(s.key.Part)))
}

// clear reports whether no part of another cut may still be spent anywhere.
func (l *ledger) clear(now time.Time) bool {
	for _, s := range l.shares {
		if !l.current(s) && (s.mine() || s.heldElsewhere(now)) {
			return false
		}
	}
	return true
}

// newer reports whether a part of another cut is held by a later document
// than version.
func (l *ledger) newer(version ident.Version, now time.Time) bool {
	for _, s := range l.shares {
		if !l.current(s) && s.heldElsewhere(now) && s.row.Document > version {
			return true
		}
	}
	return false
}

func (l *ledger) held() int {
	n := 0
	for _, s := range l.shares {
		if s.mine() && !s.leaving {
			n++
		}
	}
	return n
}

func (l *ledger) supply(now time.Time) *supply {
	var grants []*grant
	for _, g := range l.grants {
		if g.left.Load() > 0 {
			grants = append(grants, g)
		}
	}
	var buckets []*bucket
	for _, s := range l.shares {
		if s.usable(now) {
			buckets = append(buckets, s.bucket)
		}
	}
	return newSupply(grants, buckets)
}
