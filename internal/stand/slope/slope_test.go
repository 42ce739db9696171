package slope

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMeasureSetsEveryField(t *testing.T) {
	g := NewWithT(t)
	o := Options{Settle: time.Second, Window: 2 * time.Second, Changes: 1}
	p, err := Measure(context.Background(), Shape{Instances: 2, Groups: 1, Accounts: 1, Moved: 1}, o)
	g.Expect(err).NotTo(HaveOccurred())
	for name, v := range map[string]float64{
		"ProcessCore": p.ProcessCore, "Memory": p.Memory, "Messages": p.Messages, "HeadBytes": p.HeadBytes, "Probes": p.Probes,
		"StoreReads": p.StoreReads, "StoreWrites": p.StoreWrites, "ChangeSeconds": p.ChangeSeconds, "MoveSeconds": p.MoveSeconds,
	} {
		g.Expect(v).To(BeNumerically(">", 0), name)
	}
	var table bytes.Buffer
	g.Expect(Print(&table, []*Point{p})).To(Succeed())
	g.Expect(table.String()).To(ContainSubstring("| 2 | 1 | 1 |"))
}
