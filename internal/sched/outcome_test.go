package sched

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// outcome reports outcomes of an endpoint: outcome b failed [times=5]
// [accounts=3]. The accounts take turns.
func (s *script) outcome(t *testing.T, d *datadriven.TestData) string {
	times, accounts := 1, 1
	for key, to := range map[string]*int{"times": &times, "accounts": &accounts} {
		if d.HasArg(key) {
			d.ScanArgs(t, key, to)
		}
	}
	results := map[string]CallResult{"succeeded": Succeeded, "failed": FailedCall, "unanswered": NoAnswer, "busy": NoFreeSlot}
	m := EndpointOutcome{Endpoint: ident.Endpoint(d.CmdArgs[0].Key), Result: results[d.CmdArgs[1].Key]}
	var out strings.Builder
	for n := range times {
		m.Account = ident.Account(rune('a' + n%accounts))
		out.WriteString(s.update(m))
	}
	return out.String()
}
