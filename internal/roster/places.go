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

// Places says in which data centre each group's home should be: the primary's,
// once it has stayed there. It is not safe for concurrent use.
type Places struct{ groups map[ident.Group]*place }

// NewPlaces returns Places that know no group.
func NewPlaces() *Places { return &Places{groups: make(map[ident.Group]*place)} }

// See takes the data centre of a group's primary.
func (p *Places) See(now time.Time, g ident.Group, dc ident.DataCentre) {
	l := p.groups[g]
	if l == nil {
		l = &place{near: dc}
		p.groups[g] = l
	}
	if l.next != dc {
		l.next, l.since = dc, now
	}
}

// Near returns where a group's home should be, empty if that is not known.
func (p *Places) Near(now time.Time, g ident.Group) ident.DataCentre {
	l := p.groups[g]
	if l == nil {
		return ""
	}
	if now.Sub(l.since) > settleTime {
		l.near = l.next
	}
	return l.near
}
