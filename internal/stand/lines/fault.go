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
	// Group is that whose primary fails.
	Group ident.Group
}

// String formats the fault as ParseFault reads it.
func (f Fault) String() string {
	text := f.At.Round(time.Millisecond).String() + ":" + f.Kind
	if target := string(f.Server) + string(f.Instance) + string(f.DataCentre) + string(f.Group); target != "" {
		text += ":" + target
	}
	return text
}

// concernsStore reports whether the fault is one of the store or of the connections to
// it.
func (f Fault) concernsStore() bool {
	return storeFaults[f.Kind] != nil || linkFaults[f.Kind] != nil && f.Server == ""
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

// storeFaults maps the kinds of faults of the store to the functions that apply them.
var storeFaults = map[string]func(*Deployment){
	"storedown": func(d *Deployment) { d.store.Fail(http.StatusServiceUnavailable) },
	"storeup":   (*Deployment).storeUp,
	"lapse":     (*Deployment).lapse,
	"copy":      func(d *Deployment) { d.store.Copy() },
	"return":    (*Deployment).returnFromCopy,
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
	"wipe":    (*emul.Server).RestartEmpty,
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
	store := storeFaults[out.Kind] != nil
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
	case out.Kind == failKind:
		out.Group = ident.Group(target)
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
	if apply := storeFaults[f.Kind]; apply != nil {
		apply(d)
		return nil
	}
	if f.Kind == evacuateKind || f.Kind == withdrawKind {
		d.applyEvacuation(f)
		return nil
	}
	if f.Kind == failKind {
		return d.failPrimary(ctx, f)
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

const (
	// failKind is a crash of whichever server is the primary of a group by then. It
	// starts again after failTime.
	failKind = "fail"
	failTime = 1500 * time.Millisecond
)

// failPrimary lets the primary of a group crash and start again.
func (d *Deployment) failPrimary(ctx context.Context, f Fault) error {
	for _, g := range d.groups {
		if g.Name() != f.Group {
			continue
		}
		if s := g.Primary(); s != nil {
			s.Crash()
			tasks.Pause(ctx, failTime)
			s.Restart()
		}
		return nil
	}
	return errors.Newf("fault at %s: no group %s", f.At, f.Group)
}
