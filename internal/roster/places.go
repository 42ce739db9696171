package roster

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// settleTime is how long a primary stays in a data centre before its group's
// home moves there: the connections are opened anew.
const settleTime = 5 * time.Second

// place is where a group's home should be, and where its primary is.
type place struct {
	near  ident.DataCentre
	next  ident.DataCentre
	since time.Time // when next last changed
}

// PreferredLocations says in which data centre each group's home should be: the
// primary's, once it has stayed there. It is not safe for concurrent use.
type PreferredLocations struct{ groups map[ident.Group]*place }

// NewPreferredLocations returns PreferredLocations that know no group.
func NewPreferredLocations() *PreferredLocations {
	return &PreferredLocations{groups: make(map[ident.Group]*place)}
}

// Observe takes the data centre of a group's primary.
func (p *PreferredLocations) Observe(now time.Time, g ident.Group, dc ident.DataCentre) {
	l := p.groups[g]
	if l == nil {
		l = &place{near: dc}
		p.groups[g] = l
	}
	if l.next != dc {
		l.next, l.since = dc, now
	}
}

// DataCentre returns where a group's home should be, empty if that is not
// known.
func (p *PreferredLocations) DataCentre(now time.Time, g ident.Group) ident.DataCentre {
	l := p.groups[g]
	if l == nil {
		return ""
	}
	if now.Sub(l.since) > settleTime {
		l.near = l.next
	}
	return l.near
}
