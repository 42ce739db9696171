package acct

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// driftDivisor is the divisor of a lease's length that gives the extra time
// that other instances wait before they claim the part, because their clocks
// may run faster than the holder's.
const driftDivisor = 1000

// maxUnansweredWrites is how many writes of one row may be sent without a reply
// to any of them and without a read in between.
const maxUnansweredWrites = 64

// writeAttempt is a write by this instance that may have taken effect.
type writeAttempt struct {
	row        store.Lease
	oldRenewal uint64 // of the row that it replaces
	sentAt     time.Time
}

// loan is a number of tokens lent to another instance. The part's limit is
// lowered by as many until it ends.
type loan struct {
	to    ident.Instance
	nonce uint64
	count int64
	end   time.Time
}

// partState is what this instance knows about one part of an account's quota.
type partState struct {
	key       store.LeaseKey
	row       store.Lease // as last seen; Epoch is zero if there is none
	changedAt time.Time   // when the row was last seen to change
	// writtenAt is when this instance learned of its own latest write. Reads
	// that started earlier may show the row before it.
	writtenAt      time.Time
	attempts       []writeAttempt
	pendingRenewal uint64    // of the write in flight, 0 if there is none
	retryAt        time.Time // no write before

	bucket     *bucket // not nil while this instance holds the part
	leaseEnd   time.Time
	sentAt     time.Time // when the write was sent by which the part is held
	acquiredAt time.Time
	confirmed  bool // a read after acquiredAt showed no other division in use
	lapsed     bool
	releasing  bool
	loans      []loan
}

func newPartState(key store.LeaseKey, now time.Time) *partState {
	return &partState{key: key, row: store.Lease{Key: key}, changedAt: now}
}

func (s *partState) held() bool { return s.bucket != nil }

func (s *partState) usable(now time.Time) bool {
	return s.held() && s.confirmed && !s.releasing && now.Before(s.leaseEnd)
}

// heldElsewhere reports whether another instance may still spend from the part.
func (s *partState) heldElsewhere(now time.Time) bool {
	return !s.held() && s.row.Holder != "" && now.Before(s.lapsesAt())
}

// lapsesAt returns when the holder of an unchanged row has certainly stopped
// spending: it started its last write before this instance saw it.
func (s *partState) lapsesAt() time.Time {
	return s.changedAt.Add(s.row.Length + s.row.Length/driftDivisor)
}

// claimableAt returns when the part may be claimed.
func (s *partState) claimableAt() time.Time {
	if s.row.Holder == "" {
		return s.changedAt
	}
	return s.lapsesAt()
}

// awaitsRead reports whether so many writes may still take effect that further
// ones should wait for a read.
func (s *partState) awaitsRead(lastRead time.Time) bool {
	n := len(s.attempts)
	return n >= maxUnansweredWrites && !lastRead.After(s.attempts[n-1].sentAt)
}

// findAttempt returns this instance's attempt that wrote row.
func (s *partState) findAttempt(row store.Lease) (writeAttempt, bool) {
	for _, a := range s.attempts {
		if sameRow(a.row, row) {
			return a, true
		}
	}
	return writeAttempt{}, false
}

// sameRow reports whether a and b are the same state of a row.
func sameRow(a, b store.Lease) bool {
	return a.Key == b.Key && a.Epoch == b.Epoch && a.Renewal == b.Renewal && a.Holder == b.Holder
}

// eachPossibleRow calls f for each state in which the row of a held part may
// be: as last seen, and as left by any write whose outcome is unknown.
func (s *partState) eachPossibleRow(f func(row store.Lease, sent time.Time)) {
	f(s.row, s.sentAt)
	for _, a := range s.attempts {
		if a.row.Holder != "" {
			f(a.row, a.sentAt)
		}
	}
}

// pruneAttempts drops the attempts that can no longer take effect, because the
// row that they would replace has changed.
func (s *partState) pruneAttempts() {
	kept := s.attempts[:0]
	for _, a := range s.attempts {
		if a.oldRenewal == s.row.Renewal {
			kept = append(kept, a)
		}
	}
	s.attempts = kept
}

// witnesses returns the instances that may claim the part early, in any
// possible state of its row.
func (s *partState) witnesses() []ident.Instance {
	var ids []ident.Instance
	s.eachPossibleRow(func(row store.Lease, _ time.Time) {
		if row.Witness != "" && !slices.Contains(ids, row.Witness) {
			ids = append(ids, row.Witness)
		}
	})
	return ids
}

func (s *partState) lentTokens() int64 {
	n := int64(0)
	for _, l := range s.loans {
		n += l.count
	}
	return n
}

// expireLoans raises the limit again for loans that have ended.
func (s *partState) expireLoans(now time.Time, at int64) {
	kept := s.loans[:0]
	for _, l := range s.loans {
		if now.Before(l.end) {
			kept = append(kept, l)
			continue
		}
		s.bucket.settleLoan(l.count, 0, at)
	}
	s.loans = kept
}

// settleLoan ends one loan early, because the borrower spends no more of it.
func (s *partState) settleLoan(from ident.Instance, nonce uint64, unspent, at int64) bool {
	for i, l := range s.loans {
		if l.to != from || l.nonce != nonce {
			continue
		}
		s.loans = append(s.loans[:i], s.loans[i+1:]...)
		s.bucket.settleLoan(l.count, max(0, min(unspent, l.count)), at)
		return true
	}
	return false
}
