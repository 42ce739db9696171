package soak

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// interval is the time of an admitted request as its caller knows it: it was
// admitted after it was sent and before it was answered.
type interval struct {
	sent, answered time.Time
}

// Excess is a window in which more requests of an account were certainly
// admitted than its rate and burst allow.
type Excess struct {
	From, Until time.Time
	Admitted    int
	Allowed     float64
}

// worstWindow checks Rate x T + Burst for every window and returns the one
// that comes closest to the bound or goes beyond it most. A request counts in
// a window only when it was sent and answered inside, so an excess is never a
// false alarm.
func worstWindow(all []interval, rate, burst ident.Tokens) Excess {
	slices.SortFunc(all, func(a, b interval) int { return a.answered.Compare(b.answered) })
	var worst Excess
	found := false
	for _, first := range all {
		count := 0
		for _, x := range all {
			if x.sent.Before(first.sent) {
				continue
			}
			count++
			e := Excess{
				From: first.sent, Until: x.answered, Admitted: count,
				Allowed: float64(rate)*x.answered.Sub(first.sent).Seconds() + float64(burst),
			}
			if !found || e.over() > worst.over() {
				worst, found = e, true
			}
		}
	}
	return worst
}

func (e *Excess) over() float64 { return float64(e.Admitted) - e.Allowed }

// Broken reports whether the window breaks the bound.
func (e *Excess) Broken() bool { return e.over() > 0 }
