package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
)

// redivide replaces the division of an account. If the number of parts is
// unchanged, held parts grow or shrink in place and keep their tokens.
// Otherwise the old parts are released, and the new ones start once none of the
// old is held anywhere.
func (q *Quota) redivide(st *accountState, d division, now time.Time) {
	if st.division == d {
		return
	}
	if st.division != (division{}) {
		q.emit(Record{Kind: QuotaRecut, Account: st.account})
	}
	st.division = d
	st.placement = newPlacement(st.account, d.parts, q.live, q.rank)
	for _, s := range st.parts {
		if !s.held() {
			continue
		}
		if partsOf(s.key.Part) == d.parts {
			q.resize(st, s, now)
			continue
		}
		q.beginRelease(st, s, now)
	}
	for i := range d.parts {
		st.part(store.LeaseKey{Account: st.account, Part: d.part(i)}, now)
	}
	q.markChanged(st)
}

func (q *Quota) resize(st *accountState, s *partState, now time.Time) {
	at := q.limiter.nanos(now)
	open := s.bucket.isOpen()
	level := s.bucket.close(at)
	b := st.newBucket(s)
	b.limit.Store(b.burst - s.lentTokens())
	b.end.Store(q.limiter.nanos(s.leaseEnd))
	if open {
		b.open(level, at)
	}
	s.bucket = b
	q.markChanged(st)
}
