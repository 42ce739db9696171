package peer

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

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

// DataCentreReturn is a data centre that returned from an evacuation, and how long
// ago.
type DataCentreReturn struct {
	_          struct{} `cbor:",toarray"`
	DataCentre ident.DataCentre
	Age        time.Duration
}

func (EvacuationRequest) message() {}
func (EvacuationList) message()    {}
