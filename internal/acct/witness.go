package acct

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A lease is long, so that it outlives an outage of the store, but the parts of
// a crashed holder should be usable again soon. Each row therefore names a
// witness. The holder spends only while a recent promise of its witness not to
// claim the part is valid, or while its last write is recent. Once both have
// expired, the witness, and no other instance, may claim the part; all others
// wait for the full length of the lease. The clocks need not be synchronised:
// the holder counts a promise from when it sent its request and a write from
// before it was sent, the witness counts from when it sent its last promise and
// from when it saw the row.

// avoidSilentFor is how long a silent instance is not chosen as a witness.
const avoidSilentFor = 30 * time.Second

// witness is what a holder knows about an instance from which it requests
// promises.
type witness struct {
	nonce         uint64    // of the latest request
	sentAt        time.Time // when the latest request was sent
	repliedAt     time.Time // when the latest promise arrived
	promisedUntil time.Time // end of the latest promise
	addedAt       time.Time // when the witness was first needed
}

// silent reports whether the witness has not replied for half the length of a
// promise.
func (w *witness) silent(now time.Time, length time.Duration) bool {
	lastReply := w.repliedAt
	if lastReply.Before(w.addedAt) {
		lastReply = w.addedAt
	}
	return now.Sub(lastReply) > length/2
}

// requestPromises requests promises from the witnesses of the parts held here,
// one for all parts of each witness.
func (q *Quota) requestPromises(now time.Time) {
	needed := q.leasesByWitness()
	for id := range q.witnesses {
		if needed[id] == nil {
			delete(q.witnesses, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(needed)) {
		q.requestPromise(id, needed[id], now)
	}
}

// leasesByWitness returns the leases held here, grouped by the witnesses that
// may claim them.
func (q *Quota) leasesByWitness() map[ident.Instance][]peer.LeaseRef {
	needed := make(map[ident.Instance][]peer.LeaseRef)
	for _, a := range q.accountNames {
		for _, s := range q.accounts[a].parts {
			if !s.held() {
				continue
			}
			ref := peer.LeaseRef{Account: a, Part: s.key.Part, Epoch: s.row.Epoch}
			for _, id := range s.witnesses() {
				needed[id] = append(needed[id], ref)
			}
		}
	}
	return needed
}

// requestPromise requests a promise unless one was requested within the last
// quarter of a promise's length.
func (q *Quota) requestPromise(id ident.Instance, leases []peer.LeaseRef, now time.Time) {
	w := q.witnesses[id]
	if w == nil {
		w = &witness{addedAt: now}
		q.witnesses[id] = w
	}
	if !w.sentAt.IsZero() && now.Sub(w.sentAt) < q.timing.Promise/4 {
		return
	}
	w.nonce = q.random.Uint64() | 1
	w.sentAt = now
	q.emit(SendPeer{To: id, Message: peer.LeaseRequest{Nonce: w.nonce, Leases: leases}})
}

// handleLeaseRequest promises a holder not to claim its leases. It sends
// nothing if this instance has claimed one of them or has begun to: such a
// write may take effect at any time.
func (q *Quota) handleLeaseRequest(m LeaseRequestReceived, now time.Time) {
	if q.stopping || slices.ContainsFunc(m.Request.Leases, q.mayHaveClaimed) {
		return
	}
	q.promisedAt[m.From] = now
	q.emit(SendPeer{To: m.From, Message: peer.LeasePromise{Nonce: m.Request.Nonce, Length: q.timing.Promise}})
}

// mayHaveClaimed reports whether this instance has claimed the part of the
// given lease, has begun to, or has seen a later epoch of it.
func (q *Quota) mayHaveClaimed(ref peer.LeaseRef) bool {
	st := q.accounts[ref.Account]
	if st == nil {
		return false
	}
	s := st.findPart(ref.Part)
	return s != nil && (s.held() || len(s.attempts) > 0 || s.row.Epoch > ref.Epoch)
}

// handleLeasePromise records a promise and extends the leases of the parts that
// its witness may claim.
func (q *Quota) handleLeasePromise(m LeasePromiseReceived, now time.Time) {
	w := q.witnesses[m.From]
	if w == nil || w.nonce != m.Promise.Nonce {
		return
	}
	w.repliedAt = now
	w.promisedUntil = w.sentAt.Add(m.Promise.Length)
	for _, a := range q.accountNames {
		st := q.accounts[a]
		for _, s := range st.parts {
			if s.held() {
				q.updateLeaseEnd(st, s, now)
			}
		}
	}
}

// spendableUntil returns until when the holder may spend, given the state of
// the row and when it was sent: until the witness may claim the part, and never
// longer than the lease.
func (q *Quota) spendableUntil(row store.Lease, sent time.Time) time.Time {
	end := sent.Add(row.Length)
	if row.Witness == "" {
		return end
	}
	claimableAt := sent.Add(q.timing.Promise)
	if w := q.witnesses[row.Witness]; w != nil && w.promisedUntil.After(claimableAt) {
		claimableAt = w.promisedUntil
	}
	return earlier(end, claimableAt)
}

// witnessClaimableAt returns when this instance, as the witness, may claim the
// part from its holder.
func (q *Quota) witnessClaimableAt(s *partState) time.Time {
	since := s.changedAt
	if p := q.promisedAt[s.row.Holder]; p.After(since) {
		since = p
	}
	return since.Add(q.timing.Promise + q.timing.Promise/driftDivisor)
}

// chooseWitness returns the highest ranked instance that responds, or "" if
// there is none.
func (q *Quota) chooseWitness(st *accountState, s *partState, now time.Time) ident.Instance {
	i := indexOf(s.key.Part)
	if !st.inDivision(s) || i >= len(st.placement.preferred) {
		return s.row.Witness
	}
	for _, id := range st.placement.preferred[i] {
		if id != q.self && !q.avoids(id, now) {
			return id
		}
	}
	return ""
}

// avoids reports whether an instance is not chosen as a witness because it is
// silent or was so within avoidSilentFor.
func (q *Quota) avoids(id ident.Instance, now time.Time) bool {
	if w := q.witnesses[id]; w != nil && w.silent(now, q.timing.Promise) {
		q.avoidedUntil[id] = now.Add(avoidSilentFor)
	}
	return now.Before(q.avoidedUntil[id])
}

// needsNewWitness reports whether the part needs another witness, one is
// available, and the store was read recently, so that it can probably be
// written.
func (q *Quota) needsNewWitness(st *accountState, s *partState, now time.Time) bool {
	if now.Sub(q.lastRead) > 3*q.timing.Poll {
		return false
	}
	if s.row.Witness != "" && !q.avoids(s.row.Witness, now) {
		return false
	}
	return q.chooseWitness(st, s, now) != s.row.Witness
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
