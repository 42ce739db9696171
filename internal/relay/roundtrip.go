package relay

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// dialRoundTrips is the number of round trips of a dial: one to connect and one
// for the first exchange of the protocol.
const dialRoundTrips = 2

// reportRoundTrip reports the round trip of an exchange that began at the given time
// and took no slot.
func (p *GroupPool) reportRoundTrip(e ident.Endpoint, began time.Time) {
	p.Update(sched.EndpointObserved{Endpoint: e, Began: began, RoundTrip: clock.Now().Sub(began)})
}

// roundTrips returns how many round trips a call took besides the endpoint's own
// work. It returns zero if that is not known: a commit waits for the replicas,
// and the number for setting up a session depends on the connection.
func roundTrips(call *engine.Call, verifyPrimary, setUp bool) int {
	if setUp || call.MayCommit() {
		return 0
	}
	if _, begins := beginFor(call, verifyPrimary); begins && call.Phase != engine.Next {
		return 2
	}
	return 1
}
