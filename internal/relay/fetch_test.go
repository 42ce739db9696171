package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A large configuration comes into force: 60 instances tell of it within a few
// milliseconds. The instance's own feed of the store brings it as well, so it
// asks nobody; when the feed does not, it asks one.
func TestFetchAsksOne(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	var f fetch[ident.Version]
	f.got(4)
	asked := func(after time.Duration) int {
		n := 0
		for i := range 60 {
			now := start.Add(after + time.Duration(i)*time.Millisecond)
			f.hear(now, ident.Instance(fmt.Sprint(i)), 5)
			if _, ok := f.due(now); ok {
				n++
			}
		}
		return n
	}
	g.Expect(asked(0)).To(Equal(0), "its own feed may bring it")
	g.Expect(asked(time.Second)).To(Equal(1))
	g.Expect(asked(1500*time.Millisecond)).To(Equal(0), "the answer is on its way")
	g.Expect(asked(2100*time.Millisecond)).To(Equal(1), "there was none")

	f.got(5)
	_, ok := f.due(start.Add(time.Minute))
	g.Expect(ok).To(BeFalse())
}

// An instance that has just started asks the first one that it hears.
func TestFetchAtTheStart(t *testing.T) {
	g := NewWithT(t)
	var f fetch[ident.Version]
	now := time.Unix(1000, 0)
	f.hear(now, "other", 5)
	holder, ok := f.due(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(holder).To(Equal(ident.Instance("other")))
}
