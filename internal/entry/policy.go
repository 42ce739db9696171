package entry

import (
	"github.com/marjoramrudder/marjoramrudder/internal/acct"
)

// Policies replaces deciding parts of a proxy, so that a whole process can be
// measured with another policy. The zero value is the product.
type Policies struct {
	// NewWaitQueue orders those who wait for an endpoint; nil shares it fairly.
	NewWaitQueue NewLine
	// NewAdmitter wraps the gate of the client accounts; nil keeps it.
	NewAdmitter func(gate acct.Admitter) acct.Admitter
	// ReadsAtPrimary sends every read to the primary.
	ReadsAtPrimary bool
}
