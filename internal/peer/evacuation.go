package peer

import "github.com/marjoramrudder/marjoramrudder/pkg/ident"

// The message types for evacuations. An older instance does not know them: it
// reports no revision, so no such message is sent to it.
const (
	EvacuationRequestKind Kind = 23
	EvacuationListKind    Kind = 24
)

// EvacuationRequest requests the set of evacuated data centres. Revision is the
// sender's revision, which is older than the recipient's.
type EvacuationRequest struct{ Revision ident.Revision }

// EvacuationList carries all data centres that the operator has taken out of
// service.
type EvacuationList struct {
	Revision    ident.Revision
	DataCentres []ident.DataCentre
}

func (EvacuationRequest) message() {}
func (EvacuationList) message()    {}
