package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// slowConn answers each request after a while.
type slowConn struct{ took time.Duration }

func (c slowConn) Do(_ Request, timeout time.Duration) (engine.Answer, error) {
	if c.took > timeout {
		time.Sleep(timeout)
		return engine.Answer{}, context.DeadlineExceeded
	}
	time.Sleep(c.took)
	return engine.Answer{Outcome: engine.Answered}, nil
}

func (c slowConn) DoAll(requests []Request, timeout time.Duration) ([]engine.Answer, error) {
	a, err := c.Do(Request{}, timeout)
	if err != nil {
		return nil, err
	}
	return slices.Repeat([]engine.Answer{a}, len(requests)), nil
}

func (c slowConn) Close() error { return nil }

// The requests of one call share its time-out, or a local call outlives the stop
// that gave it that time.
func TestEachRequestOfCallTakesWholeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		p := NewGroupPool(t.Context(), "db", nil, nil)
		defer func() { g.Expect(p.Close()).To(Succeed()) }()
		const timeout = 700 * time.Millisecond
		call := &engine.Call{
			Group: "db", Phase: engine.First, Timeout: timeout,
			Begin:     engine.Statement{Op: engine.Begin},
			Statement: engine.Statement{Op: engine.Execute, Template: engine.StatementTemplate{Text: "q"}},
			Variables: []engine.Variable{{Name: "a", Value: "1"}, {Name: "b", Value: "2"}},
		}
		began := time.Now()
		_, _ = p.send(call, grant{conn: newEndpointConn(1, "db-a", slowConn{took: 600 * time.Millisecond})}, began.Add(timeout))
		g.Expect(time.Since(began)).To(BeNumerically("<=", timeout))
	})
}
