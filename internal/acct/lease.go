package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
)

// handleLeasesRead applies the rows of one read of the store.
func (q *Quota) handleLeasesRead(m LeasesRead, now time.Time) {
	q.reading = false
	q.lastRead = now
	for _, r := range m.Rows {
		st := q.account(r.Key.Account)
		s := st.part(r.Key, now)
		if m.StartedAt.Before(s.writtenAt) {
			continue // the read may predate our own write
		}
		q.observe(st, s, r, now)
	}
	for _, a := range q.accountNames {
		q.confirm(q.accounts[a], m.StartedAt, now)
	}
}

// observe applies the latest known state of a row.
func (q *Quota) observe(st *accountState, s *partState, row store.Lease, now time.Time) {
	if sameRow(row, s.row) {
		return
	}
	a, ours := s.findAttempt(row)
	wasHeld := s.held()
	s.row = row
	s.changedAt = now
	s.pruneAttempts()
	switch {
	case ours && row.Holder == q.self:
		s.row = a.row
		s.sentAt = a.sentAt
		if !wasHeld {
			q.acquire(st, s, now)
			return
		}
		q.updateLeaseEnd(st, s, now)
	case wasHeld:
		q.dropLease(st, s, now)
		if !ours {
			q.emit(Record{Kind: LeaseLost, Account: st.account, Peer: row.Holder})
		}
	}
}

// updateLeaseEnd sets the end of a held lease: the earliest over all states in
// which its row may be, each counted from before its write was sent.
func (q *Quota) updateLeaseEnd(st *accountState, s *partState, now time.Time) {
	end := q.spendableUntil(s.row, s.sentAt)
	s.eachPossibleRow(func(row store.Lease, sent time.Time) {
		assert.That(!sent.After(now), "LeaseFromFuture", "part %d", s.key.Part)
		end = earlier(end, q.spendableUntil(row, sent))
	})
	s.leaseEnd = end
	s.bucket.end.Store(q.limiter.nanos(end))
	if s.lapsed && now.Before(end) {
		s.lapsed = false
		q.markChanged(st)
	}
}

// acquire starts to hold a part. The part stays closed until it is confirmed.
func (q *Quota) acquire(st *accountState, s *partState, now time.Time) {
	s.bucket = st.newBucket(s)
	s.acquiredAt = now
	s.confirmed = false
	s.lapsed = false
	s.releasing = false
	s.loans = nil
	q.updateLeaseEnd(st, s, now)
	if q.stopping || !st.inDivision(s) {
		q.beginRelease(st, s, now)
		return
	}
	q.requestRead(now)
}

// confirm opens acquired parts after a read that started later and shows no
// part of another division in use. Claims are written first and read
// afterwards, so of two instances that claim by different divisions at least
// one sees the other.
func (q *Quota) confirm(st *accountState, readStart, now time.Time) {
	othersUnused := st.otherDivisionsUnused(now)
	newer := st.heldByNewerDocument(q.version, now)
	for _, s := range st.parts {
		if !s.held() || s.releasing {
			continue
		}
		if newer {
			q.beginRelease(st, s, now)
			continue
		}
		if !othersUnused || s.confirmed || readStart.Before(s.acquiredAt) {
			continue
		}
		s.confirmed = true
		s.bucket.open(0, q.limiter.nanos(now))
		q.markChanged(st)
		q.emit(Record{Kind: LeaseTaken, Account: st.account})
	}
}

// beginRelease stops spending from a part. The part is released once its loans
// have ended.
func (q *Quota) beginRelease(st *accountState, s *partState, now time.Time) {
	s.releasing = true
	s.bucket.close(q.limiter.nanos(now))
	q.markChanged(st)
}

// dropLease discards the lease of a part that this instance no longer holds.
func (q *Quota) dropLease(st *accountState, s *partState, now time.Time) {
	s.bucket.close(q.limiter.nanos(now))
	s.bucket = nil
	s.loans = nil
	s.releasing = false
	s.confirmed = false
	q.markChanged(st)
}

// maintainLeases renews, releases and claims the parts of one account.
func (q *Quota) maintainLeases(st *accountState, now time.Time) {
	for _, s := range st.parts {
		if s.held() {
			s.expireLoans(now, q.limiter.nanos(now))
			q.maintainHeld(st, s, now)
			continue
		}
		if q.mayClaim(st, s, now) {
			q.write(st, s, q.claimRow(st, s, now), now)
		}
	}
	q.rebalance(st, now)
}

