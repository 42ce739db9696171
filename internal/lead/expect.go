package lead

import "time"

const (
	// unusableShare is the time without a usable primary divided by the further
	// time that is expected.
	unusableShare = 3
	// maxExpectation limits that time, so that callers come back regularly.
	maxExpectation = 2 * time.Second
)

// announceUnusable reports that no primary is usable and when one is expected:
// after the usual time, or later if the group has been without one for long. A
// group that this instance is cut off from would otherwise be expected back
// within moments all the time, and its callers would wait in vain.
func (el *Elector) announceUnusable(now time.Time, usual time.Duration) {
	if el.unusableSince.IsZero() {
		el.unusableSince = now
	}
	further := min(now.Sub(el.unusableSince)/unusableShare, maxExpectation)
	el.expectedAt = now.Add(max(usual, further))
	el.emit(PrimaryChanged{Endpoint: el.primary, ExpectedAt: el.expectedAt})
}

// renewExpectation announces a later time once the announced one has passed.
func (el *Elector) renewExpectation(now time.Time) {
	if !el.unusableSince.IsZero() && !now.Before(el.expectedAt) {
		el.announceUnusable(now, probeInterval)
	}
}
