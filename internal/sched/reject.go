package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// RejectCause is why a call was rejected, for metrics.
type RejectCause uint8

// The causes of rejections.
const (
	NoEndpointKnown RejectCause = iota + 1
	EndpointsUnreachable
	PrimaryMissing
	NoCommits
	QueueTooLong
	QueueFull
	WaitedTooLong
)

// RejectCauses are all causes of rejections.
func RejectCauses() []RejectCause {
	return []RejectCause{NoEndpointKnown, EndpointsUnreachable, PrimaryMissing, NoCommits, QueueTooLong, QueueFull, WaitedTooLong}
}

var causeTexts = [...]struct{ name, detail string }{
	NoEndpointKnown:      {"NoEndpointKnown", "no endpoint of the group is known"},
	EndpointsUnreachable: {"EndpointsUnreachable", "no endpoint of the group can be reached"},
	PrimaryMissing:       {"PrimaryMissing", "the group has no primary yet"},
	NoCommits:            {"NoCommits", "the primary can't acknowledge commits"},
	QueueTooLong:         {"QueueTooLong", "the wait queue is too long"},
	QueueFull:            {"QueueFull", "too many calls are waiting"},
	WaitedTooLong:        {"WaitedTooLong", "no connection became free in time"},
}

// String returns the name of the cause for metrics.
func (c RejectCause) String() string { return causeTexts[c].name }

// retryKey identifies the calls that wait for the same condition to pass. A
// rejection for a condition that lasts must not delay the retries of others.
type retryKey struct {
	primaryOnly bool
	cause       RejectCause
}

func newRetryKey(w *waiter, cause RejectCause) retryKey {
	if cause == QueueFull || cause == WaitedTooLong {
		cause = QueueTooLong
	}
	return retryKey{primaryOnly: w.call.PrimaryOnly, cause: cause}
}

// reject rejects a waiting or newly arrived call. A retry is expected to succeed
// from earliest on. Retries of calls that were rejected because of the load follow
// the tokens of cold endpoints.
func (s *Scheduler) reject(now time.Time, w *waiter, reason engine.Reason, cause RejectCause, earliest time.Duration) {
	key := newRetryKey(w, cause)
	plan := s.retries[key]
	if plan == nil {
		plan = &retryPlan{}
		s.retries[key] = plan
	}
	spacing := s.slotsFor(now, w.call).spacing(w.call, s.expectedService(w))
	if key.cause == QueueTooLong {
		tokens := s.tokensFor(now, w.call)
		spacing, earliest = max(spacing, tokens.spacing()), max(earliest, tokens.timeUntil(1))
	}
	retryIn := plan.reserve(now, retry{earliest: max(minRetry, earliest), spacing: spacing, timeout: w.timeout})
	s.emit(Reject{Waiter: w.id, Reason: reason, Cause: cause, RetryIn: retryIn, Detail: causeTexts[cause].detail, Waited: now.Sub(w.since)})
}

// rejectUnservable rejects a call that can't be served before the given time.
func (s *Scheduler) rejectUnservable(now time.Time, w *waiter, at time.Time) {
	reason, cause := engine.NoEndpoint, EndpointsUnreachable
	if s.requirements(now, w.call).verifyPrimary {
		reason, cause = engine.NoPrimary, PrimaryMissing
	}
	s.reject(now, w, reason, cause, at.Sub(now))
}
