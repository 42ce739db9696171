package lines

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Fault is a fault to inject or to repair at a time after the start.
type Fault struct {
	At     time.Duration
	Kind   string
	Server ident.Endpoint // empty for the store
}

// serverFaults maps the kinds of server faults to the functions that apply
// them.
var serverFaults = map[string]func(*emul.Server){
	"crash":   (*emul.Server).Crash,
	"restart": (*emul.Server).Restart,
	"drain":   (*emul.Server).Drain,
	"dark":    func(s *emul.Server) { s.SetUnresponsive(true) },
	"deaf":    func(s *emul.Server) { s.SetReplicationCut(true) },
	"cut":     func(s *emul.Server) { s.SetIsolated(true) },
	"mend": func(s *emul.Server) {
		s.SetUnresponsive(false)
		s.SetReplicationCut(false)
		s.SetIsolated(false)
	},
}

// ParseFault decodes AT:KIND or AT:KIND:SERVER, as in 5s:crash:g1-a or
// 3s:storedown.
func ParseFault(text string) (Fault, error) {
	f := strings.Split(text, ":")
	if len(f) < 2 || len(f) > 3 {
		return Fault{}, errors.Newf("fault %q is not AT:KIND or AT:KIND:SERVER", text)
	}
	at, err := time.ParseDuration(f[0])
	if err != nil {
		return Fault{}, errors.Wrapf(err, "fault %q", text)
	}
	out := Fault{At: at, Kind: f[1]}
	if len(f) == 3 {
		out.Server = ident.Endpoint(f[2])
	}
	store := out.Kind == "storedown" || out.Kind == "storeup"
	if _, known := serverFaults[out.Kind]; !known && !store || store != (out.Server == "") {
		return Fault{}, errors.Newf("fault %q: unknown kind, or a server is missing", text)
	}
	return out, nil
}

// inject waits until a fault is due and applies it.
func (d *Deployment) inject(ctx context.Context, f Fault) error {
	if !tasks.Pause(ctx, f.At) {
		return nil
	}
	switch f.Kind {
	case "storedown":
		d.store.Fail(http.StatusServiceUnavailable)
		return nil
	case "storeup":
		d.store.Fail(0)
		return nil
	}
	for _, g := range d.groups {
		for _, s := range g.Servers() {
			if s.ID() == f.Server {
				serverFaults[f.Kind](s)
				return nil
			}
		}
	}
	return errors.Newf("fault at %s: no server %s", f.At, f.Server)
}
