package endpt

import (
	"maps"
	"sync"
)

// Counters tell what an endpoint has seen.
type Counters struct {
	// Statements counts statements by what they do, such as insert.
	Statements map[string]int64
	// Connections counts callers that sent a startup message.
	Connections int64
	// ForeignCredentials counts callers whose name or password was not the
	// one in the settings.
	ForeignCredentials int64
}

type counters struct {
	mu    sync.Mutex
	state Counters
}

func newCounters() *counters { return &counters{state: Counters{Statements: map[string]int64{}}} }

func (c *counters) statement(v verb) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Statements[string(v)]++
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

func (c *counters) read() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.state
	out.Statements = maps.Clone(c.state.Statements)
	return out
}