func (q *Quota) maintainHeld(st *accountState, s *partState, now time.Time) {
	if !s.lapsed && !now.Before(s.leaseEnd) {
		s.lapsed = true
		q.markChanged(st)
		q.emit(Record{Kind: LeaseLapsed, Account: st.account})
	}
	if s.pendingRenewal != 0 || now.Before(s.retryAt) || s.awaitsRead(q.lastRead) {
		return
	}
	if s.releasing {
		if len(s.loans) == 0 {
			q.write(st, s, q.releaseRow(st, s, now), now)
		}
		return
	}
	if now.Sub(s.sentAt) >= q.timing.Renew || q.needsNewWitness(st, s, now) {
		q.write(st, s, q.renewRow(st, s, now), now)
	}
}

func (q *Quota) mayClaim(st *accountState, s *partState, now time.Time) bool {
	if q.stopping || !st.inDivision(s) || q.lastRead.IsZero() {
		return false
	}
	if s.pendingRenewal != 0 || now.Before(s.retryAt) || s.awaitsRead(q.lastRead) {
		return false
	}
	if s.row.Holder != "" && s.row.Witness == q.self && !now.Before(q.witnessClaimableAt(s)) {
		return !st.heldByNewerDocument(q.version, now)
	}
	rank := st.placement.rankOf(indexOf(s.key.Part), q.self)
	at := s.claimableAt().Add(time.Duration(rank) * q.timing.ClaimStagger)
	return !now.Before(at) && !st.heldByNewerDocument(q.version, now)
}

// rebalance releases a part when this instance holds more than an even share
// and another one is preferred for it. Parts are never taken from a holder.
func (q *Quota) rebalance(st *accountState, now time.Time) {
	if q.stopping || st.heldParts() <= st.placement.maxPerInstance || st.placement.maxPerInstance == 0 {
		return
	}
	if now.Sub(q.liveSince) < q.timing.RebalanceAfter || now.Sub(st.rebalancedAt) < q.timing.RebalanceAfter {
		return
	}
	if now.Sub(q.lastRead) > 2*q.timing.Poll {
		return // no instance could claim the part now
	}
	for _, s := range st.parts {
		if s.usable(now) && st.inDivision(s) && st.placement.rankOf(indexOf(s.key.Part), q.self) > 0 {
			st.rebalancedAt = now
			q.beginRelease(st, s, now)
			return
		}
	}
}

func (q *Quota) claimRow(st *accountState, s *partState, now time.Time) store.Lease {
	row := q.renewRow(st, s, now)
	row.Epoch++
	return row
}

func (q *Quota) renewRow(st *accountState, s *partState, now time.Time) store.Lease {
	return store.Lease{
		Key:      s.key,
		Holder:   q.self,
		Epoch:    s.row.Epoch,
		Length:   q.timing.Lease,
		Renewal:  q.random.Uint64() | 1,
		Document: q.version,
		Witness:  q.chooseWitness(st, s, now),
	}
}

func (q *Quota) releaseRow(st *accountState, s *partState, now time.Time) store.Lease {
	row := q.renewRow(st, s, now)
	row.Holder, row.Witness = "", ""
	return row
}

// write sends a conditional write. A lease that it grants counts from now,
// before the write is sent.
func (q *Quota) write(st *accountState, s *partState, row store.Lease, now time.Time) {
	s.attempts = append(s.attempts, writeAttempt{row: row, oldRenewal: s.row.Renewal, sentAt: now})
	s.pendingRenewal = row.Renewal
	if s.held() {
		q.updateLeaseEnd(st, s, now)
	}
	q.emit(SwapLease{Old: s.row, New: row})
}

func (q *Quota) handleSwapDone(m SwapDone, now time.Time) {
	st := q.account(m.New.Key.Account)
	s := st.part(m.New.Key, now)
	if s.pendingRenewal == m.New.Renewal {
		s.pendingRenewal = 0
	}
	if m.Result != SwapOK {
		s.retryAt = now.Add(q.jitter(q.timing.Retry))
		q.requestRead(now)
		return
	}
	if _, ours := s.findAttempt(m.New); !ours {
		return // a later state of the row was already seen
	}
	s.writtenAt = now
	q.observe(st, s, m.New, now)
	if m.New.Holder == "" {
		q.emit(Record{Kind: LeaseReleased, Account: st.account})
	}
}
