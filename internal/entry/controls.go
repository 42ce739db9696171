package entry

import (
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// controls holds the control connections to the endpoints of a group.
type controls struct {
	creds back.Credentials

	mu     sync.Mutex
	config map[ident.Endpoint]envdoc.Endpoint
	open   map[ident.Endpoint]*back.Control
}

func newControls(creds back.Credentials) *controls {
	return &controls{creds: creds, open: make(map[ident.Endpoint]*back.Control)}
}

// set sets the endpoints of the group and closes the control connections of
// endpoints whose address has changed.
func (c *controls) set(g envdoc.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.config
	c.config = make(map[ident.Endpoint]envdoc.Endpoint, len(g.Endpoints))
	for _, e := range g.Endpoints {
		c.config[e.Name] = e
	}
	for name, control := range c.open {
		if c.config[name].Address != old[name].Address {
			_ = control.Close()
			delete(c.open, name)
		}
	}
}

// server returns the control connection of an endpoint.
func (c *controls) server(name ident.Endpoint) group.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if control := c.open[name]; control != nil {
		return control
	}
	control := back.NewControl(c.config[name], c.creds)
	c.open[name] = control
	return control
}

func (c *controls) closeIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, control := range c.open {
		control.CloseIdle(before)
	}
}

func (c *controls) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, control := range c.open {
		_ = control.Close()
	}
	return nil
}
