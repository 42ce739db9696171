package fetch

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const limit = 5 * time.Second

var began = time.Unix(1000, 0)

// textOf returns a text of a version that compresses badly. Versions differ in a
// line.
func textOf(version ident.Version, lines int) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "version %d\n", version)
	for i := range lines {
		fmt.Fprintf(&out, "%x\n", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	return out.Bytes()
}

// peers are instances that serve pieces.
type peers map[ident.Instance]*History

func (p peers) add(name ident.Instance, versions ...ident.Version) {
	h := &History{}
	for _, v := range versions {
		h.Add(v, textOf(v, 20_000))
	}
	p[name] = h
}

// fetchFrom answers requests until the text is complete or a source does not answer.
func (p peers) fetchFrom(d *Document, now time.Time, requests []Request) (text []byte, arrived int, err error) {
	for len(requests) > 0 {
		r := requests[0]
		requests = requests[1:]
		h := p[r.To]
		if h == nil {
			return nil, arrived, nil
		}
		piece, ok := h.Piece(r)
		if !ok {
			return nil, arrived, nil
		}
		arrived += len(piece.Bytes)
		var more []Request
		if text, more, err = d.Receive(now, r.To, piece); text != nil || err != nil {
			return text, arrived, err
		}
		requests = append(requests, more...)
	}
	return nil, arrived, nil
}

func behind(version ident.Version, sources ...ident.Instance) *Document {
	d := NewDocument(limit, 0)
	d.NoFeed = true
	if version > 0 {
		d.Received(began.Add(-time.Minute), version, textOf(version, 20_000))
	}
	for _, s := range sources {
		d.Observe(began, Source{Instance: s, Near: true}, 12)
	}
	return d
}

// One changed line cost the whole text.
func TestChangeCostsItsSize(t *testing.T) {
	g := NewWithT(t)
	p := peers{}
	p.add("hub", 10, 11, 12)
	d := behind(10, "hub")
	text, arrived, err := p.fetchFrom(d, began, d.Requests(began))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(textOf(12, 20_000)))
	g.Expect(arrived).To(BeNumerically("<", 500))
}

// An instance that has just started has no base, and the source may no longer have
// that of one that was away.
func TestWholeTextWithoutCommonBase(t *testing.T) {
	for name, c := range map[string]struct {
		own  ident.Version
		kept []ident.Version
	}{
		"after a start": {0, []ident.Version{10, 11, 12}},
		"unknown base":  {7, []ident.Version{11, 12}},
	} {
		g := NewWithT(t)
		p := peers{}
		p.add("hub", c.kept...)
		d := behind(c.own, "hub")
		text, _, err := p.fetchFrom(d, began, d.Requests(began))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(text).To(Equal(textOf(12, 20_000)), name)
	}
}

// A transfer whose source fell silent was requested again from the same source and
// from its beginning.
func TestStalledTransferGoesOnElsewhere(t *testing.T) {
	g := NewWithT(t)
	p := peers{}
	p.add("first", 12)
	d := behind(0, "first", "second")
	requests := d.Requests(began)
	g.Expect(requests).To(HaveLen(1))
	first, _ := p["first"].Piece(requests[0])
	_, more, err := d.Receive(began, "first", first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(more).NotTo(BeEmpty())

	g.Expect(d.Requests(began.Add(limit/stallShare-1))).To(BeEmpty(), "no second request while the transfer may make progress")
	later := began.Add(limit / stallShare)
	requests = d.Requests(later)
	g.Expect(requests[0].To).To(Equal(ident.Instance("second")))
	g.Expect(requests[0].Offset).To(Equal(len(first.Bytes)))

	p.add("second", 12)
	text, _, err := p.fetchFrom(d, later, requests)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(textOf(12, 20_000)))
}

// A source that left was waited for as long as one that is slow.
func TestLostSourceIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := peers{}
	p.add("first", 12)
	p.add("second", 12)
	d := behind(0, "first", "second")
	requests := d.Requests(began)
	first, _ := p["first"].Piece(requests[0])
	_, _, err := d.Receive(began, "first", first)
	g.Expect(err).NotTo(HaveOccurred())
	d.Forget("first")
	requests = d.Requests(began.Add(time.Millisecond))
	g.Expect(requests[0].To).To(Equal(ident.Instance("second")))
	text, _, err := p.fetchFrom(d, began, requests)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(textOf(12, 20_000)))
}

// All known sources are lost. Nothing is requested until another one is known, and
// the store is read.
func TestNoSourceIsLeft(t *testing.T) {
	g := NewWithT(t)
	d := behind(0, "first")
	g.Expect(d.Requests(began)).To(HaveLen(1))
	d.Forget("first")
	g.Expect(d.Requests(began.Add(2 * time.Second))).To(BeEmpty())
	g.Expect(d.NeedsStore(began.Add(2 * time.Second))).To(BeTrue())
	d.Observe(began.Add(3*time.Second), Source{Instance: "second"}, 12)
	g.Expect(d.Requests(began.Add(3 * time.Second))).To(HaveLen(1))
}

// Another version comes into force at the source during the transfer. The one under
// way is completed, and the rest is a small change.
func TestTransferOutlivesLaterChange(t *testing.T) {
	g := NewWithT(t)
	p := peers{}
	p.add("hub", 12)
	d := behind(0, "hub")
	requests := d.Requests(began)
	first, _ := p["hub"].Piece(requests[0])
	_, more, err := d.Receive(began, "hub", first)
	g.Expect(err).NotTo(HaveOccurred())
	p["hub"].Add(13, textOf(13, 20_000))
	d.Observe(began, Source{Instance: "hub", Near: true}, 13)
	text, _, err := p.fetchFrom(d, began, more)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(textOf(12, 20_000)))
	d.Received(began, 12, text)
	now := began.Add(fetchSpacing)
	text, arrived, err := p.fetchFrom(d, now, d.Requests(now))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(textOf(13, 20_000)))
	g.Expect(arrived).To(BeNumerically("<", 500))
}

