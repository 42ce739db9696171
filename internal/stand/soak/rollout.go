package soak

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// spreadBound is the time in which an accepted version must be in force, and
// in which a withdrawn key must be refused.
const spreadBound = 9 * time.Second

// spreadCheck decides whether versions go back or spread too late.
type spreadCheck struct {
	accepted  []acceptance
	proxies   map[ident.Instance]*seenProxy
	storeDown bool
	slowest   time.Duration
}

func newSpreadCheck() *spreadCheck { return &spreadCheck{proxies: map[ident.Instance]*seenProxy{}} }

// acceptance is a version with the time at which its author knew of it.
type acceptance struct {
	version ident.Version
	at      time.Time
}

// seenProxy is what the watcher knows of one proxy.
type seenProxy struct {
	pid     int
	version ident.Version
	// touch is the time since which the proxy has run without a fault and
	// could learn from the store or from another proxy.
	touch time.Time
	up    bool
	late  ident.Version // reported as late already
}

// accept notes a version that an operator's command returned.
func (c *spreadCheck) accept(version ident.Version, now time.Time) {
	c.accepted = append(c.accepted, acceptance{version, now})
}

// setStore tells whether the platform's store is disturbed.
func (c *spreadCheck) setStore(down bool) { c.storeDown = down }

// disturb tells that a proxy was down or did not run at that time.
func (c *spreadCheck) disturb(name ident.Instance, now time.Time) {
	if p := c.proxies[name]; p != nil {
		p.touch, p.up = now, false
	}
}

// poll takes what a process of a proxy has in force and returns what is
// wrong.
func (c *spreadCheck) poll(name ident.Instance, pid int, version ident.Version, now time.Time) []string {
	p := c.proxies[name]
	if p == nil || p.pid != pid {
		p = &seenProxy{pid: pid, touch: now}
		c.proxies[name] = p
	}
	p.up = true
	var wrong []string
	if version < p.version {
		wrong = append(wrong, fmt.Sprintf("%s (process %d) went back from version %d to %d", name, pid, p.version, version))
	}
	if version > p.version {
		c.measure(p, version, now)
	}
	p.version = version
	if c.storeDown && !c.canLearn(name, version) {
		p.touch = now
	}
	if late, ok := c.late(p, now); ok && late.version > p.late {
		p.late = late.version
		wrong = append(wrong, fmt.Sprintf("%s has version %d in force %.1f s after version %d was accepted, in touch for %.1f s",
			name, version, now.Sub(late.at).Seconds(), late.version, now.Sub(p.touch).Seconds()))
	}
	return wrong
}

// measure keeps the longest time from an acceptance to a version in force.
func (c *spreadCheck) measure(p *seenProxy, version ident.Version, now time.Time) {
	for _, a := range c.accepted {
		if a.version <= version && a.version > p.version && p.touch.Before(a.at) {
			c.slowest = max(c.slowest, now.Sub(a.at))
		}
	}
}

func (c *spreadCheck) canLearn(name ident.Instance, version ident.Version) bool {
	for n, p := range c.proxies {
		if n != name && p.up && p.version > version {
			return true
		}
	}
	return false
}

// late returns a version that p should have had in force.
func (c *spreadCheck) late(p *seenProxy, now time.Time) (acceptance, bool) {
	var worst acceptance
	for _, a := range c.accepted {
		since := a.at
		if p.touch.After(since) {
			since = p.touch
		}
		if a.version > p.version && now.Sub(since) > spreadBound && a.version > worst.version {
			worst = a
		}
	}
	return worst, worst.version > 0
}
