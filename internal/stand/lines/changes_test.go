package lines

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

// watchWith returns a watch whose version 3 was accepted after a minute, with a
// freeze of n2 that ends 10 s later.
func watchWith(t *testing.T) (*configWatch, time.Time) {
	t.Helper()
	group := emul.NewGroup(emul.GroupConfig{Name: "g1", Servers: 1})
	t.Cleanup(group.Close)
	began := time.Unix(1000, 0)
	w := newConfigWatch(&Deployment{config: DeploymentConfig{Faults: []Fault{
		{At: 68 * time.Second, Kind: "freeze", Instance: "n2"}, {At: 70 * time.Second, Kind: "thaw", Instance: "n2"},
	}}})
	accepted := began.Add(time.Minute)
	w.began, w.version, w.accepted[3] = began, 3, accepted
	return w, accepted
}

// The soak did not notice a version that an instance never put in force, nor one that
// it gave up again.
func TestConfigWatch(t *testing.T) {
	const boot, laterBoot = 7, 8
	g := NewWithT(t)
	w, accepted := watchWith(t)
	at := func(d time.Duration) time.Time { return accepted.Add(d) }

	w.record("n1", boot, 3, at(-time.Minute), true)
	w.record("n1", boot, 3, at(configLimit), true)
	g.Expect(w.report.Violations()).To(BeZero(), "within the limit")
	w.record("n1", boot, 3, at(configLimit+1), true)
	g.Expect(w.report.Late).To(HaveLen(1))

	w.record("n1", boot, 3, at(configLimit+1), false)
	w.record("n1", boot, 3, at(configLimit+2), true)
	g.Expect(w.report.Reverted).To(HaveLen(1))
	w.record("n1", laterBoot, 3, at(configLimit+3), true)
	g.Expect(w.report.Violations()).To(Equal(2), "a process that has just started")

	w.record("n2", boot, 3, at(9*time.Second), true)
	w.record("n2", boot, 3, at(10*time.Second+configLimit), true)
	g.Expect(w.report.Violations()).To(Equal(2), "frozen, and within the limit after it")
	w.record("n2", boot, 3, at(10*time.Second+configLimit+1), true)
	g.Expect(w.report.Late).To(HaveLen(2))
}
