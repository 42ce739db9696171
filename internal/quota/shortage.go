package quota

import "time"

const (
	// shortageTime is how long an account counts as short after a refusal.
	shortageTime = time.Second
	// nearlyEmpty is the fraction of the burst below which an account is short.
	nearlyEmpty = 0.25
	// localDenial is how long an instance refuses operations without a request
	// when the quota owner has promised all tokens up to the horizon. It bounds
	// the messages of an account far beyond its quota.
	localDenial = 50 * time.Millisecond
	// minRetry is the shortest retry time.
	minRetry = time.Millisecond
)

// shortage is what an instance knows of an account that is beyond its quota.
// While the account is short, nothing is requested ahead of need.
type shortage struct {
	until time.Time
	// denials are the denials that no waiting operation has taken yet.
	denials []denial
	// kept are the times from which the quota owner keeps a token for this
	// instance.
	kept        []time.Time
	deniedUntil time.Time // operations are refused without a request until then
	retries     retryTimes
}

// denial is a reply of the quota owner that grants nothing.
type denial struct{ receivedAt, retryAt time.Time }

// note records that the account is short.
func (s *shortage) note(now time.Time) { s.until = now.Add(shortageTime) }

// isShort reports whether the account is short.
func (s *shortage) isShort(now time.Time) bool { return now.Before(s.until) }

// deny records a denial.
func (s *shortage) deny(now time.Time, retryIn time.Duration) {
	s.note(now)
	s.denials = append(s.denials, denial{receivedAt: now, retryAt: now.Add(retryIn)})
	if retryIn > promiseHorizon {
		s.deniedUntil = now.Add(localDenial)
	} else {
		s.kept = append(s.kept, now.Add(retryIn))
	}
}

// take returns a denial for a waiting operation. Denials of operations that have
// ceased to wait are dropped.
func (s *shortage) take(now time.Time) (retryIn time.Duration, ok bool) {
	for len(s.denials) > 0 {
		d := s.denials[0]
		s.denials = s.denials[1:]
		if now.Sub(d.receivedAt) < requestTimeout {
			return max(minRetry, d.retryAt.Sub(now)), true
		}
	}
	return 0, false
}

// denyLocally reports whether an operation is refused without a request. One for
// which the quota owner keeps a token is not.
func (s *shortage) denyLocally(now time.Time) (retryIn time.Duration, denied bool) {
	for len(s.kept) > 0 && now.Sub(s.kept[0]) > promiseGrace {
		s.kept = s.kept[1:]
	}
	if len(s.kept) > 0 && !now.Before(s.kept[0]) {
		s.kept = s.kept[1:]
		return 0, false
	}
	if !now.Before(s.deniedUntil) {
		return 0, false
	}
	return promiseHorizon + s.retries.next(now), true
}
