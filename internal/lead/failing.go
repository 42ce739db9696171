package lead

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// failingValidity is how long a report counts that the primary serves badly.
	// While it does, the report is repeated several times in this period.
	failingValidity = 200 * time.Millisecond
	// failingSwitchPause is the minimum time from a change of primary, or the
	// latest attempt of such a switch, to a switch because the primary serves
	// badly. It doubles up to maxFailingSwitchPause with each switch that follows
	// the latest change within twice the pause: changes don't help a group in
	// which every endpoint serves badly as primary.
	failingSwitchPause    = 10 * time.Second
	maxFailingSwitchPause = 80 * time.Second
)

// failingPrimary is what is known of a primary that answers control statements
// and serves badly: it fails most calls, or is overloaded because its replicas
// lag.
type failingPrimary struct {
	since      time.Time        // first report after a period without a valid one
	reportedAt time.Time        // latest report, zero before the first one
	kind       FailureKind      // of the latest report
	unfit      []ident.Endpoint // replicas that fail calls themselves
	// switchedAt is when the primary last changed or a switch because it served
	// badly was last attempted.
	switchedAt time.Time
	// pause is the minimum time from switchedAt to the next such switch.
	pause time.Duration
	// switching is set from the start of such a switch until the primary
	// changes.
	switching bool
}

// reason returns why the primary is replaced.
func (f *failingPrimary) reason() string {
	if f.kind == ReplicasLag {
		return "it is overloaded because its replicas lag"
	}
	return "it fails most calls"
}

// paused reports whether it is too early for another switch.
func (f *failingPrimary) paused(now time.Time) bool {
	return !f.switchedAt.IsZero() && now.Sub(f.switchedAt) < max(f.pause, failingSwitchPause)
}

// switched records the start of a switch and reports whether that changed the pause.
func (f *failingPrimary) switched(now time.Time) bool {
	before := max(f.pause, failingSwitchPause)
	if !f.switchedAt.IsZero() && now.Sub(f.switchedAt) < 2*before {
		f.pause = min(2*before, maxFailingSwitchPause)
	} else {
		f.pause = failingSwitchPause
	}
	f.switchedAt = now
	return f.pause != before
}

// reported reports whether the latest report is still valid.
func (f *failingPrimary) reported(now time.Time) bool {
	return !f.reportedAt.IsZero() && now.Sub(f.reportedAt) <= failingValidity
}

// primaryFailing records a report that the primary serves badly.
func (el *Elector) primaryFailing(now time.Time, m EndpointFailure) {
	if m.Endpoint != el.primary {
		return
	}
	if !el.failing.reported(now) {
		el.failing.since = now
	}
	el.failing.reportedAt, el.failing.kind, el.failing.unfit = now, m.Kind, m.Unfit
}

// mustReplaceFailing reports whether a primary that serves badly is to be
// replaced now. It probes the replicas first: the switch needs a seal from each
// of them, and seals of a switch that is not completed stay in place. If such
// seals are left, the latest report stays valid.
func (el *Elector) mustReplaceFailing(now time.Time) bool {
	paused := el.failing.paused(now)
	if !paused && el.failing.switching && el.replicaSealed() {
		el.primaryFailing(now, EndpointFailure{Endpoint: el.primary, Kind: el.failing.kind, Unfit: el.failing.unfit})
	}
	if !el.failing.reported(now) {
		el.failing.unfit = nil
		return false
	}
	if paused {
		return false
	}
	el.probeAll(now)
	for id, s := range el.sortedServers() {
		if id != el.primary && !s.answeredSince(el.failing.since) {
			return false
		}
	}
	return el.successor() != nil && el.epoch != 0
}

// unfit reports whether a replica may not become the primary because it fails
// calls itself.
func (el *Elector) unfit(id ident.Endpoint) bool { return slices.Contains(el.failing.unfit, id) }

// startSwitch starts to replace a primary that still answers. failing is set if
// the reason is that it serves badly.
func (el *Elector) startSwitch(now time.Time, reason string, failing bool) {
	el.clearTarget()
	el.failing.switching = failing
	if failing && el.failing.switched(now) {
		el.emit(SwitchPauseChanged{Pause: el.failing.pause})
	}
	el.setState(now, Switching, reason)
}

// afterRefusal returns the state after a refused promotion: a primary that
// answers control statements and was to be replaced because of its failures
// stays in place.
func (el *Elector) afterRefusal() State {
	if el.failing.switching && el.unusableSince.IsZero() {
		return Doubting
	}
	return Sealing
}
