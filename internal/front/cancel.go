package front

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
)

const cancelTimeout = 2 * time.Second

// cancel passes a caller's cancel request on to the endpoint that runs its
// statement, if the statement still runs.
func (s *Server) cancel(body []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(body) != nil || len(m.SecretKey) != 4 {
		return
	}
	se, ok := s.sessions.Load(m.ProcessID)
	if !ok || se.secret != binary.BigEndian.Uint32(m.SecretKey) {
		return
	}
	target, ok := se.strike()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(s.group.Context(), cancelTimeout)
	defer stop()
	if err := target.Send(ctx); err != nil {
		klog.V(2).InfoS("Cancel failed", "session", se.id, "err", err)
	}
}

// strike returns the running statement's cancel. Its connection is not reused
// for another request, which a late cancel would hit.
func (s *session) strike() (back.Cancel, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return back.Cancel{}, false
	}
	s.struck = true
	return *s.running, true
}

func (s *session) setRunning(c *back.Cancel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = c
}

// wasStruck reports whether a cancel was sent for the lent connection, and
// forgets it.
func (s *session) wasStruck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	struck := s.struck
	s.struck = false
	return struck
}
