package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// callResult returns what the answer to a statement, or its loss, says about the
// endpoint. A statement that was not sent, and a refusal that any healthy
// endpoint may give, say nothing.
func callResult(a engine.Answer, err error) (sched.CallResult, bool) {
	switch {
	case errors.Is(err, errSetup):
		return 0, false
	case err != nil, a.Outcome == engine.Unknown:
		return sched.NoAnswer, true
	case a.Outcome == engine.Answered && a.Reason == engine.Failed:
		return sched.FailedCall, true
	case a.Outcome == engine.Answered:
		return sched.Succeeded, true
	case a.Reason == engine.Overloaded:
		return sched.NoFreeSlot, true
	}
	return 0, false
}

// reportOutcome reports how an endpoint served a statement, unless the pool
// itself gave up the answer. It has to be called before the connection is released,
// because the scheduler compares a missing slot with its count of running calls.
func (p *GroupPool) reportOutcome(call *engine.Call, e ident.Endpoint, a engine.Answer, err error) {
	if r, ok := callResult(a, err); ok && !p.isAbandoned() {
		p.Update(sched.EndpointOutcome{Endpoint: e, Account: call.Account, Result: r})
	}
}
