package entry

import (
	"github.com/marjoramrudder/marjoramrudder/internal/acct"
)

// Policies replaces deciding parts of a proxy, so that a whole process can be
// measured with another policy. The zero value is the product.
type Policies struct {
	// Line orders those who wait for an endpoint; nil shares it fairly.
	Line NewLine
	// Gate wraps the gate of the client accounts; nil keeps it.
	Gate func(gate acct.Gate) acct.Gate
	// ReadsAtPrimary sends every read to the primary.
	ReadsAtPrimary bool
}
