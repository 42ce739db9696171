package lead

import (
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Evacuated replaces the set of endpoints whose data centre is evacuated. A
// Directory would do the same, but it would also repeat which endpoints were
// listed as primary, which may be out of date.
type Evacuated struct{ Endpoints []ident.Endpoint }

func (Evacuated) message() {}

func (el *Elector) setEvacuated(m Evacuated) {
	for id, s := range el.servers {
		s.Evacuated = slices.Contains(m.Endpoints, id)
	}
}
