package lines_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/lines"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// seriesSeed selects faults of servers and of the store over seriesLength. The
	// variable SERIES_SEED selects others.
	seriesSeed   = 601
	seriesLength = 40 * time.Second
	// Each instance in turn is killed seriesKills times, killGap apart. Most of its
	// groups' transactions at the others stay open over such a restart, and the next
	// process gives the same numbers to new ones.
	seriesStart = 4 * time.Second
	seriesKills = 6
	killGap     = 1300 * time.Millisecond
	// restartPause is the time after which an instance that has ended starts again.
	restartPause = 300 * time.Millisecond
)

// killInTurns returns the kills of the instances n1, n2 and so on.
func killInTurns(instances int) []lines.Fault {
	var all []lines.Fault
	for i := range instances * seriesKills {
		n := ident.Instance("n" + strconv.Itoa(i/seriesKills+1))
		all = append(all, lines.Fault{At: seriesStart + time.Duration(i)*killGap, Kind: "kill", Instance: n})
	}
	return all
}

// TestRulesDuringSeries runs instances as processes that are killed in series, and judges
// what the servers ran. It guards against statements in another session's transaction.
// The variable SERIES_PROGRAM names another build of the program to run, for example that
// of an earlier commit.
func TestRulesDuringSeries(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	dir := t.TempDir()
	program := os.Getenv("SERIES_PROGRAM")
	if program == "" {
		program = buildProgram(t, dir)
	}
	seed := uint64(seriesSeed)
	if text := os.Getenv("SERIES_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(os.Mkdir(filepath.Join(dir, "pids"), 0o700)).To(Succeed())
	journal := audit.NewJournal()
	d, err := lines.Open(t.Context(), lines.DeploymentConfig{
		Groups: 2, Instances: 3, Accounts: 4, Rate: 1000, Dir: dir, BasePort: basePort, Network: reserveNetwork(t),
		Group: smallGroup, Seed: seed, Faults: killInTurns(3), Length: seriesLength, Changes: true, Journal: journal,
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(d.Close()).To(Succeed()) }()
	instances := tasks.New(t.Context())
	defer func() { g.Expect(instances.Close()).To(Succeed()) }()
	var fronts []string
	for i := range 3 {
		fronts = append(fronts, d.Front(i))
		instances.Go(func(ctx context.Context) error {
			return keepRunning(ctx, dir, "n"+strconv.Itoa(i+1), program)
		})
	}
	for i := range 3 {
		g.Eventually(func() error { return checkReady(t.Context(), d.ReadyURL(i)) }, "10s", "100ms").Should(Succeed())
	}

	r, err := lines.Load(t.Context(), lines.LoadConfig{
		Dial: (&net.Dialer{}).DialContext, Fronts: fronts, Routes: d.Routes(), Mixed: d.WorkerRoutes(), Keys: d.Keys(), Journal: journal,
		Sessions: 4, Workers: 24, Pause: 50 * time.Millisecond, Writes: 0.3, Transactions: 0.3, Timeout: 8 * time.Second, Duration: seriesLength, Seed: 1,
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Log(r)
	rules := d.CheckRecord()
	g.Expect(rules.Violations()).To(BeZero(), rules.String())
	g.Expect(r.Stale + r.Lost + r.RanAfterRefusal).To(BeZero())
	g.Expect(r.Answered).To(BeNumerically(">", 300))
}

// buildProgram builds the product and returns its path.
func buildProgram(t *testing.T, dir string) string {
	t.Helper()
	path := filepath.Join(dir, "marjoramrudder")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "../../../cmd/marjoramrudder").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %s: %s", err, out)
	}
	return path
}

// keepRunning runs an instance as a process, which is started again whenever it ends,
// until ctx ends. Its process id is where the deployment looks for it.
func keepRunning(ctx context.Context, dir, name, program string) error {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = log.Close() }()
	for {
		c := exec.CommandContext(ctx, program, "platform", "--config", filepath.Join(dir, name+".json"))
		c.Stdout, c.Stderr = log, log
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGKILL) } // also ends a frozen one
		if err := c.Start(); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("start %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, "pids", name), []byte(strconv.Itoa(c.Process.Pid)), 0o600); err != nil {
			return fmt.Errorf("write process id: %w", err)
		}
		_ = c.Wait() // most processes are killed
		if !tasks.Pause(ctx, restartPause) {
			return nil
		}
	}
}

func checkReady(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
