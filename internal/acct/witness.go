package acct

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A lease is long, so that it outlives an outage of the store, yet a part of a
// crashed holder should be in use again soon. Each row therefore names a
// witness. The holder spends only while its witness has lately promised not to
// take the part, or while its last write is recent; the witness, and nobody
// else, may take the part once both have run out. Everyone else waits for the
// whole length. Neither needs the other's clock: the holder counts a promise
// from its question and a write from before it was sent, the witness counts
// from its last answer and from when it saw the row.

// shunFor is how long a silent instance is not named as a witness.
const shunFor = 30 * time.Second

// witness is what a holder knows about an instance that it asks.
type witness struct {
	nonce    uint64
	sent     time.Time // of the question in flight or the last one
	answered time.Time // when the last promise arrived
	until    time.Time // to which the last promise holds
	since    time.Time // when it was first asked
}

// silent reports whether the witness has not answered for half a promise.
func (w *witness) silent(now time.Time, length time.Duration) bool {
	heard := w.answered
	if heard.Before(w.since) {
		heard = w.since
	}
	return now.Sub(heard) > length/2
}

// keepWitnesses asks the witnesses of the parts held here, each once for all
// its parts.
func (q *Quota) keepWitnesses(now time.Time) {
	needed := q.witnessed()
	for id := range q.witnesses {
		if needed[id] == nil {
			delete(q.witnesses, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(needed)) {
		q.askWitness(id, needed[id], now)
	}
}

// witnessed returns the leases held here by the witnesses that may take them.
func (q *Quota) witnessed() map[ident.Instance][]peer.LeaseRef {
	needed := make(map[ident.Instance][]peer.LeaseRef)
	for _, a := range q.order {
		for _, s := range q.ledgers[a].shares {
			if !s.mine() {
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

func (q *Quota) askWitness(id ident.Instance, leases []peer.LeaseRef, now time.Time) {
	w := q.witnesses[id]
	if w == nil {
		w = &witness{since: now}
		q.witnesses[id] = w
	}
	if !w.sent.IsZero() && now.Sub(w.sent) < q.timing.Promise/4 {
		return
	}
	w.nonce = q.random.Uint64() | 1
	w.sent = now
	q.do(SendPeer{To: id, Message: peer.LeaseRequest{Nonce: w.nonce, Leases: leases}})
}

// witnessAsked promises the asker to leave it its leases, unless this instance
// took one of them, or has begun to: such a write may take effect at any time.
func (q *Quota) witnessAsked(m WitnessAsked, now time.Time) {
	if q.stopping || slices.ContainsFunc(m.Ask.Leases, q.took) {
		return
	}
	q.promised[m.From] = now
	q.do(SendPeer{To: m.From, Message: peer.LeasePromise{Nonce: m.Ask.Nonce, Length: q.timing.Promise}})
}

func (q *Quota) took(ref peer.LeaseRef) bool {
	l := q.ledgers[ref.Account]
	if l == nil {
		return false
	}
	s := l.find(ref.Part)
	return s != nil && (s.mine() || len(s.attempts) > 0 || s.row.Epoch > ref.Epoch)
}

// witnessAnswered extends every part that the witness may take.
func (q *Quota) witnessAnswered(m WitnessAnswered, now time.Time) {
	w := q.witnesses[m.From]
	if w == nil || w.nonce != m.Hold.Nonce {
		return
	}
	w.answered = now
	w.until = w.sent.Add(m.Hold.Length)
	for _, a := range q.order {
		l := q.ledgers[a]
		for _, s := range l.shares {
			if s.mine() {
				q.extend(l, s, now)
			}
		}
	}
}

// safeUntil returns to when the holder may spend if the row is as given: until
// the witness may take it, and never longer than the lease.
func (q *Quota) safeUntil(row store.Lease, sent time.Time) time.Time {
	end := sent.Add(row.Length)
	if row.Witness == "" {
		return end
	}
	early := sent.Add(q.timing.Promise)
	if w := q.witnesses[row.Witness]; w != nil && w.until.After(early) {
		early = w.until
	}
	return earlier(end, early)
}

// witnessFree returns from when this instance, as the witness, may take the
// part from its holder.
func (q *Quota) witnessFree(s *share) time.Time {
	since := s.seen
	if p := q.promised[s.row.Holder]; p.After(since) {
		since = p
	}
	return since.Add(q.timing.Promise + q.timing.Promise/driftShare)
}

// chooseWitness returns the best ranked instance that answers, nobody when
// none does.
func (q *Quota) chooseWitness(l *ledger, s *share, now time.Time) ident.Instance {
	i := indexOf(s.key.Part)
	if !l.current(s) || i >= len(l.placement.orders) {
		return s.row.Witness
	}
	for _, id := range l.placement.orders[i] {
		if id != q.self && !q.shuns(id, now) {
			return id
		}
	}
	return ""
}

// shuns reports whether an instance was silent lately.
func (q *Quota) shuns(id ident.Instance, now time.Time) bool {
	if w := q.witnesses[id]; w != nil && w.silent(now, q.timing.Promise) {
		q.shunned[id] = now.Add(shunFor)
	}
	return now.Before(q.shunned[id])
}

// witnessFails reports whether the part needs another witness, there is one,
// and the store can be told.
func (q *Quota) witnessFails(l *ledger, s *share, now time.Time) bool {
	if now.Sub(q.lastRead) > 3*q.timing.Poll {
		return false
	}
	if s.row.Witness != "" && !q.shuns(s.row.Witness, now) {
		return false
	}
	return q.chooseWitness(l, s, now) != s.row.Witness
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
