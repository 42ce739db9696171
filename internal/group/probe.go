package group

import "time"

// minProbeGap is the shortest time between two probes of an endpoint.
const minProbeGap = 20 * time.Millisecond

// issueProbes issues the probes that are due.
func (e *Elector) issueProbes() {
	every := e.probeInterval()
	for _, m := range e.members {
		if m.probing || e.now.Before(m.probedAt.Add(m.probeGap(every))) {
			continue
		}
		m.probing, m.probeNow = true, false
		m.probedAt = e.now
		e.issue(Probe{Endpoint: m.endpoint.Name})
	}
}

// probeGap returns the time from the start of the latest probe to the next one,
// which is shorter while probeNow is set.
func (m *member) probeGap(every time.Duration) time.Duration {
	if m.probeNow {
		return min(every, minProbeGap)
	}
	return every
}

// probeInterval returns the regular time from one probe of an endpoint to the
// next. The instances first in rank probe often; the others only while the
// group looks degraded.
func (e *Elector) probeInterval() time.Duration {
	if e.rank < e.bounds.FrequentProbers || e.now.Before(e.fastProbeUntil) || e.attempt != nil || e.degraded() {
		return e.bounds.ProbeEvery
	}
	return e.bounds.ProbeSlowly
}

// degraded reports whether the primary may be lost or a server does not follow
// it.
func (e *Elector) degraded() bool {
	p := e.find(e.primary)
	if p == nil || p.failedProbes > 0 || !e.primaryHealthy() {
		return true
	}
	for _, m := range e.members {
		if m != p && m.hasAnswered() && m.failedProbes == 0 && (e.missesPrimary(m) || m.status.Sealed > e.term) {
			return true
		}
	}
	return false
}
