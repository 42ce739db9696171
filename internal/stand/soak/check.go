package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Gap is the longest time without an acknowledged write in a group around a
// fault in that group.
type Gap struct {
	Group   ident.Group
	Fault   string
	Seconds float64
}

// gapMargin is how long after the end of a fault a gap still counts.
const gapMargin = 10 * time.Second

// longestGap returns the longest time between two consecutive acknowledged
// writes, among those pairs that overlap the span.
func longestGap(acks []time.Time, from, until time.Time) time.Duration {
	slices.SortFunc(acks, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(acks); i++ {
		if acks[i].After(from) && acks[i-1].Before(until) {
			longest = max(longest, acks[i].Sub(acks[i-1]))
		}
	}
	return longest
}

// acksOf returns when the writes of a group were acknowledged.
func acksOf(all []load.Attempt, g ident.Group) []time.Time {
	var acks []time.Time
	for _, a := range all {
		if a.Group == g && a.Outcome == load.Answered && (a.Kind == load.Order || a.Kind == load.Booking) {
			acks = append(acks, a.Ended)
		}
	}
	return acks
}

// admitted returns the intervals in which an account's requests were admitted.
func admitted(all []load.Attempt, account ident.Account) []interval {
	var out []interval
	for _, a := range all {
		if a.Account == account && a.Outcome == load.Answered {
			out = append(out, interval{a.Sent, a.Ended})
		}
	}
	return out
}

// cutByDrain returns the attempts that a graceful stop interrupted: the
// connection was lost with the outcome unknown while the proxy stopped, before
// the caller's timeout, and no other fault had hit that proxy.
func cutByDrain(all []load.Attempt, drain *InjectedFault, faults []*InjectedFault, timeout time.Duration) []string {
	const margin = 200 * time.Millisecond
	for _, o := range faults {
		if o != drain && o.onProxy() && o.Target == drain.Target && o.From.Before(drain.Until.Add(margin)) && o.Until.After(drain.From.Add(-timeout)) {
			return nil
		}
	}
	var wrong []string
	for _, a := range all {
		inside := a.Ended.After(drain.From) && a.Ended.Before(drain.Until.Add(margin)) && a.Sent.Before(drain.Until)
		if inside && a.Proxy == drain.Proxy && a.Outcome == load.Unknown && a.Code == load.ConnLost && a.Ended.Sub(a.Sent) < timeout-margin {
			wrong = append(wrong, fmt.Sprintf("%s interrupted request %s (%s) of %s during its graceful stop; sent %.3f s after the start of the stop and ended after %.3f s: %s",
				drain.Target, a.ID, a.Kind, a.Account, a.Sent.Sub(drain.From).Seconds(), a.Ended.Sub(a.Sent).Seconds(), a.Cause))
		}
	}
	return wrong
}
