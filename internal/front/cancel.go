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

// cancel forwards a caller's cancel request to the endpoint that runs its
// statement, if the statement is still running.
func (s *Server) cancel(body []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(body) != nil || len(m.SecretKey) != 4 {
		return
	}
	se, ok := s.sessions.Load(m.ProcessID)
	if !ok || se.secret != binary.BigEndian.Uint32(m.SecretKey) {
		return
	}
	target, ok := se.takeCancel()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(s.tasks.Context(), cancelTimeout)
	defer stop()
	if err := target.Send(ctx); err != nil {
		klog.V(2).InfoS("Cancel failed", "session", se.id, "err", err)
	}
}

// takeCancel returns the cancel request for the running statement. It marks the
// connection as not reusable, since a late cancel would hit another request.
func (s *session) takeCancel() (back.Cancel, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return back.Cancel{}, false
	}
	s.cancelSent = true
	return *s.running, true
}

// clearCancelSent reports whether a cancel was sent for the held connection,
// and resets that.
func (s *session) clearCancelSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.cancelSent
	s.cancelSent = false
	return sent
}
