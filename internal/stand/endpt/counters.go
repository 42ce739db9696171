package endpt

import (
	"maps"
	"sync"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
)

// Counters counts the endpoint's statements and connections.
type Counters struct {
	// Statements counts the successful statements by kind, such as insert, or
	// by the name of the function that they call.
	Statements map[string]int64
	// Reads counts the successful reads by the endpoint's role at that time.
	Reads map[group.Role]int64
	// Failures counts the statements that failed, by SQLSTATE.
	Failures map[string]int64
	// Connections counts the callers that sent a startup message.
	Connections int64
	// ForeignCredentials counts the callers whose name or password differed
	// from the settings.
	ForeignCredentials int64
	// Watched counts the chunks of input that held a watched text, such as a
	// caller's key.
	Watched int64
}

type counters struct {
	mu    sync.Mutex
	state Counters
}

func newCounters() *counters {
	return &counters{state: Counters{Statements: map[string]int64{}, Reads: map[group.Role]int64{}, Failures: map[string]int64{}}}
}

func (c *counters) statement(st *statement, role group.Role, err error) {
	kind := string(st.verb)
	if st.verb == functionVerb {
		kind = st.name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.state.Failures[response(err).Code]++
		return
	}
	c.state.Statements[kind]++
	if st.reads() {
		c.state.Reads[role]++
	}
}

func (c *counters) connection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Connections++
}

func (c *counters) foreignCredential() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.ForeignCredentials++
}

func (c *counters) watchedText() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Watched++
}

func (c *counters) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.state
	out.Statements = maps.Clone(c.state.Statements)
	out.Reads = maps.Clone(c.state.Reads)
	out.Failures = maps.Clone(c.state.Failures)
	return out
}
