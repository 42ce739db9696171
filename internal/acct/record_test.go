package acct

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// accountRecord counts what happened to one account's requests.
type accountRecord struct {
	rate, burst       ident.Tokens // largest of all documents
	admittedAt        []time.Time
	offered           int
	refused           int
	wronglyRefused    int // refused although a central bucket had a token
	centralRefilledAt time.Time
	centralLevel      float64
	parts             map[ident.Part]*partRecord
}

// raiseBound raises the account's bound to what a document allows.
func (r *accountRecord) raiseBound(a envdoc.Account) {
	r.rate, r.burst = max(r.rate, a.Rate), max(r.burst, a.Burst)
	d := newDivision(a.Rate, a.Burst)
	for i := range d.parts {
		p := r.parts[d.part(i)]
		if p == nil {
			p = &partRecord{interval: int64(d.interval())}
			r.parts[d.part(i)] = p
		}
		p.burst = max(p.burst, int64(d.burstOf(i)))
		p.interval = min(p.interval, int64(d.interval()))
	}
}

// partRecord records what all instances spent from one part.
type partRecord struct {
	interval int64
	burst    int64
	spentAt  []time.Time
}

// excess returns by how much, in thousandths of a token, the admissions
// exceeded rate x T + burst in the worst window, for the account and for each
// of its parts.
func (r *accountRecord) excess() int64 {
	worst := windowExcess(r.admittedAt, int64(time.Second), int64(r.rate), int64(r.burst))
	for _, p := range r.parts {
		worst = max(worst, windowExcess(p.spentAt, p.interval, 1, p.burst))
	}
	return worst
}

// windowExcess compares each admission with the worst earlier start of a
// window, in one pass. A token takes unit nanoseconds at rate 1.
func windowExcess(times []time.Time, unit, rate, burst int64) int64 {
	slices.SortFunc(times, time.Time.Compare)
	low, worst := int64(0), int64(-1<<52)
	for k, t := range times {
		f := int64(k)*unit - rate*int64(t.Sub(times[0]))
		if k == 0 || f < low {
			low = f
		}
		worst = max(worst, f-low+unit-burst*unit)
	}
	return worst * 1000 / unit
}

func (r *accountRecord) refillCentral(now time.Time) {
	if r.centralRefilledAt.IsZero() {
		r.centralLevel = 0
	} else {
		r.centralLevel = min(float64(r.burst), r.centralLevel+now.Sub(r.centralRefilledAt).Seconds()*float64(r.rate))
	}
	r.centralRefilledAt = now
}

func (r *accountRecord) admit(now time.Time) {
	r.refillCentral(now)
	r.centralLevel--
	r.admittedAt = append(r.admittedAt, now)
}

func (r *accountRecord) refuse(now time.Time) {
	r.refillCentral(now)
	r.refused++
	if r.centralLevel >= 1 {
		r.wronglyRefused++
	}
}

func (r *accountRecord) wrongfulShare() float64 {
	return float64(r.wronglyRefused) / float64(max(1, r.offered))
}
