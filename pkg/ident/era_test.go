package ident

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestEpochsOfErasDiffer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Era(0).NextEpoch(0)).To(Equal(Epoch(1)))
	g.Expect(Era(0).NextEpoch(6)).To(Equal(Epoch(7)))
	lost := Era(1).NextEpoch(1)
	again := Era(2).NextEpoch(1)
	g.Expect(again).To(BeNumerically(">", lost))
	g.Expect(again.Era()).To(Equal(Era(2)))
	g.Expect(Era(1).NextEpoch(again)).To(BeNumerically(">", again), "an instance that has not heard of the later era")
}

func TestRevisionsOfLaterErasAreNewer(t *testing.T) {
	g := NewWithT(t)
	old, now := Era(3).Revision(900), Era(4).Revision(7)
	g.Expect(now).To(BeNumerically(">", old))
	g.Expect(now.Era()).To(Equal(Era(4)))
	g.Expect(now.Version()).To(Equal(uint64(7)))
	g.Expect(Era(0).Revision(7)).To(Equal(Revision(7)))
}
