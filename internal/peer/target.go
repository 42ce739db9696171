package peer

import "github.com/marjoramrudder/marjoramrudder/pkg/ident"

// Target is an instance to which a Mesh keeps a link.
type Target struct {
	Instance ident.Instance
	Address  string
	// Mutual is set if the instance most likely keeps the link as well. The one
	// with the greater name then lets the other one dial first.
	Mutual bool
}
