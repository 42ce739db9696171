package soak

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// interval bounds the time at which a request was admitted: after it was sent
// and before it was answered.
type interval struct {
	sent, answered time.Time
}

// Excess is a window with the number of requests of an account that were
// certainly admitted in it, and the number that its rate and burst allow.
type Excess struct {
	From, Until time.Time
	Admitted    int
	Allowed     float64
}

// worstWindow checks the bound Rate x T + Burst for every window and returns
// the window with the highest excess, which may be negative. A request counts
// in a window only if it was both sent and answered in it, so an excess is
// never a false alarm.
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

// Exceeded reports whether more requests were admitted in the window than the
// bound allows.
func (e *Excess) Exceeded() bool { return e.over() > 0 }
