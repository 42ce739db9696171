package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// State is an Elector's view of the primary.
type State uint8

const (
	// Searching means that no primary is known.
	Searching State = iota + 1
	// Steady means that the primary is known and answers.
	Steady
	// Doubting means that the primary has not answered recently.
	Doubting
	// Sealing means that the replicas are being sealed.
	Sealing
	// Promoting means that a replica is being promoted.
	Promoting
	// Switching means that a primary that still answers is being replaced: it is
	// draining or evacuated, or fails most calls.
	Switching
)

// String returns the name of the state for logs.
func (s State) String() string {
	names := [...]string{"None", "Searching", "Steady", "Doubting", "Sealing", "Promoting", "Switching"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Invalid"
}

// server is the known state of one endpoint.
type server struct {
	Endpoint
	departedAt time.Time // when it left the directory, zero while it is listed
	probedAt   time.Time
	lastResult ProbeResult // latest successful result
	answeredAt time.Time
	failedAt   time.Time // time of the latest failed probe
	refusedAt  time.Time // time of the latest refused probe
	sealedTerm ident.Term
	// sealedAt is when the latest confirmed seal was sent.
	sealedAt time.Time
}
