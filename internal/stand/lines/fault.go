package lines

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Fault is a fault to inject or to repair at a time after the start.
type Fault struct {
	At       time.Duration
	Kind     string
	Server   ident.Endpoint // of a fault of a server
	Instance ident.Instance // of a fault of an instance
	// DataCentre is that of an evacuation.
	DataCentre ident.DataCentre
}

// String formats the fault as ParseFault reads it.
func (f Fault) String() string {
	text := f.At.Round(time.Millisecond).String() + ":" + f.Kind
	if target := string(f.Server) + string(f.Instance) + string(f.DataCentre); target != "" {
		text += ":" + target
	}
	return text
}

// concernsStore reports whether the fault is one of the store or of the connections to
// it.
func (f Fault) concernsStore() bool {
	return f.Kind == "storedown" || f.Kind == "storeup" || linkFaults[f.Kind] != nil && f.Server == ""
}

// linkFaults maps the kinds of faults of the connections to a server or, without
// a server, to the store.
var linkFaults = map[string]func(*link){
	"slow":   func(l *link) { l.Set(linkSlow) },
	"silent": func(l *link) { l.Set(linkSilent) },
	"oneway": func(l *link) { l.Set(linkOneWay) },
	"clear":  func(l *link) { l.Set(linkClear) },
	"reset":  (*link).Reset,
}

// instanceFaults maps the kinds of faults of instances to signals.
var instanceFaults = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGTERM, "reload": syscall.SIGHUP, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT,
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

// ParseFault decodes AT:KIND or AT:KIND:TARGET, as in 5s:crash:g1-a, 4s:stop:n1
// or 3s:storedown. Faults of connections concern the store if they have no
// target.
func ParseFault(text string) (Fault, error) {
	f := strings.Split(text, ":")
	if len(f) < 2 || len(f) > 3 {
		return Fault{}, errors.Newf("fault %q is not AT:KIND or AT:KIND:TARGET", text)
	}
	at, err := time.ParseDuration(f[0])
	if err != nil {
		return Fault{}, errors.Wrapf(err, "fault %q", text)
	}
	out, target := Fault{At: at, Kind: f[1]}, strings.Join(f[2:], "")
	store := out.Kind == "storedown" || out.Kind == "storeup"
	switch {
	case linkFaults[out.Kind] != nil:
		out.Server = ident.Endpoint(target)
	case store != (target == ""):
		return Fault{}, errors.Newf("fault %q: only faults of the store have no target", text)
	case store:
	case serverFaults[out.Kind] != nil:
		out.Server = ident.Endpoint(target)
	case instanceFaults[out.Kind] != 0:
		out.Instance = ident.Instance(target)
	case out.Kind == evacuateKind, out.Kind == withdrawKind:
		out.DataCentre = ident.DataCentre(target)
	default:
		return Fault{}, errors.Newf("fault %q: unknown kind", text)
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
	case evacuateKind, withdrawKind:
		d.applyEvacuation(f)
		return nil
	}
	if f.Instance != "" {
		return d.signal(ctx, f)
	}
	if apply := linkFaults[f.Kind]; apply != nil {
		l := d.links[f.Server]
		if l == nil {
			return errors.Newf("fault at %s: no server %s", f.At, f.Server)
		}
		apply(l)
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
