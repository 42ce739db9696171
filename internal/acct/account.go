package acct

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// demandTimeConstant is the time constant of the moving averages of demand and
// refusals.
const demandTimeConstant = 500 * time.Millisecond

// accountState is what this instance knows about one account's quota.
type accountState struct {
	account   ident.Account
	division  division
	placement placement
	parts     []*partState // ordered by part
	limit     *accountLimit

	requests []tokenRequest // in flight
	timedOut []tokenRequest // a late reply is still settled
	borrowed []*borrowedTokens
	lenders  map[ident.Instance]*lenderState

	lastAttempts       uint64  // as of the last tick
	lastRefused        uint64  // as of the last tick
	demandRate         float64 // requests per second
	refusalRate        float64 // refusals per second
	missed             uint64  // refused without waiting, within missWindow
	rebalancedAt       time.Time
	refusalsRecordedAt time.Time // when refusals were last recorded
	changed            bool

	missedUntil time.Time
}

func newAccountState(account ident.Account) *accountState {
	return &accountState{account: account, limit: newAccountLimit(account), lenders: make(map[ident.Instance]*lenderState)}
}

// part returns the state of a part, creating it if there is none.
func (st *accountState) part(key store.LeaseKey, now time.Time) *partState {
	i, found := st.searchParts(key.Part)
	if !found {
		st.parts = slices.Insert(st.parts, i, newPartState(key, now))
	}
	return st.parts[i]
}

// findPart returns the state of a part, nil if there is none.
func (st *accountState) findPart(part ident.Part) *partState {
	if i, found := st.searchParts(part); found {
		return st.parts[i]
	}
	return nil
}

func (st *accountState) searchParts(part ident.Part) (int, bool) {
	return slices.BinarySearchFunc(st.parts, part, func(s *partState, p ident.Part) int {
		return cmp.Compare(s.key.Part, p)
	})
}

// measureDemand updates the averages after a span of time.
func (st *accountState) measureDemand(span time.Duration) {
	attempts, refused := st.limit.attempts.Load(), st.limit.refused.Load()
	if span > 0 && span < time.Minute {
		gain := 1 - math.Exp(-span.Seconds()/demandTimeConstant.Seconds())
		st.demandRate += (float64(attempts-st.lastAttempts)/span.Seconds() - st.demandRate) * gain
		st.refusalRate += (float64(refused-st.lastRefused)/span.Seconds() - st.refusalRate) * gain
	}
	st.lastAttempts, st.lastRefused = attempts, refused
	st.limit.retrySpread.Store(int64(st.retrySpread()))
}

// retrySpread returns the time in which the account's rate could serve the
// requests that this instance refuses in a second, if every instance refused as
// many.
func (st *accountState) retrySpread() time.Duration {
	if st.division.parts == 0 {
		return maxRetry
	}
	share := float64(st.division.rate) / float64(st.division.parts)
	return min(maxRetry, time.Duration(st.refusalRate/share*float64(time.Second)))
}

// inDivision reports whether the part belongs to the current division.
func (st *accountState) inDivision(s *partState) bool {
	return st.division.parts > 0 && partsOf(s.key.Part) == st.division.parts
}

// newBucket returns a closed bucket for a part, with no capacity if the part
// belongs to another division.
func (st *accountState) newBucket(s *partState) *bucket {
	if !st.inDivision(s) {
		return newBucket(time.Second, 0)
	}
	return newBucket(st.division.interval(), st.division.burstOf(indexOf(s.key.Part)))
}

// otherDivisionsUnused reports whether no instance may still spend from a part
// of another division.
func (st *accountState) otherDivisionsUnused(now time.Time) bool {
	for _, s := range st.parts {
		if !st.inDivision(s) && (s.held() || s.heldElsewhere(now)) {
			return false
		}
	}
	return true
}

// heldByNewerDocument reports whether a part of another division is held under
// a document later than version.
func (st *accountState) heldByNewerDocument(version ident.Version, now time.Time) bool {
	for _, s := range st.parts {
		if !st.inDivision(s) && s.heldElsewhere(now) && s.row.Document > version {
			return true
		}
	}
	return false
}

func (st *accountState) heldParts() int {
	n := 0
	for _, s := range st.parts {
		if s.held() && !s.releasing {
			n++
		}
	}
	return n
}

func (st *accountState) sources(now time.Time) *tokenSources {
	var borrowed []*borrowedTokens
	for _, b := range st.borrowed {
		if b.left.Load() > 0 {
			borrowed = append(borrowed, b)
		}
	}
	var buckets []*bucket
	for _, s := range st.parts {
		if s.usable(now) {
			buckets = append(buckets, s.bucket)
		}
	}
	return newTokenSources(borrowed, buckets)
}
