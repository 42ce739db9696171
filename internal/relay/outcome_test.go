package relay

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
)

// A replica that lags or an endpoint that lost the primary role is not faulty.
// If its refusals counted as failures, a change of primary would eject the
// endpoints.
func TestOnlyFailuresOfTheEndpointCount(t *testing.T) {
	g := NewWithT(t)
	result := func(a engine.Answer, err error) sched.CallResult {
		r, ok := callResult(a, err)
		g.Expect(ok).To(Equal(r != 0))
		return r
	}
	none := sched.CallResult(0)
	for _, r := range []engine.Reason{engine.Lagging, engine.ReadOnly, engine.NotPrimary, engine.UnknownStatement, engine.Aborted} {
		g.Expect(result(engine.Refuse(r, 0, ""), nil)).To(Equal(none), r.String())
	}
	g.Expect(result(engine.Answer{}, errors.Wrap(errSetup, "no time is left"))).To(Equal(none))
	g.Expect(result(engine.Refuse(engine.Overloaded, 0, ""), nil)).To(Equal(sched.NoFreeSlot))
	g.Expect(result(engine.Answer{Outcome: engine.Answered, Reason: engine.Failed}, nil)).To(Equal(sched.FailedCall))
	g.Expect(result(engine.Answer{Outcome: engine.Answered}, nil)).To(Equal(sched.Succeeded))
	g.Expect(result(engine.Indeterminate(engine.TimedOut, ""), nil)).To(Equal(sched.NoAnswer))
	g.Expect(result(engine.Answer{}, errors.New("i/o timeout"))).To(Equal(sched.NoAnswer))
}