// The source has put so many versions in force that the one under way is gone.
func TestTransferOfForgottenVersionStartsAnew(t *testing.T) {
	g := NewWithT(t)
	p := peers{}
	p.add("hub", 12)
	d := behind(0, "hub")
	first, _ := p["hub"].Piece(d.Requests(began)[0])
	_, more, err := d.Receive(began, "hub", first)
	g.Expect(err).NotTo(HaveOccurred())
	for v := ident.Version(13); v < 20; v++ {
		p["hub"].Add(v, textOf(v, 20_000))
	}
	text, _, err := p.fetchFrom(d, began, more)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(textOf(19, 20_000)))
}

// Wrong bytes leave the version in force unchanged, and the whole text is requested.
func TestWrongBytesAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Piece){
		"digest":     func(p *Piece) { p.Digest[0]++ },
		"bytes":      func(p *Piece) { p.Bytes = bytes.Repeat([]byte{7}, len(p.Bytes)) },
		"size":       func(p *Piece) { p.Size = MaxText + 1 },
		"offset":     func(p *Piece) { p.Offset = -1 },
		"too long":   func(p *Piece) { p.Size = len(p.Bytes) - 1 },
		"other base": func(p *Piece) { p.Base = 9 },
	} {
		g := NewWithT(t)
		p := peers{}
		p.add("hub", 10, 12)
		d := behind(10, "hub")
		piece, _ := p["hub"].Piece(d.Requests(began)[0])
		spoil(&piece)
		_, _, err := d.Receive(began, "hub", piece)
		g.Expect(errors.Is(err, ErrUnusable)).To(BeTrue(), name)
		now := began.Add(replyTimeout)
		text, _, err := p.fetchFrom(d, now, d.Requests(now))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(text).To(Equal(textOf(12, 20_000)), name)
	}
}

// A text that can't be put in force was requested again each second.
func TestUnusableVersionIsNotRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	d := behind(10, "hub")
	g.Expect(d.Requests(began)).NotTo(BeEmpty())
	d.Unusable(12)
	d.Observe(began, Source{Instance: "other", Near: true}, 12)
	g.Expect(d.Requests(began.Add(time.Minute))).To(BeEmpty())
	d.Observe(began, Source{Instance: "other", Near: true}, 13)
	g.Expect(d.Requests(began.Add(time.Minute))).NotTo(BeEmpty())
}

// An instance that no peer serves reads the store before the limit has passed. One
// whose transfer will be complete in time does not.
func TestStoreIsReadWhenPeersAreSlow(t *testing.T) {
	g := NewWithT(t)
	p := peers{}
	p.add("hub", 12)
	d := behind(0, "hub")
	requests := d.Requests(began)
	g.Expect(d.NeedsStore(began.Add(limit/storeShare - 1))).To(BeFalse())
	g.Expect(d.NeedsStore(began.Add(limit/storeShare))).To(BeTrue(), "no piece has arrived")

	first, _ := p["hub"].Piece(requests[0])
	g.Expect(len(first.Bytes) * 8).To(BeNumerically("<", first.Size))
	_, _, err := d.Receive(began.Add(limit/storeShare), "hub", first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.NeedsStore(began.Add(limit/storeShare))).To(BeTrue(), "an eighth of the text in a fifth of the limit")

	fast := behind(0, "hub")
	requests = fast.Requests(began)
	for range 5 {
		piece, _ := p["hub"].Piece(requests[0])
		_, more, err := fast.Receive(began, "hub", piece)
		g.Expect(err).NotTo(HaveOccurred())
		requests = append(requests[1:], more...)
	}
	g.Expect(fast.NeedsStore(began.Add(limit/storeShare))).To(BeFalse(), "most of the text in a fifth of the limit")
}

// FuzzReceive sends hostile pieces. No text other than that of the digest is
// accepted.
func FuzzReceive(f *testing.F) {
	p := peers{}
	p.add("hub", 10, 12)
	piece, _ := p["hub"].Piece(Request{Version: 12, Base: 10, Length: pieceBytes})
	f.Add(piece.Bytes, piece.Size, piece.Offset, uint64(10))
	f.Fuzz(func(t *testing.T, encoding []byte, size, offset int, base uint64) {
		d := behind(10, "hub")
		d.Requests(began)
		text, _, err := d.Receive(began, "hub", Piece{
			Version: 12, Base: ident.Version(base), Digest: piece.Digest, Size: size, Offset: offset, Bytes: encoding,
		})
		if err != nil && !errors.Is(err, ErrUnusable) {
			t.Fatalf("untyped error: %v", err)
		}
		if text != nil && sha256.Sum256(text) != piece.Digest {
			t.Fatal("wrong text")
		}
	})
}

func BenchmarkEncodeChange(b *testing.B) {
	base, text := textOf(10, 20_000), textOf(11, 20_000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		encode(base, text)
	}
}

func BenchmarkDecodeChange(b *testing.B) {
	base, text := textOf(10, 20_000), textOf(11, 20_000)
	encoding := encode(base, text)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := decode(base, encoding, sha256.Sum256(text)); err != nil {
			b.Fatal(err)
		}
	}
}
