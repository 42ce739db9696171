package lines

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/procs"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// startFake runs a shell script as the process of instance n1 and returns its
// deployment.
func startFake(t *testing.T, script string) *Deployment {
	t.Helper()
	g := NewWithT(t)
	dir := t.TempDir()
	command := exec.Command("sh", "-c", script)
	ready, err := command.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(command.Start()).To(Succeed())
	_, err = ready.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	reaper := tasks.New(t.Context())
	reaper.Go(func(context.Context) error {
		_ = command.Wait() // it ends by a signal
		return nil
	})
	t.Cleanup(func() {
		_ = command.Process.Kill()
		g.Expect(reaper.Close()).To(Succeed())
	})
	g.Expect(os.Mkdir(filepath.Join(dir, "pids"), 0o700)).To(Succeed())
	pid := strconv.Itoa(command.Process.Pid)
	g.Expect(os.WriteFile(filepath.Join(dir, "pids", "n1"), []byte(pid), 0o600)).To(Succeed())
	return &Deployment{config: DeploymentConfig{Instances: 1}, procs: procs.NewSet(dir)}
}

// obeys and ignores are scripts that end at SIGTERM, or don't.
const (
	obeys   = "echo; while :; do sleep 0.01; done"
	ignores = "trap '' TERM; echo; while :; do sleep 0.01; done"
)

func TestStopEndsInTime(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := startFake(t, obeys)
	g.Expect(d.signal(t.Context(), Fault{Kind: "stop", Instance: "n1"})).To(Succeed())
	g.Expect(d.Stops()).To(HaveLen(1))
	g.Expect(d.Stops()[0].Overdue).To(BeFalse())
	g.Expect(d.signal(t.Context(), Fault{Kind: "stop", Instance: "n1"})).To(Succeed(), "the process has ended")
	g.Expect(d.Stops()).To(HaveLen(1))
}

// TestChecksFindOverdueStop stops a process that goes on after its grace. A
// second SIGTERM does not begin the grace anew.
func TestChecksFindOverdueStop(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := startFake(t, ignores)
	group := tasks.New(t.Context())
	group.Go(func(ctx context.Context) error {
		return d.signal(ctx, Fault{Kind: "stop", Instance: "n1"})
	})
	time.Sleep(time.Second)
	g.Expect(d.signal(t.Context(), Fault{Kind: "stop", Instance: "n1"})).To(Succeed())
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(d.Stops()).To(HaveLen(1))
	g.Expect(d.Stops()[0].Overdue).To(BeTrue())
	g.Expect(d.Stops()[0].Took).To(BeNumerically("~", grace, time.Second))
	g.Expect(d.CheckStops(&Report{}).Violations()).To(Equal(1))
}

// TestKillDuringStop checks that a fault that kills a stopping instance explains
// the end of its connections.
func TestKillDuringStop(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := startFake(t, ignores)
	group := tasks.New(t.Context())
	group.Go(func(ctx context.Context) error {
		return d.signal(ctx, Fault{Kind: "stop", Instance: "n1"})
	})
	time.Sleep(100 * time.Millisecond)
	g.Expect(d.signal(t.Context(), Fault{Kind: "kill", Instance: "n1"})).To(Succeed())
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(d.CheckStops(&Report{}).Violations()).To(BeZero())
	h := d.History()
	g.Expect(h.Kills).To(HaveLen(1))
	ended := h.Kills[0].At.Add(10 * time.Millisecond)
	c := Closed{Front: d.Front(0), Sent: ended.Add(-time.Second / 2), Ended: ended, Ending: emul.Orderly}
	g.Expect(h.Judge(c)).To(Equal(Killed))
	h.Kills = nil
	g.Expect(h.Judge(c)).To(Equal(CutRead))
}
