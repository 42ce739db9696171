package relay

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/trace"
)

// reportLogPause is the period without a report after which the same report
// about a primary is logged again.
const reportLogPause = time.Second

// reportLog limits the log lines of a report that is repeated while its cause
// lasts.
type reportLog struct{ reportedAt time.Time }

// due records a report and reports whether it is to be logged.
func (l *reportLog) due(now time.Time) bool {
	due := now.Sub(l.reportedAt) >= reportLogPause
	l.reportedAt = now
	return due
}

// reportPrimary reports a primary that serves badly, and updates the gauge of
// ejected endpoints.
func (p *GroupPool) reportPrimary(now time.Time) {
	p.mu.Lock()
	p.updateEjected()
	failing, fails := p.scheduler.FailingPrimary(now)
	lagging, lags := p.scheduler.ReplicasLagging(now)
	logFailing := fails && p.failingLog.due(now)
	logLagging := lags && p.laggingLog.due(now)
	p.mu.Unlock()
	if logFailing {
		trace.Event("PrimaryFailing", "Group", p.group, "Endpoint", failing.Endpoint, "Outcomes", failing.Outcomes, "Accounts", failing.Accounts, "Unfit", failing.Unfit)
	}
	if logLagging {
		trace.Event("ReplicasLagging", "Group", p.group, "Endpoint", lagging.Endpoint, "Reads", lagging.Reads, "Queue", lagging.Queue.String())
	}
	switch {
	case fails:
		p.observe(failing)
	case lags:
		p.observe(lagging)
	}
}
