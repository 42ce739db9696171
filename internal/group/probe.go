package group

import "time"

// hurryGap is the shortest time between two probes of an endpoint.
const hurryGap = 20 * time.Millisecond

// probe asks for the statuses that are due.
func (w *Elector) probe() {
	every := w.interval()
	for _, m := range w.members {
		if m.probing || w.now.Before(m.probedAt.Add(m.gap(every))) {
			continue
		}
		m.probing, m.hurry = true, false
		m.probedAt = w.now
		w.put(Probe{Endpoint: m.endpoint.Name})
	}
}

// gap returns the time from the latest probe to the next, shorter in a hurry.
func (m *member) gap(every time.Duration) time.Duration {
	if m.hurry {
		return min(every, hurryGap)
	}
	return every
}

// interval returns the time from one probe of an endpoint to the next. Only
// the first in rank probe often; the others do while something is wrong.
func (w *Elector) interval() time.Duration {
	if w.place < w.bounds.Watchers || w.now.Before(w.hurryUntil) || w.attempt != nil || w.troubled() {
		return w.bounds.ProbeEvery
	}
	return w.bounds.ProbeSlowly
}

// troubled reports whether the primary seems to be missing, or a server does
// not follow it.
func (w *Elector) troubled() bool {
	p := w.find(w.primary)
	if p == nil || p.failed > 0 || !w.healthy() {
		return true
	}
	for _, m := range w.members {
		if m != p && m.known() && m.failed == 0 && (w.misses(m) || m.status.Sealed > w.term) {
			return true
		}
	}
	return false
}
