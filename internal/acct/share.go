package acct

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// driftShare is the part of a lease's length that a taker waits in addition,
// because its clock may run faster than the holder's.
const driftShare = 1000

// maxAttempts is how many writes of one row are sent without an answer to any
// and without a read between.
const maxAttempts = 64

// attempt is a write of this instance that may have taken effect.
type attempt struct {
	fresh store.Lease
	old   uint64 // renewal of the row that it replaces
	sent  time.Time
}

// loan is a number of tokens given to another instance. Until it ends the
// part's limit is lower by as many.
type loan struct {
	to    ident.Instance
	nonce uint64
	count int64
	end   time.Time
}

// share is what this instance knows and does about one part of an account.
type share struct {
	key  store.LeaseKey
	row  store.Lease // as last seen; a zero Epoch means that there is none
	seen time.Time   // when the row was last seen to change
	// written is when this instance learned of its own latest write; reads
	// begun earlier may show the row before it.
	written  time.Time
	attempts []attempt
	pending  uint64    // renewal of the write in flight, 0 for none
	retry    time.Time // no write before

	bucket    *bucket // not nil while the row is this instance's
	end       time.Time
	sent      time.Time // of the write by which the part is held
	adopted   time.Time
	confirmed bool // no part of another cut was held after adopted
	lapsed    bool
	leaving   bool
	loans     []loan
}

func newShare(key store.LeaseKey, now time.Time) *share {
	return &share{key: key, row: store.Lease{Key: key}, seen: now}
}

func (s *share) mine() bool { return s.bucket != nil }

func (s *share) usable(now time.Time) bool {
	return s.mine() && s.confirmed && !s.leaving && now.Before(s.end)
}

// heldElsewhere reports whether another instance may still spend by the row.
func (s *share) heldElsewhere(now time.Time) bool {
	return !s.mine() && s.row.Holder != "" && now.Before(s.lapses())
}

// lapses returns when the holder of a row that does not change has certainly
// stopped: it began its last write before this instance saw it.
func (s *share) lapses() time.Time {
	return s.seen.Add(s.row.Length + s.row.Length/driftShare)
}

// free returns since when the part may be claimed.
func (s *share) free() time.Time {
	if s.row.Holder == "" {
		return s.seen
	}
	return s.lapses()
}

// doubtful reports whether so many writes may still take effect that more
// should wait for a read.
func (s *share) doubtful(lastRead time.Time) bool {
	n := len(s.attempts)
	return n >= maxAttempts && !lastRead.After(s.attempts[n-1].sent)
}

// find returns this instance's attempt that wrote row.
func (s *share) find(row store.Lease) (attempt, bool) {
	for _, a := range s.attempts {
		if sameRow(a.fresh, row) {
			return a, true
		}
	}
	return attempt{}, false
}

// sameRow tells whether a and b are the same state of a row.
func sameRow(a, b store.Lease) bool {
	return a.Key == b.Key && a.Epoch == b.Epoch && a.Renewal == b.Renewal && a.Holder == b.Holder
}

// eachVersion calls f for each state in which the row of a held part may be:
// as last seen, and as any write in doubt would leave it.
func (s *share) eachVersion(f func(row store.Lease, sent time.Time)) {
	f(s.row, s.sent)
	for _, a := range s.attempts {
		if a.fresh.Holder != "" {
			f(a.fresh, a.sent)
		}
	}
}

// forget drops the attempts that can no longer take effect, since the row
// they would replace is gone.
func (s *share) forget() {
	kept := s.attempts[:0]
	for _, a := range s.attempts {
		if a.old == s.row.Renewal {
			kept = append(kept, a)
		}
	}
	s.attempts = kept
}

// witnesses returns who may take the part early by any state of its row.
func (s *share) witnesses() []ident.Instance {
	var ids []ident.Instance
	s.eachVersion(func(row store.Lease, _ time.Time) {
		if row.Witness != "" && !slices.Contains(ids, row.Witness) {
			ids = append(ids, row.Witness)
		}
	})
	return ids
}

func (s *share) lent() int64 {
	n := int64(0)
	for _, l := range s.loans {
		n += l.count
	}
	return n
}

// endLoans puts the limit up again for loans that have ended.
func (s *share) endLoans(now time.Time, at int64) {
	kept := s.loans[:0]
	for _, l := range s.loans {
		if now.Before(l.end) {
			kept = append(kept, l)
			continue
		}
		s.bucket.settle(l.count, 0, at)
	}
	s.loans = kept
}

// settle ends one loan early, because its receiver spends it no more.
func (s *share) settle(from ident.Instance, nonce uint64, unspent, at int64) bool {
	for i, l := range s.loans {
		if l.to != from || l.nonce != nonce {
			continue
		}
		s.loans = append(s.loans[:i], s.loans[i+1:]...)
		s.bucket.settle(l.count, max(0, min(unspent, l.count)), at)
		return true
	}
	return false
}
