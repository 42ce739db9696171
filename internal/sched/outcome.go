package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// outcomeSpan is how long an outcome counts, and outcomeSlices the number of
	// parts that the span is counted in.
	outcomeSpan   = time.Second
	outcomeSlices = 10
)

// EndpointOutcome reports how an endpoint served one statement. A refusal with
// another reason than a missing slot says nothing about the endpoint's health
// and is not reported.
type EndpointOutcome struct {
	Endpoint ident.Endpoint
	Account  ident.Account
	Result   CallResult
}

// CallResult is how an endpoint served a statement.
type CallResult uint8

// The results of a statement at an endpoint.
const (
	Succeeded CallResult = iota + 1
	// FailedCall means that the endpoint answered that it could not run the
	// statement.
	FailedCall
	// NoAnswer means that the answer was lost or late.
	NoAnswer
	// NoFreeSlot means that the endpoint had no free slot. It counts as a
	// failure if the endpoint should have had one by this instance's count.
	NoFreeSlot
)

// EndpointEjected is a log record: an endpoint gets no reads for some time.
type EndpointEjected struct {
	Endpoint ident.Endpoint
	For      time.Duration
	// Own and Rest are the outcomes of the endpoint and of the other endpoints
	// of the group that led to the decision.
	Own, Rest OutcomeCounts
}

// EndpointReturned is a log record: an ejected endpoint gets all reads again.
type EndpointReturned struct {
	Endpoint  ident.Endpoint
	Own, Rest OutcomeCounts
}

func (EndpointOutcome) message()  {}
func (EndpointEjected) command()  {}
func (EndpointReturned) command() {}

// OutcomeCounts counts outcomes by their result: Failed counts FailedCall,
// Unanswered counts NoAnswer, and Busy counts NoFreeSlot.
type OutcomeCounts struct{ Succeeded, Failed, Unanswered, Busy int }

func (c *OutcomeCounts) count(r CallResult) {
	switch r {
	case Succeeded:
		c.Succeeded++
	case FailedCall:
		c.Failed++
	case NoAnswer:
		c.Unanswered++
	case NoFreeSlot:
		c.Busy++
	}
}

func (c *OutcomeCounts) add(o OutcomeCounts) {
	c.Succeeded += o.Succeeded
	c.Failed += o.Failed
	c.Unanswered += o.Unanswered
	c.Busy += o.Busy
}

// Calls returns the number of all outcomes.
func (c OutcomeCounts) Calls() int { return c.Succeeded + c.Failures() }

// Failures returns the number of outcomes that were not a success.
func (c OutcomeCounts) Failures() int { return c.Failed + c.Unanswered + c.Busy }

// worseThan reports whether the share of failures is at least factor times that
// of the other counts. If they contain no success, it is not: the whole group then
// fails.
func (c OutcomeCounts) worseThan(other OutcomeCounts, factor int) bool {
	return other.Succeeded > 0 && c.Failures()*other.Calls() >= factor*other.Failures()*c.Calls()
}

// outcomeWindow counts the outcomes of the latest outcomeSpan in a ring of slices.
type outcomeWindow struct {
	slices [outcomeSlices]OutcomeCounts
	latest int64 // number of the newest slice since the Unix epoch
	// failedAt is when a statement of an account last failed for another reason
	// than a missing slot.
	failedAt map[ident.Account]time.Time
}

func (w *outcomeWindow) record(now time.Time, m EndpointOutcome) {
	w.advance(now)
	w.slices[w.latest%outcomeSlices].count(m.Result)
	if m.Result == FailedCall || m.Result == NoAnswer {
		if w.failedAt == nil {
			w.failedAt = make(map[ident.Account]time.Time)
		}
		w.failedAt[m.Account] = now
	}
}

// advance clears the slices that are older than the span.
func (w *outcomeWindow) advance(now time.Time) {
	number := now.UnixNano() / int64(outcomeSpan/outcomeSlices)
	if number-w.latest >= outcomeSlices {
		w.slices = [outcomeSlices]OutcomeCounts{}
		w.latest = number
	}
	for w.latest < number {
		w.latest++
		w.slices[w.latest%outcomeSlices] = OutcomeCounts{}
	}
}

// counts returns the outcomes of the span that ends now.
func (w *outcomeWindow) counts(now time.Time) OutcomeCounts {
	w.advance(now)
	var sum OutcomeCounts
	for _, c := range w.slices {
		sum.add(c)
	}
	return sum
}

// failedAccounts returns how many accounts had a failed statement in the span
// that ends now.
func (w *outcomeWindow) failedAccounts(now time.Time) int {
	for a, at := range w.failedAt {
		if now.Sub(at) >= outcomeSpan {
			delete(w.failedAt, a)
		}
	}
	return len(w.failedAt)
}
