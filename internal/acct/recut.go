package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
)

// recut puts another division of an account in force. Parts of a cut into as
// many parts grow or shrink in place, with the tokens they have; parts of
// another number are given up, and the new ones start once none of the old is
// held anywhere.
func (q *Quota) recut(l *ledger, c cut, now time.Time) {
	if l.cut == c {
		return
	}
	if l.cut != (cut{}) {
		q.do(Record{Kind: QuotaRecut, Account: l.account})
	}
	l.cut = c
	l.placement = place(l.account, c.parts, q.live, q.rank)
	for _, s := range l.shares {
		if !s.mine() {
			continue
		}
		if partsOf(s.key.Part) == c.parts {
			q.resize(l, s, now)
			continue
		}
		q.leave(l, s, now)
	}
	for i := range c.parts {
		l.share(store.LeaseKey{Account: l.account, Part: c.part(i)}, now)
	}
	q.touch(l)
}

func (q *Quota) resize(l *ledger, s *share, now time.Time) {
	at := q.limiter.at(now)
	open := s.bucket.isOpen()
	level := s.bucket.close(at)
	b := l.bucket(s)
	b.limit.Store(b.full - s.lent())
	b.end.Store(q.limiter.at(s.end))
	if open {
		b.open(level, at)
	}
	s.bucket = b
	q.touch(l)
}
