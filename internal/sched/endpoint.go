package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// slotSlack is the number of calls an endpoint may receive beyond its
	// slots. It keeps a slot busy during the round trip between two calls.
	slotSlack = 1
	// behindPause is how long reads avoid a replica that lacked a position.
	// Reads of positions that it is known to hold are not affected.
	behindPause = 100 * time.Millisecond
	// saturatedPause is how long calls avoid an endpoint that had no free slot.
	saturatedPause = 20 * time.Millisecond
	// unresponsivePause is how long reads avoid an endpoint that did not
	// answer.
	unresponsivePause = time.Second
	// connLimitPause is how long a refused connection limits the number of
	// connections that this instance opens to the endpoint to those that it has.
	// Connections of other instances end at any time, and callers wait meanwhile.
	connLimitPause = 200 * time.Millisecond
	// connLimitRetry is the pause after the endpoint has refused the only
	// connection. It doubles with each further refusal, up to connLimitPause.
	connLimitRetry = 50 * time.Millisecond
	// dialBackoff is the pause after a failed dial. It doubles with each further
	// failure, up to maxDialBackoff.
	dialBackoff    = 200 * time.Millisecond
	maxDialBackoff = 800 * time.Millisecond
)

// endpoint is the state of one server of the group.
type endpoint struct {
	Endpoint
	conns            map[ConnID]*conn // including those being dialled
	active           int              // dials and calls that occupy a slot
	position         ident.LogPosition
	readsPausedUntil time.Time // no reads until then
	behindUntil      time.Time // only reads up to position until then
	saturatedUntil   time.Time // no calls until then
	noDialUntil      time.Time // no dials until then
	failedDials      int       // dials that failed one after the other
	connLimitUntil   time.Time // connLimit applies until then
	connLimit        int       // connections allowed until connLimitUntil
	refusedConns     int       // refused one after the other while there was none
	work             workTime
	roundTrip        roundTrip
	drainingSince    time.Time // zero while the endpoint is not draining
	drainingFirst    bool      // it was draining when it was first listed, since an unknown time
	removed          bool
	cold             *coldState
	outcomes         outcomeWindow
	ejection         ejection
	answers          answers
}

func newEndpoint() *endpoint { return &endpoint{conns: make(map[ConnID]*conn)} }

// dialFailed pauses dials and reads after a failed dial.
func (e *endpoint) dialFailed(now time.Time) {
	pause := min(dialBackoff<<min(e.failedDials, 8), maxDialBackoff)
	e.failedDials++
	e.noDialUntil = now.Add(pause)
	e.readsPausedUntil = now.Add(pause)
}

// connRefused limits the connections to those that are open, after the endpoint
// has refused a further one. They still pass from account to account.
func (e *endpoint) connRefused(now time.Time) {
	open := len(e.conns) - 1
	e.connLimit, e.connLimitUntil = max(1, open), now.Add(connLimitPause)
	if open == 0 {
		e.noDialUntil = now.Add(min(connLimitRetry<<min(e.refusedConns, 8), connLimitPause))
		e.refusedConns++
	}
}

// usableAt returns when a call of the account may be sent to the endpoint,
// disregarding its load.
func (e *endpoint) usableAt(now time.Time, account ident.Account) time.Time {
	if e.idleConn(account) != nil || e.dialsFor(account) || !now.Before(e.noDialUntil) {
		return now
	}
	return e.noDialUntil
}

// dialsFor reports whether a connection is being opened for the account.
func (e *endpoint) dialsFor(account ident.Account) bool {
	for _, c := range e.conns {
		if c.account == account && c.state == dialling {
			return true
		}
	}
	return false
}

// atConnLimit reports whether no further connection may be opened.
func (e *endpoint) atConnLimit(now time.Time, share int) bool {
	return len(e.conns) >= e.maxConns(now, share)
}

// drainExpired reports whether the endpoint has been draining for longer than
// limit, or since an unknown time, and may no longer be used. A limit of zero
// never expires.
func (e *endpoint) drainExpired(now time.Time, limit time.Duration) bool {
	return limit > 0 && !e.drainingSince.IsZero() && (e.drainingFirst || now.Sub(e.drainingSince) > limit)
}

func (e *endpoint) hasSlot(now time.Time) bool {
	limit := max(1, e.Slots) + slotSlack
	return !now.Before(e.saturatedUntil) && (e.active < limit || e.occupied(now) < limit)
}

func (e *endpoint) maxConns(now time.Time, share int) int {
	if now.Before(e.connLimitUntil) {
		return min(share, e.connLimit)
	}
	return share
}

func (e *endpoint) observe(m EndpointObserved) {
	if m.Position.Covers(e.position) || m.Position.Term > e.position.Term {
		e.position = m.Position
	}
}

func (e *endpoint) recordFailure(kind FailureKind, now time.Time) {
	switch kind {
	case Behind:
		e.behindUntil = now.Add(behindPause)
	case Saturated:
		e.saturatedUntil = now.Add(saturatedPause)
		e.answers.refused(now)
	case Unresponsive:
		e.readsPausedUntil = now.Add(unresponsivePause)
	}
}

// idleConn returns the account's most recently used idle connection, or nil.
func (e *endpoint) idleConn(account ident.Account) *conn {
	var best *conn
	for _, c := range e.conns {
		if c.account != account || c.state != idle {
			continue
		}
		if best == nil || c.since.After(best.since) || c.since.Equal(best.since) && c.id < best.id {
			best = c
		}
	}
	return best
}

// oldestIdle returns the connection that has been idle for longest, or nil.
func (e *endpoint) oldestIdle() *conn {
	var best *conn
	for _, c := range e.conns {
		if c.state != idle {
			continue
		}
		if best == nil || c.since.Before(best.since) || c.since.Equal(best.since) && c.id < best.id {
			best = c
		}
	}
	return best
}

// connState is the state of an endpoint connection.
type connState uint8

const (
	dialling connState = iota + 1
	idle
	running
	idleInTx // inside a transaction, between statements
)

// conn is one endpoint connection. It belongs to the same account until it is
// closed.
type conn struct {
	id       ConnID
	endpoint *endpoint
	account  ident.Account
	state    connState
	since    time.Time
	aborted  bool // AbortConn was sent
}

func (c *conn) takesSlot() bool { return c.state == dialling || c.state == running }
