package soak

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// rolloutBound is the time within which an accepted version must be in force,
// and a revoked key refused.
const rolloutBound = 9 * time.Second

// rolloutCheck detects proxies whose version goes back, or that receive a
// version too late.
type rolloutCheck struct {
	accepted  []acceptance
	proxies   map[ident.Instance]*proxyState
	storeDown bool
	slowest   time.Duration
}

func newRolloutCheck() *rolloutCheck { return &rolloutCheck{proxies: map[ident.Instance]*proxyState{}} }

// acceptance is an accepted version with the time at which its author received
// the result.
type acceptance struct {
	version ident.Version
	at      time.Time
}

// proxyState is the last observed state of one proxy.
type proxyState struct {
	pid     int
	version ident.Version
	// undisturbedSince is the time since which the proxy has run without a
	// fault and has been able to receive versions from the store or from
	// another proxy.
	undisturbedSince time.Time
	up               bool
	late             ident.Version // latest version already reported as late
}

// accept records a version that an operator's command returned.
func (c *rolloutCheck) accept(version ident.Version, now time.Time) {
	c.accepted = append(c.accepted, acceptance{version, now})
}

// setStoreDown records whether a fault affects the platform's store.
func (c *rolloutCheck) setStoreDown(down bool) { c.storeDown = down }

// disturb records that a proxy was down or paused at the given time.
func (c *rolloutCheck) disturb(name ident.Instance, now time.Time) {
	if p := c.proxies[name]; p != nil {
		p.undisturbedSince, p.up = now, false
	}
}

// poll records the version that a proxy process has in force and returns the
// violations.
func (c *rolloutCheck) poll(name ident.Instance, pid int, version ident.Version, now time.Time) []string {
	p := c.proxies[name]
	if p == nil || p.pid != pid {
		p = &proxyState{pid: pid, undisturbedSince: now}
		c.proxies[name] = p
	}
	p.up = true
	var wrong []string
	if version < p.version {
		wrong = append(wrong, fmt.Sprintf("%s (process %d) reverted from version %d to %d", name, pid, p.version, version))
	}
	if version > p.version {
		c.measure(p, version, now)
	}
	p.version = version
	if c.storeDown && !c.canLearn(name, version) {
		p.undisturbedSince = now
	}
	if late, ok := c.late(p, now); ok && late.version > p.late {
		p.late = late.version
		wrong = append(wrong, fmt.Sprintf("%s has version %d in force %.1f s after version %d was accepted, undisturbed for %.1f s",
			name, version, now.Sub(late.at).Seconds(), late.version, now.Sub(p.undisturbedSince).Seconds()))
	}
	return wrong
}

// measure updates the longest time from an acceptance until the version is in
// force.
func (c *rolloutCheck) measure(p *proxyState, version ident.Version, now time.Time) {
	for _, a := range c.accepted {
		if a.version <= version && a.version > p.version && p.undisturbedSince.Before(a.at) {
			c.slowest = max(c.slowest, now.Sub(a.at))
		}
	}
}

// canLearn reports whether another proxy has a later version, so that the named
// proxy could receive it without the store.
func (c *rolloutCheck) canLearn(name ident.Instance, version ident.Version) bool {
	for n, p := range c.proxies {
		if n != name && p.up && p.version > version {
			return true
		}
	}
	return false
}

// late returns the highest version that p should already have in force, if
// there is one.
func (c *rolloutCheck) late(p *proxyState, now time.Time) (acceptance, bool) {
	var worst acceptance
	for _, a := range c.accepted {
		since := a.at
		if p.undisturbedSince.After(since) {
			since = p.undisturbedSince
		}
		if a.version > p.version && now.Sub(since) > rolloutBound && a.version > worst.version {
			worst = a
		}
	}
	return worst, worst.version > 0
}
