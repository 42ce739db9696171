package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// doEach implements Conn.DoAll for a connection that does not distinguish
// requests that are sent together.
func doEach(c Conn, requests []Request, timeout time.Duration) ([]engine.Answer, error) {
	answers := make([]engine.Answer, len(requests))
	for i, r := range requests {
		var err error
		if answers[i], err = c.Do(r, timeout); err != nil {
			return nil, err
		}
	}
	return answers, nil
}

// batchConn records which requests were sent together. It refuses variables
// with the name refused and loses the answers of batches if lost is set.
type batchConn struct {
	batches [][]Request
	refused string
	lost    bool
}

func (c *batchConn) Do(r Request, timeout time.Duration) (engine.Answer, error) {
	answers, err := c.DoAll([]Request{r}, timeout)
	if err != nil {
		return engine.Answer{}, err
	}
	return answers[0], nil
}

func (c *batchConn) DoAll(requests []Request, _ time.Duration) ([]engine.Answer, error) {
	c.batches = append(c.batches, requests)
	if c.lost {
		return nil, context.DeadlineExceeded
	}
	answers := make([]engine.Answer, len(requests))
	for i, r := range requests {
		answers[i] = engine.Answer{Outcome: engine.Answered}
		if c.refused != "" && r.Statement.Name == c.refused {
			answers[i] = engine.Refuse(engine.Malformed, 0, "")
		}
	}
	return answers, nil
}

func (c *batchConn) Close() error { return nil }

// runOn runs an Execute with two session variables.
func runOn(c *endpointConn, variables ...engine.Variable) error {
	s := engine.Statement{ID: "r1", Op: engine.Execute, Template: engine.StatementTemplate{Access: engine.ReadAccess, Text: "q"}, Argument: "1"}
	deadline := clock.Now().Add(time.Second)
	if err := c.setUp(variables, s, deadline); err != nil {
		return err
	}
	_, err := c.run(s, ident.LogPosition{}, deadline)
	return err
}

// A session's state took a round trip for each variable, which at a distant
// endpoint was several times the service time.
func TestSessionStateTakesOneRoundTrip(t *testing.T) {
	g := NewWithT(t)
	raw := &batchConn{}
	c := newEndpointConn(1, "db-a", raw)
	g.Expect(runOn(c, engine.Variable{Name: "a", Value: "1"}, engine.Variable{Name: "b", Value: "2"})).To(Succeed())
	g.Expect(raw.batches).To(HaveLen(2), "the state, then the statement")
	g.Expect(raw.batches[0]).To(HaveLen(3), "two variables and the prepared statement")
	g.Expect(raw.batches[1]).To(HaveLen(1))

	raw.batches = nil
	g.Expect(runOn(c, engine.Variable{Name: "a", Value: "1"}, engine.Variable{Name: "b", Value: "2"})).To(Succeed())
	g.Expect(raw.batches).To(HaveLen(1), "the endpoint holds the state already")

	raw.batches = nil
	g.Expect(runOn(c, engine.Variable{Name: "a", Value: "1"})).To(Succeed())
	g.Expect(raw.batches).To(HaveLen(2))
	g.Expect(raw.batches[0][0].Control).To(Equal(Reset), "the variable b belongs to another session")
	g.Expect(raw.batches[0]).To(HaveLen(3))
}

// A statement that follows a refused variable would run with another session's
// values.
func TestNoStatementFollowsRefusedState(t *testing.T) {
	for name, raw := range map[string]*batchConn{"refused": {refused: "b"}, "lost": {lost: true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newEndpointConn(1, "db-a", raw)
			err := runOn(c, engine.Variable{Name: "a", Value: "1"}, engine.Variable{Name: "b", Value: "2"})
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, errSetup)).To(Equal(!raw.lost), "only an answer proves that nothing was sent")
			g.Expect(raw.batches).To(HaveLen(1))
			for _, r := range raw.batches[0] {
				g.Expect(r.Statement.ID).To(BeEmpty())
			}
		})
	}
}
