package lines

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// exitPoll is how often the end of a stopping process is checked.
const exitPoll = 10 * time.Millisecond

// Stop is the graceful stop of one process.
type Stop struct {
	Instance ident.Instance
	PID      int
	At       time.Time
	Took     time.Duration // zero while it lasts
	// Overdue is set if the process was still there at the end of its grace and
	// was killed, or if its end was seen more than stopMargin after that.
	Overdue bool
}

// signal sends the signal of a fault of an instance. A process that has ended
// meanwhile is left alone.
func (d *Deployment) signal(ctx context.Context, f Fault) error {
	p, err := d.procs.Find(string(f.Instance))
	if err != nil {
		return err
	}
	defer func() { _ = p.Release() }()
	now := time.Now()
	if err := p.Signal(instanceFaults[f.Kind]); errors.Is(err, os.ErrProcessDone) {
		return nil
	} else if err != nil {
		return errors.Wrapf(err, "%s %s", f.Kind, f.Instance)
	}
	switch f.Kind {
	case "kill":
		d.recordKill(f.Instance, now)
	case "stop":
		if s := d.beginStop(f.Instance, p.Pid, now); s != nil {
			return d.awaitExit(ctx, p, s)
		}
	}
	return nil
}

func (d *Deployment) recordKill(n ident.Instance, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kills = append(d.kills, Event{Front: d.frontOf(n), At: at})
}

// beginStop records a graceful stop. It returns nil if the process is already
// stopping.
func (d *Deployment) beginStop(n ident.Instance, pid int, at time.Time) *Stop {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.stops {
		if s.Instance == n && s.PID == pid {
			return nil
		}
	}
	s := &Stop{Instance: n, PID: pid, At: at}
	d.stops = append(d.stops, s)
	return s
}

// awaitExit waits for the end of a stopping process. It kills the process at the
// end of its grace, as the users' platform does.
func (d *Deployment) awaitExit(ctx context.Context, p *os.Process, s *Stop) error {
	end := s.At.Add(grace)
	for !errors.Is(p.Signal(syscall.Signal(0)), os.ErrProcessDone) {
		if !time.Now().Before(end) {
			d.endStop(s, true)
			err := p.Signal(syscall.SIGKILL)
			if errors.Is(err, os.ErrProcessDone) {
				err = nil
			}
			return errors.Wrapf(err, "kill %s at the end of its grace", s.Instance)
		}
		if !tasks.Pause(ctx, exitPoll) {
			return nil
		}
	}
	d.endStop(s, false)
	return nil
}

func (d *Deployment) endStop(s *Stop, overdue bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Took = time.Since(s.At)
	s.Overdue = overdue || s.Took > grace+stopMargin
}

// Stops returns the graceful stops.
func (d *Deployment) Stops() []Stop {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Stop
	for _, s := range d.stops {
		out = append(out, *s)
	}
	return out
}

// History returns what is known about the statements and the instances.
func (d *Deployment) History() *History {
	h := &History{Received: make(map[string]bool), Runs: make(map[string][]emul.Run), RouteTimeout: d.routeTimeout()}
	for _, g := range d.groups {
		for _, s := range g.Servers() {
			for _, id := range s.Received() {
				h.Received[id] = true
			}
			for _, r := range s.Runs() {
				h.Runs[r.ID] = append(h.Runs[r.ID], r)
			}
		}
	}
	for _, s := range d.Stops() {
		h.Stops = append(h.Stops, Event{Front: d.frontOf(s.Instance), At: s.At})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h.Kills = append(h.Kills, d.kills...)
	return h
}
