package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	historySize = 16
	historyGap  = 25 * time.Millisecond
	// lagMargin is added to a replica's lag when its progress since it was
	// last seen is estimated.
	lagMargin = 10 * time.Millisecond
)

// recordPosition adds the primary's log position to the history, from which the
// progress of replicas since they were last seen is estimated. Views share the
// history, so a change copies it.
func (e *Elector) recordPosition(m *member) {
	if m.endpoint.Name != e.primary || m.status.Term != e.term {
		return
	}
	count := len(e.history)
	if count > 0 && (e.now.Sub(e.history[count-1].At) < historyGap || e.history[count-1].Position.Covers(m.status.Last)) {
		return
	}
	kept := e.history[max(0, count-historySize+1):]
	e.history = append(make([]PositionSample, 0, historySize), kept...)
	e.history = append(e.history, PositionSample{At: e.now, Position: m.status.Last})
}

// likelyCaughtUp reports whether a replica that was behind floor when last seen
// has probably reached it: the primary reached it longer ago than the replica
// lags.
func (v *View) likelyCaughtUp(s *EndpointView, floor ident.LogPosition, now time.Time) bool {
	if now.Sub(s.SeenAt) > dataAgeValid {
		return false
	}
	lag := s.Status.DataAge + s.Status.DataAge/4 + lagMargin
	for i := range v.PositionHistory {
		p := &v.PositionHistory[i]
		if p.Position.Covers(floor) {
			return now.Sub(p.At) >= lag
		}
	}
	return false
}
