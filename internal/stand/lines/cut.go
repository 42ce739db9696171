package lines

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

const (
	// lossSlack is how soon after a statement was sent its connection may end
	// without an answer if no server has received the statement.
	lossSlack = 200 * time.Millisecond
	// lastSixth is when the last sixth of the grace period begins.
	lastSixth = grace * 5 / 6
	// earlySending is how long after SIGTERM a statement may be sent that a
	// server is still running in the last sixth of the grace period.
	earlySending = 3 * time.Second
	// stopMargin is how much longer than its grace a stop may cut statements.
	stopMargin = time.Second
	// killMargin is how long the connections of a killed process may stay open.
	killMargin = time.Second
)

// Closed is a statement whose connection ended before its answer was complete.
type Closed struct {
	Request string
	Front   string
	Sent    time.Time // when its last byte was sent, zero if sending failed
	Ended   time.Time
	Ending  emul.Ending
	Partial bool // part of the answer was received
}

// waited returns how long after sending the connection ended.
func (c Closed) waited() time.Duration { return c.Ended.Sub(c.Sent) }

// Verdict is what the end of a connection means for its statement.
type Verdict string

// The verdicts. The first two are violations.
const (
	CutAtServer Verdict = "reached a server, unanswered"
	CutRead     Verdict = "read, unanswered"
	OnlySent    Verdict = "sent and not read"
	Abandoned   Verdict = "the caller gave up"
	Killed      Verdict = "the instance was killed"
	TimedOut    Verdict = "the route's timeout was reached"
	AtWork      Verdict = "the server was at work in the last sixth of the grace"
)

// IsViolation reports whether the instance owed an answer.
func (v Verdict) IsViolation() bool { return v == CutAtServer || v == CutRead }

// Event is something that happened to the process behind a front.
type Event struct {
	Front string
	At    time.Time
}

// History is what a run knows about the statements and the instances.
type History struct {
	// Received are the statements that a server received, Runs those that it ran.
	Received map[string]bool
	Runs     map[string][]emul.Run
	Stops    []Event // SIGTERM to a process that was not stopping
	Kills    []Event // SIGKILL by a fault
	Stalls   []Stall // of the callers' process
	// RouteTimeout is the timeout of all routes.
	RouteTimeout time.Duration
}

// Judge returns the verdict on a statement.
func (h *History) Judge(c Closed) Verdict {
	atServer := h.Received[c.Request]
	read := c.Partial || c.Ending == emul.Orderly && c.waited()-h.stalled(c) > lossSlack
	switch {
	case c.Ending == emul.GaveUp:
		return Abandoned
	case h.killed(c):
		return Killed
	case !atServer && (!read || c.Sent.IsZero()):
		return OnlySent
	case !c.Sent.IsZero() && c.waited() >= h.RouteTimeout:
		return TimedOut
	case h.atWork(c):
		return AtWork
	case atServer:
		return CutAtServer
	}
	return CutRead
}

// stalled returns how late the end of a connection may have been noticed.
func (h *History) stalled(c Closed) time.Duration {
	var total time.Duration
	for _, s := range h.Stalls {
		total += s.within(c.Sent, c.Ended)
	}
	return total
}

// killed reports whether the end of the connection follows a kill of the
// process that it led to.
func (h *History) killed(c Closed) bool {
	for _, k := range h.Kills {
		if k.Front == c.Front && !c.Ended.Before(k.At) && c.Ended.Before(k.At.Add(killMargin)) {
			return true
		}
	}
	return false
}

// atWork reports whether a server was still running a statement in the last
// sixth of the grace period that had been sent early in the stop.
func (h *History) atWork(c Closed) bool {
	s, ok := h.stop(c)
	if !ok || c.Sent.After(s.At.Add(earlySending)) {
		return false
	}
	for _, r := range h.Runs[c.Request] {
		if r.Began.Before(c.Ended) && r.Began.Before(s.At.Add(grace)) && r.Ended.After(s.At.Add(lastSixth)) {
			return true
		}
	}
	return false
}

// stop returns the graceful stop during which a connection ended.
func (h *History) stop(c Closed) (Event, bool) {
	var last Event
	for _, s := range h.Stops {
		during := !c.Ended.Before(s.At) && !c.Ended.After(s.At.Add(grace+stopMargin))
		if s.Front == c.Front && during && s.At.After(last.At) {
			last = s
		}
	}
	return last, !last.At.IsZero()
}

// Describe returns the verdict on a statement with its times since SIGTERM.
func (h *History) Describe(c Closed) string {
	text := fmt.Sprintf("%s at %s: %s, %s", c.Request, c.Front, h.Judge(c), c.Ending)
	if c.Partial {
		text += " after part of the answer"
	}
	if c.Sent.IsZero() {
		text += ", not all sent"
	} else {
		text += fmt.Sprintf(" %s after sending", round(c.waited()))
	}
	s, ok := h.stop(c)
	if !ok {
		return text + ", outside of a stop"
	}
	if !c.Sent.IsZero() {
		text += fmt.Sprintf(", sent %s", round(c.Sent.Sub(s.At)))
	}
	return text + fmt.Sprintf(", ended %s after SIGTERM", round(c.Ended.Sub(s.At)))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
