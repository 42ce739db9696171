package exper

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Print writes the results as a Markdown table.
func Print(w io.Writer, all []*Result) error {
	head := "| Deployment | Fault | Version | Reads at replicas | Failover gap | Worst account | In time | p50 | p99 " +
		"| Wrongful refusals | Order p50 | Order p99 | Violations |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return errors.Wrap(err, "print measures")
	}
	for _, m := range all {
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %.1f %% | %.2f s | %s | %.2f %% | %.0f ms | %.0f ms | %d of %d | %.0f ms | %.0f ms | %d |\n",
			m.Deployment, m.Scenario, m.Version, 100*m.ReplicaShare, m.Gap, m.Worst, 100*m.WorstInTime, m.WorstP50, m.WorstP99,
			m.Wrongful, m.WithinQuota, m.OrderP50, m.OrderP99, m.Violations+int(m.Invariants))
		if err != nil {
			return errors.Wrap(err, "print measures")
		}
	}
	return nil
}
