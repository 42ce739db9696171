package fetch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A large configuration comes into force and 60 instances report it within a
// few milliseconds. The instance sends no request while its own feed of the
// store may deliver it, and then only one.
func TestFetchSendsOneRequest(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	var f Fetcher[ident.Version]
	f.Received(start.Add(-time.Minute), 4)
	requests := func(after time.Duration) int {
		n := 0
		for i := range 60 {
			now := start.Add(after + time.Duration(i)*time.Millisecond)
			f.Observe(now, Source{Instance: ident.Instance(fmt.Sprint(i))}, 5)
			if _, ok := f.Due(now); ok {
				n++
			}
		}
		return n
	}
	g.Expect(requests(0)).To(Equal(0), "its own feed may deliver it")
	g.Expect(requests(time.Second)).To(Equal(1))
	g.Expect(requests(1500*time.Millisecond)).To(Equal(0), "the reply is pending")
	g.Expect(requests(2100*time.Millisecond)).To(Equal(1), "the request timed out")

	f.Received(start.Add(3*time.Second), 5)
	_, ok := f.Due(start.Add(time.Minute))
	g.Expect(ok).To(BeFalse())
}

// An instance that has just started requests the configuration from the first
// instance that reports one.
func TestFetchAfterStart(t *testing.T) {
	g := NewWithT(t)
	var f Fetcher[ident.Version]
	now := time.Unix(1000, 0)
	f.Observe(now, Source{Instance: "other"}, 5)
	source, ok := f.Due(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(source).To(Equal(ident.Instance("other")))
}

// An instance that does not follow the store requests a new version at once
// from an instance in its own data centre, and waits for such a source when only
// a distant one has reported the version.
func TestFetchPrefersNearSource(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := Fetcher[ident.Version]{NoFeed: true}
	f.Received(now.Add(-time.Minute), 4)
	f.Observe(now, Source{Instance: "far"}, 5)
	_, ok := f.Due(now.Add(feedWait - 1))
	g.Expect(ok).To(BeFalse())
	f.Observe(now, Source{Instance: "near", Near: true}, 5)
	f.Observe(now, Source{Instance: "far"}, 5)
	source, ok := f.Due(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(source).To(Equal(ident.Instance("near")))
}

// Changes in quick succession, as when the endpoints of a group are replaced,
// are requested together.
func TestFetchBatchesChanges(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := Fetcher[ident.Revision]{NoFeed: true}
	requests := 0
	for i := range 100 {
		f.Observe(now, Source{Instance: "near", Near: true}, ident.Revision(i+2))
		if _, ok := f.Due(now); ok {
			requests++
			f.Received(now, f.newest)
		}
		now = now.Add(10 * time.Millisecond)
	}
	g.Expect(requests).To(BeNumerically("<=", 3))
}
