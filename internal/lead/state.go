package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// State is what an Elector believes of the primary.
type State uint8

const (
	// Searching means that no primary is known.
	Searching State = iota + 1
	// Steady means that the primary is known and answers.
	Steady
	// Doubting means that the primary has not answered lately.
	Doubting
	// Sealing means that the replicas are being sealed.
	Sealing
	// Promoting means that a replica was named the next primary.
	Promoting
	// Switching means that a leaving primary is being replaced while it serves.
	Switching
)

// String returns the state for logs.
func (s State) String() string {
	names := [...]string{"None", "Searching", "Steady", "Doubting", "Sealing", "Promoting", "Switching"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Invalid"
}

// server is what is known of one endpoint.
type server struct {
	Endpoint
	gone   time.Time // when it left the directory, zero while listed
	asked  time.Time
	report ProbeResult // the latest that did not fail
	heard  time.Time
	failed time.Time // of the latest question without an answer
	sealed ident.Term
	// sealedAt is when the latest seal that it confirmed was sent.
	sealedAt time.Time
}
