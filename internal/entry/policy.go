package entry

import (
	"github.com/marjoramrudder/marjoramrudder/internal/acct"
)

// Policies replaces decision-making components of a proxy, so that a whole
// process can be measured with a different policy. The zero value selects the
// default policies.
type Policies struct {
	// NewWaitQueue creates the wait queue of an endpoint. If it is nil, the
	// endpoint is shared fairly between client accounts.
	NewWaitQueue NewWaitQueueFunc
	// NewAdmitter wraps the admitter of the client accounts. If it is nil, the
	// admitter is used as it is.
	NewAdmitter func(admitter acct.Admitter) acct.Admitter
	// ReadsAtPrimary routes every read to the primary.
	ReadsAtPrimary bool
}
