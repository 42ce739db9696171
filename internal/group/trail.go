package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	trailPoints = 16
	trailGap    = 25 * time.Millisecond
	// lagMargin is added to a replica's lag when its progress since the last
	// look is estimated.
	lagMargin = 10 * time.Millisecond
)

// mark notes how far the primary has come, for the estimate of how far the
// replicas have come since they were last seen. Views share the points, so
// they are copied on a change.
func (w *Elector) mark(m *member) {
	if m.endpoint.Name != w.primary || m.status.Term != w.term {
		return
	}
	count := len(w.trail)
	if count > 0 && (w.now.Sub(w.trail[count-1].At) < trailGap || w.trail[count-1].Position.Covers(m.status.Last)) {
		return
	}
	kept := w.trail[max(0, count-trailPoints+1):]
	w.trail = append(make([]PositionSample, 0, trailPoints), kept...)
	w.trail = append(w.trail, PositionSample{At: w.now, Position: m.status.Last})
}

// keepsUp reports whether a replica that was behind floor when last seen has
// probably reached it: the primary had reached it longer ago than the
// replica lags.
func (v *View) keepsUp(s *EndpointView, floor ident.LogPosition, now time.Time) bool {
	if now.Sub(s.SeenAt) > trustFor {
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
