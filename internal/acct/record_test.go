package acct

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// simRecord is what happened to one account.
type simRecord struct {
	rate, burst ident.Tokens // largest ever
	admitted    []time.Time
	offered     int
	refused     int
	wrong       int // refused although a central bucket had a token
	refill      time.Time
	central     float64
	parts       map[ident.Part]*simPart
}

// allow raises what the account may do to what a document allows.
func (r *simRecord) allow(a envdoc.Account) {
	r.rate, r.burst = max(r.rate, a.Rate), max(r.burst, a.Burst)
	c := newCut(a.Rate, a.Burst)
	for i := range c.parts {
		p := r.parts[c.part(i)]
		if p == nil {
			p = &simPart{interval: int64(c.interval())}
			r.parts[c.part(i)] = p
		}
		p.full = max(p.full, int64(c.burstOf(i)))
		p.interval = min(p.interval, int64(c.interval()))
	}
}

// simPart is what was spent from one part, by whomever.
type simPart struct {
	interval int64
	full     int64
	spent    []time.Time
}

// excess returns by how much, in thousandths of a token, the admissions
// exceeded rate x T + burst in the worst window, over the account and over
// each of its parts.
func (r *simRecord) excess() int64 {
	worst := windowExcess(r.admitted, int64(time.Second), int64(r.rate), int64(r.burst))
	for _, p := range r.parts {
		worst = max(worst, windowExcess(p.spent, p.interval, 1, p.full))
	}
	return worst
}

// windowExcess compares each admission with the best earlier start of a
// window, in one pass. A token is unit nanoseconds of time at rate.
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

func (r *simRecord) fill(now time.Time) {
	if r.refill.IsZero() {
		r.central = 0
	} else {
		r.central = min(float64(r.burst), r.central+now.Sub(r.refill).Seconds()*float64(r.rate))
	}
	r.refill = now
}

func (r *simRecord) admit(now time.Time) {
	r.fill(now)
	r.central--
	r.admitted = append(r.admitted, now)
}

func (r *simRecord) refuse(now time.Time) {
	r.fill(now)
	r.refused++
	if r.central >= 1 {
		r.wrong++
	}
}

func (r *simRecord) wrongShare() float64 { return float64(r.wrong) / float64(max(1, r.offered)) }
