// Package procs signals the processes of a deployment, which the scripts start
// and restart. The process id of each is in a file with its name.
package procs

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// pidsDir is the directory of the process ids in that of the deployment.
const pidsDir = "pids"

// Set holds the processes of one deployment.
type Set struct{ dir string }

// NewSet returns the processes of the deployment in a directory.
func NewSet(dir string) Set { return Set{dir: dir} }

// PID returns the current process id of a process.
func (s Set) PID(name string) (int, error) {
	text, err := os.ReadFile(filepath.Join(s.dir, pidsDir, name))
	if err != nil {
		return 0, errors.Wrap(err, "read process id")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	return pid, errors.Wrapf(err, "process id of %s", name)
}

// Find returns a handle of the current process of a name. It never refers to a
// later process with the same process id. The caller must release it.
func (s Set) Find(name string) (*os.Process, error) {
	pid, err := s.PID(name)
	if err != nil {
		return nil, err
	}
	p, err := os.FindProcess(pid)
	return p, errors.Wrapf(err, "find process %d", pid)
}

// Signal sends a signal to the current process of a name.
func (s Set) Signal(name string, sig syscall.Signal) error {
	pid, err := s.PID(name)
	if err != nil {
		return err
	}
	return SignalPID(pid, sig)
}

// SignalPID sends a signal to one process.
func SignalPID(pid int, sig syscall.Signal) error {
	if pid <= 1 {
		return errors.Newf("invalid process id %d", pid)
	}
	return errors.Wrapf(syscall.Kill(pid, sig), "signal process %d", pid)
}
