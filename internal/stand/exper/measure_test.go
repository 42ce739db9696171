package exper

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRunMeasuresFailover runs a small deployment through a failover. It
// asserts only the guarantees, because the measured values depend on the
// machine.
func TestRunMeasuresFailover(t *testing.T) {
	g := NewWithT(t)
	p, err := layout.Named("demo")
	g.Expect(err).NotTo(HaveOccurred())
	p.Groups, p.Proxies = p.Groups[:1], 2
	m, err := Run(context.Background(), p, Scenario{Name: "cut", Faults: []Fault{partitionPrimary}}, Current, Options{Seed: 1, Length: 4500 * time.Millisecond, Share: 0.3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.Violations).To(BeZero(), "%v", m.Report.Violations.Examples)
	g.Expect(m.Invariants).To(BeZero())
	g.Expect(m.Gap).To(BeNumerically(">", 0))
	g.Expect(m.ReplicaShare).To(BeNumerically(">", 0))
	dir := t.TempDir()
	g.Expect(Plot(dir, []*Result{m})).To(Succeed())
	g.Expect(filepath.Glob(filepath.Join(dir, "demo-*.svg"))).To(HaveLen(len(charts)))
	var out bytes.Buffer
	g.Expect(Print(&out, []*Result{m})).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("| demo | cut | current |"))
}

func TestSummariseSkipsFloodingAccount(t *testing.T) {
	g := NewWithT(t)
	r := &load.Report{
		Accounts: []load.Row{
			{Name: "flood", WithinQuota: 10, InTime: 1, Wrongful: 1},
			{Name: "small", WithinQuota: 10, InTime: 9, P99: 7},
			{Name: "large", WithinQuota: 10, InTime: 10},
		},
		Gaps: []load.Gap{{Group: "other", Longest: 9}, {Group: "hit", Longest: 2}},
	}
	m := summarise(r, "hit", "flood")
	g.Expect(m.Worst).To(Equal("small"))
	g.Expect(m.WorstInTime).To(Equal(0.9))
	g.Expect(m.WorstP99).To(Equal(7.0))
	g.Expect(m.Gap).To(Equal(2.0))
	g.Expect(m.Wrongful).To(Equal(1))
	g.Expect(m.WithinQuota).To(Equal(30))
}
