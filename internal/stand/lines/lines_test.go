package lines_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/lines"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
	"github.com/marjoramrudder/marjoramrudder/platform"
)

// basePort is the first port of the instances.
const basePort = 17431

// trial is a deployment whose instances run in this process.
type trial struct {
	group    emul.GroupConfig
	faults   []lines.Fault
	seed     uint64 // of random faults, zero for none
	duration time.Duration
}

// smallGroup is a group whose commits need a replica.
var smallGroup = emul.GroupConfig{
	Servers: 3, Slots: 2, MaxConns: 16, Sync: 1,
	Work: 2 * time.Millisecond, Lag: 10 * time.Millisecond, PromoteTime: 300 * time.Millisecond,
}

// run drives callers during the faults. It returns their report and the number
// of lost commits.
func (c trial) run(t *testing.T) (*lines.Report, int) {
	t.Helper()
	g := NewWithT(t)
	dir := t.TempDir()
	d, err := lines.Open(t.Context(), lines.DeploymentConfig{
		Groups: 2, Instances: 3, Accounts: 3, Rate: 1000, Dir: dir, BasePort: basePort, Network: reserveNetwork(t),
		Group: c.group, Faults: c.faults, Seed: c.seed, Length: c.duration,
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
		Sessions: 4, Pause: 20 * time.Millisecond, Writes: 0.3, Transactions: 0.3, Timeout: time.Second, Duration: c.duration, Seed: 1,
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Log(r)
	evacuations := d.CheckEvacuations()
	t.Log(evacuations)
	g.Expect(evacuations.Violations()).To(BeZero())
	return r, d.Lost()
}

// TestGuaranteesDuringCrash runs instances on loopback connections while a
// primary crashes and restarts, and checks that no acknowledged write is lost
// and no read is stale.
func TestGuaranteesDuringCrash(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r, lost := trial{group: smallGroup, duration: 5 * time.Second, faults: []lines.Fault{
		{At: 3 * time.Second, Kind: "crash", Server: "g1-a"},
		{At: 5 * time.Second, Kind: "restart", Server: "g1-a"},
	}}.run(t)
	g.Expect(r.Violations()).To(BeZero())
	g.Expect(lost).To(BeZero())
	g.Expect(r.Answered).To(BeNumerically(">", 300))
}

// TestGuaranteesUnderRandomFaults injects random faults of servers and of the
// store.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r, lost := trial{group: smallGroup, duration: 24 * time.Second, seed: 4}.run(t)
	g.Expect(r.Violations()).To(BeZero())
	g.Expect(lost).To(BeZero())
}

// TestChecksFindLostCommits checks the checks: where no replica has to hold a
// commit, the crash of a primary whose replicas receive nothing loses some.
func TestChecksFindLostCommits(t *testing.T) {
	t.Parallel()
	group := smallGroup
	group.Sync = 0
	var faults []lines.Fault
	for _, s := range []ident.Endpoint{"g1-b", "g1-c"} {
		faults = append(faults, lines.Fault{At: 2 * time.Second, Kind: "deaf", Server: s})
	}
	faults = append(faults, lines.Fault{At: 4 * time.Second, Kind: "crash", Server: "g1-a"})
	r, lost := trial{group: group, duration: 7 * time.Second, faults: faults}.run(t)
	NewWithT(t).Expect(r.Violations() + lost).To(BeNumerically(">", 0))
}

func TestPlan(t *testing.T) {
	g := NewWithT(t)
	const length = time.Minute
	groups := []*emul.Group{emul.NewGroup(named("g1")), emul.NewGroup(named("g2"))}
	kinds := map[string]int{}
	for seed := range uint64(20) {
		plan := lines.NewPlan(seed, groups, 3, length)
		g.Expect(lines.NewPlan(seed, groups, 3, length)).To(Equal(plan))
		faulty := map[ident.Endpoint]ident.Endpoint{} // by group
		for _, f := range plan {
			kinds[f.Kind]++
			g.Expect(lines.ParseFault(f.String())).To(HaveField("Kind", f.Kind))
			if f.Server == "" {
				continue
			}
			group := f.Server[:2]
			switch f.Kind {
			case "reset":
			case "mend", "restart", "clear":
				g.Expect(faulty[group]).To(Equal(f.Server))
				delete(faulty, group)
			default:
				g.Expect(faulty).NotTo(HaveKey(group), "one faulty server at a time")
				faulty[group] = f.Server
			}
		}
		g.Expect(faulty).To(BeEmpty(), "every fault ends")
	}
	g.Expect(kinds["freeze"]).To(Equal(kinds["thaw"]))
	g.Expect(kinds["storedown"]).To(Equal(kinds["storeup"]))
	for _, k := range []string{"crash", "dark", "deaf", "cut", "storedown", "slow", "silent", "oneway", "reset", "freeze", "kill", "stop", "reload"} {
		g.Expect(kinds).To(HaveKey(k))
	}
	for _, f := range lines.NewPlan(1, groups, 0, length) {
		g.Expect(f.Instance).To(BeEmpty())
	}
}

// TestPlanRolls checks that several instances stop at the same time, that at
// least one is always spared, and that stopping instances get other signals.
func TestPlanRolls(t *testing.T) {
	for _, instances := range []int{2, 3, 8, 16, 60} {
		t.Run(strconv.Itoa(instances), func(t *testing.T) {
			g := NewWithT(t)
			most, follows := 0, map[string]int{}
			for seed := range uint64(60) {
				stops := map[ident.Instance]time.Duration{} // latest stop
				hits := map[ident.Instance]time.Duration{}  // latest fault
				for _, f := range lines.NewPlan(seed, []*emul.Group{emul.NewGroup(named("g1"))}, instances, 2*time.Minute) {
					if f.Instance == "" {
						continue
					}
					if at, ok := stops[f.Instance]; ok && f.At-at < grace {
						follows[f.Kind]++
					} else if f.Kind == "stop" {
						stops[f.Instance] = f.At
					}
					hits[f.Instance] = f.At
					g.Expect(since(hits, f.At)).To(BeNumerically("<", instances), "an instance is spared: seed %d, %s", seed, f)
					most = max(most, since(stops, f.At))
				}
			}
			g.Expect(most).To(BeNumerically(">=", instances/2), "most instances stop at the same time")
			for _, kind := range []string{"stop", "reload", "kill"} {
				g.Expect(follows).To(HaveKey(kind))
			}
			g.Expect(follows).To(HaveLen(3), "nothing else hits a stopping instance")
		})
	}
}

// grace is the time that an instance has for a graceful stop.
const grace = 6 * time.Second

// since counts the instances with a time within the grace period before now.
func since(times map[ident.Instance]time.Duration, now time.Duration) int {
	n := 0
	for _, at := range times {
		if now-at < grace {
			n++
		}
	}
	return n
}

func named(name ident.Group) emul.GroupConfig {
	c := smallGroup
	c.Name = name
	return c
}

func TestParseFault(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lines.ParseFault("5s:crash:g1-a")).To(Equal(lines.Fault{At: 5 * time.Second, Kind: "crash", Server: "g1-a"}))
	g.Expect(lines.ParseFault("2s:stop:n1")).To(Equal(lines.Fault{At: 2 * time.Second, Kind: "stop", Instance: "n1"}))
	g.Expect(lines.ParseFault("1s:storedown")).To(Equal(lines.Fault{At: time.Second, Kind: "storedown"}))
	for _, text := range []string{"", "5s", "x:crash:g1-a", "5s:crash", "5s:explode:g1-a", "1s:storedown:g1-a", "1s:a:b:c", "1s:kill"} {
		_, err := lines.ParseFault(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}
