package lines_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/lines"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/platform"
)

// basePort is the first port of the instances.
const basePort = 17431

// TestGuaranteesDuringCrash runs instances on loopback connections while a
// primary crashes and restarts, and checks that no acknowledged write is lost
// and no read is stale.
func TestGuaranteesDuringCrash(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	d, err := lines.Open(t.Context(), lines.DeploymentConfig{
		Groups: 2, Instances: 3, Accounts: 3, Rate: 1000, Dir: dir, BasePort: basePort,
		Group: emul.GroupConfig{
			Servers: 3, Slots: 2, MaxConns: 16, Sync: 1,
			Work: 2 * time.Millisecond, Lag: 10 * time.Millisecond, PromoteTime: 300 * time.Millisecond,
		},
		Faults: []lines.Fault{
			{At: 3 * time.Second, Kind: "crash", Server: "g1-a"},
			{At: 5 * time.Second, Kind: "restart", Server: "g1-a"},
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(d.Close()).To(Succeed()) }()

	instances := tasks.New(t.Context())
	var fronts []string
	for i := range 3 {
		fronts = append(fronts, d.Front(i))
		text, err := os.ReadFile(filepath.Join(dir, []string{"n1.json", "n2.json", "n3.json"}[i]))
		g.Expect(err).NotTo(HaveOccurred())
		settings, err := platform.ParseSettings(text)
		g.Expect(err).NotTo(HaveOccurred())
		instances.Go(func(ctx context.Context) error { return platform.Serve(ctx, settings, nil, nil) })
	}
	defer func() { g.Expect(instances.Close()).To(Succeed()) }()
	time.Sleep(time.Second)

	r, err := lines.Load(t.Context(), lines.LoadConfig{
		Dial: (&net.Dialer{}).DialContext, Fronts: fronts, Routes: d.Routes(), Keys: d.Keys(),
		Sessions: 4, Pause: 20 * time.Millisecond, Writes: 0.3, Timeout: time.Second, Duration: 5 * time.Second, Seed: 1,
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Log(r)
	g.Expect(r.Violations()).To(BeZero())
	g.Expect(d.Lost()).To(BeZero())
	g.Expect(r.Answered).To(BeNumerically(">", 300))
}

func TestParseFault(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lines.ParseFault("5s:crash:g1-a")).To(Equal(lines.Fault{At: 5 * time.Second, Kind: "crash", Server: "g1-a"}))
	g.Expect(lines.ParseFault("1s:storedown")).To(Equal(lines.Fault{At: time.Second, Kind: "storedown"}))
	for _, text := range []string{"", "5s", "x:crash:g1-a", "5s:crash", "5s:explode:g1-a", "1s:storedown:g1-a", "1s:a:b:c"} {
		_, err := lines.ParseFault(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}
