package lead

import (
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Evacuated replaces the set of endpoints whose data centre is evacuated. It is
// separate from Directory, which would also repeat which endpoints were listed as
// primary, and that may be out of date.
type Evacuated struct{ Endpoints []ident.Endpoint }

func (Evacuated) message() {}

func (el *Elector) setEvacuated(m Evacuated) {
	for id, s := range el.servers {
		s.Evacuated = slices.Contains(m.Endpoints, id)
	}
}
