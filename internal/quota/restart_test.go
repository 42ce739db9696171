package quota

import (
	"testing"
	"time"
)

const (
	restartAt = 10 * time.Second
	// callerDowntime is the time whose callers wait for a restart to end, and
	// returnSpan the time in which they come back.
	callerDowntime = 500 * time.Millisecond
	returnSpan     = 200 * time.Millisecond
)

// TestRestartServesReturningCallers guards against refusals of callers below their
// quota after all instances have restarted. The callers of the downtime come back
// at once, and the new bucket doesn't know what was granted before. Of those that
// arrive in the first second, most have to be served at the first attempt, and the
// quota must hold.
func TestRestartServesReturningCallers(t *testing.T) {
	for _, rate := range []float64{13, 43, 80} {
		refused, arrived := 0, 0
		for seed := range uint64(20) {
			c := fleetCase{instances: 64, rate: rate, offered: 0.6, span: 20 * time.Second, restartAt: restartAt, backlog: callerDowntime}
			r := runFleet(seed, c)
			refused += r.refusedAfterRestart
			arrived += r.arrivedAfterRestart
			if r.most > 1 {
				t.Errorf("rate %g, seed %d: %.3f of the limit in a window", rate, seed, r.most)
			}
		}
		if refused*5 > arrived {
			t.Errorf("rate %g: %d of %d operations were refused in the second after the restart", rate, refused, arrived)
		}
		t.Logf("rate %g: %d of %d operations were refused in the second after the restart", rate, refused, arrived)
	}
}

// TestRestartUnderFloodStaysInBounds guards against a new bucket that adds too much
// to what was granted before a restart. An account that has used its whole quota and
// burst floods the new owner, or one that begins with a full bucket just before.
func TestRestartUnderFloodStaysInBounds(t *testing.T) {
	for name, idleUntil := range map[string]time.Duration{"flooding": 0, "idle": restartAt - time.Second} {
		for _, rate := range []float64{5, 13, 43, 200, 800} {
			for seed := range uint64(3) {
				c := fleetCase{instances: 9, rate: rate, offered: 4, idleUntil: idleUntil, span: 16 * time.Second, restartAt: restartAt}
				if r := runFleet(seed, c); r.most > 1 {
					t.Errorf("%s account, rate %g, seed %d: %.3f of the limit in a window", name, rate, seed, r.most)
				}
			}
		}
	}
}
