package roster

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// settleTime is how long a primary stays in a data centre before the ownership
// of its group follows it. A new owner has to open all connections again.
const settleTime = 5 * time.Second

// location is the preferred data centre of a group's owner and the data centre
// of its primary.
type location struct {
	current        ident.DataCentre
	candidate      ident.DataCentre
	candidateSince time.Time // when candidate last changed
}

// PreferredLocations stores the preferred data centre of each group's owner:
// the primary's data centre, once the primary has stayed there for settleTime.
// It is not safe for concurrent use.
type PreferredLocations struct{ groups map[ident.Group]*location }

// NewPreferredLocations returns PreferredLocations without groups.
func NewPreferredLocations() *PreferredLocations {
	return &PreferredLocations{groups: make(map[ident.Group]*location)}
}

// Observe records the data centre of a group's primary.
func (p *PreferredLocations) Observe(now time.Time, g ident.Group, dc ident.DataCentre) {
	l := p.groups[g]
	if l == nil {
		l = &location{current: dc}
		p.groups[g] = l
	}
	if l.candidate != dc {
		l.candidate, l.candidateSince = dc, now
	}
}

// DataCentre returns the preferred data centre of a group's owner, or an empty
// name if it is not known.
func (p *PreferredLocations) DataCentre(now time.Time, g ident.Group) ident.DataCentre {
	l := p.groups[g]
	if l == nil {
		return ""
	}
	if now.Sub(l.candidateSince) > settleTime {
		l.current = l.candidate
	}
	return l.current
}
