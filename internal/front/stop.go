package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// closeTimeout bounds how long a caller may take to read its last answers once
// the server closes.
const closeTimeout = time.Second

// errStopping refuses what the instance has no time for. Nothing of it ran.
var errStopping = fault.Refuse(fault.Stopping, time.Second, "the instance is stopping")

// isStopping reports whether ctx was cancelled, which the server's Close does,
// and has not merely reached its deadline.
func isStopping(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// end makes the session end soon. It reads nothing more, and what is under way
// is given up, so that its caller gets the answer that is known then.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	now := time.Now()
	_ = s.socket.SetReadDeadline(now)
	_ = s.socket.SetWriteDeadline(now.Add(closeTimeout))
	if s.exchange != nil {
		s.exchange.Abandon()
	}
}

func (s *session) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// limitRead sets the deadline of reads from the caller, or none if at is zero.
func (s *session) limitRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		_ = s.socket.SetReadDeadline(at)
	}
}

// limitWrite sets the deadline of writes to the caller, or none if at is zero.
func (s *session) limitWrite(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		_ = s.socket.SetWriteDeadline(at)
	}
}

// setRunning sets the connection that runs the session's batch, or nil.
func (s *session) setRunning(c *back.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange, s.running = c, nil
	if c == nil {
		return
	}
	target := c.Cancel()
	s.running = &target
	if s.ending {
		c.Abandon()
	}
}
