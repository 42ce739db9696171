package peer

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// slowPair connects two meshes whose links carry rate bytes a second.
func slowPair(t *testing.T, rate int, opts ...Option) (a, b *node) {
	t.Helper()
	g := NewWithT(t)
	network := emul.NewNetwork()
	t.Cleanup(network.Close)
	start := func(name ident.Instance) *node {
		host := string(name)
		network.Throttle(host, rate)
		listener, err := network.Listen(host + ":1")
		g.Expect(err).NotTo(HaveOccurred())
		return startOn(t, name, testSecret, listener, append(opts, WithDialer(network.From(host)))...)
	}
	a, b = start("a"), start("b")
	connectAll(a, b)
	g.Eventually(b.Connected, eventTimeout).Should(HaveLen(1))
	return a, b
}

// A document that took longer than a ping made its link look silent. The link was
// closed with all calls on it, and the transfer was lost.
func TestLinkThatCarriesDataIsAlive(t *testing.T) {
	g := NewWithT(t)
	var ended atomic.Int64
	a, b := slowPair(t, 1<<20, WithPing(20*time.Millisecond, 100*time.Millisecond), WithLinkObserver(func(_ ident.Process, up bool, _ LinkEnd) {
		if !up {
			ended.Add(1)
		}
	}))
	text := bytes.Repeat([]byte("route "), 100<<10)
	g.Expect(b.Offer("a", Document{Version: 7, Text: text})).To(BeTrue())
	g.Eventually(a.inbox.messages, eventTimeout).Should(Equal([]Message{Document{Version: 7, Text: text}}))
	g.Expect(ended.Load()).To(BeZero())
}

// A short message waited until a large one before it had been sent.
func TestShortMessageOvertakesLargeOne(t *testing.T) {
	g := NewWithT(t)
	a, b := slowPair(t, 1<<20)
	g.Expect(b.Offer("a", Document{Version: 7, Text: make([]byte, MaxDocument)})).To(BeTrue())
	time.Sleep(20 * time.Millisecond)
	g.Expect(b.Offer("a", Leaving{})).To(BeTrue())
	g.Eventually(a.inbox.messages, eventTimeout).Should(HaveLen(2))
	g.Expect(a.inbox.messages()[0]).To(Equal(Leaving{}))
}

// An instance of an earlier version does not know parts.
func TestNoPartsToEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	l := &link{options: &options{}, stats: newStats(), queue: make(chan frame, 1), large: make(chan frame, 1)}
	l.peer.Protocol = partsProtocol - 1
	g.Expect(l.send(frame{kind: DocumentKind, bytes: make([]byte, partBytes+1)})).To(BeTrue())
	g.Expect(l.queue).To(HaveLen(1))
}

func TestPartsJoin(t *testing.T) {
	for _, size := range []int{1, partBytes, partBytes + 1, 3*partBytes + 7} {
		g := NewWithT(t)
		want := bytes.Repeat([]byte{7}, size)
		var s splitter
		var j joiner
		s.start(frame{kind: DocumentKind, bytes: want})
		var got []byte
		for s.busy() {
			f, err := s.next()
			g.Expect(err).NotTo(HaveOccurred())
			m, err := Decode(f.bytes)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(BeNil())
			got, err = j.add(m.(Part))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(got).To(Equal(want))
	}
}

// FuzzParts joins hostile parts. No frame is larger than allowed, and each is
// exactly what was announced.
func FuzzParts(f *testing.F) {
	f.Add([]byte("abc"), 2, []byte("de"), 0)
	f.Add([]byte("abc"), 1<<40, []byte("de"), -1)
	f.Fuzz(func(t *testing.T, first []byte, firstRest int, second []byte, secondRest int) {
		var j joiner
		got, err := j.add(Part{Bytes: first, Rest: firstRest})
		if err == nil && got == nil {
			got, err = j.add(Part{Bytes: second, Rest: secondRest})
			if err == nil && secondRest == 0 && len(got) != len(first)+firstRest {
				t.Fatalf("%d bytes, %d announced", len(got), len(first)+firstRest)
			}
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("untyped error: %v", err)
		}
		if len(got) > MaxFrame {
			t.Fatalf("frame of %d bytes", len(got))
		}
	})
}
