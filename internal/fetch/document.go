package fetch

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// MaxText limits the text of a configuration, in bytes.
	MaxText = 16 << 20
	// pieceBytes is the size of a piece.
	pieceBytes = 64 << 10
	// maxRequested is how many bytes beyond those that have arrived are requested.
	maxRequested = 2 * pieceBytes
	// stallShare is the part of the time limit of a change after which a transfer
	// without progress goes on at another source.
	stallShare = 5
	// storeShare is the part of the time limit of a change after which an instance
	// that no peer serves in time begins to read the store. The instances begin
	// within another such part.
	storeShare = 5
	// servedShare is the part of the time limit within which a transfer has to be
	// complete, by its rate so far, for the store not to be read.
	servedShare = 2.0 / 3
)

// ErrUnusable reports a piece or a text that can't be used. The text in force is
// unchanged.
var ErrUnusable = errors.New("unusable document")

// Request asks for a piece of an encoding of a version's text. A request from
// Offset zero may be answered with a newer version, and with a delta against Base.
type Request struct {
	To      ident.Instance
	Version ident.Version
	// Base is the version that the receiver has, zero if it needs the whole text.
	Base   ident.Version
	Offset int
	Length int
}

// Piece is a part of the encoding of a text: compressed, and a delta against the text
// of Base if that is not zero. Size is that of the encoding.
type Piece struct {
	Version ident.Version
	Base    ident.Version
	Digest  Digest // of the text
	Size    int
	Offset  int
	Bytes   []byte
}

// sameEncoding reports whether two pieces belong to the same encoding.
func (p Piece) sameEncoding(o Piece) bool {
	return p.Version == o.Version && p.Base == o.Base && p.Digest == o.Digest && p.Size == o.Size
}

// transfer is the state of one transfer. The zero value means that there is none.
type transfer struct {
	source     ident.Instance
	head       Piece // describes the encoding, without bytes, once a piece has arrived
	bytes      []byte
	requested  int // bytes requested so far
	startedAt  time.Time
	progressAt time.Time // when the latest piece arrived or was requested anew
}

func (t *transfer) active() bool { return t.source != "" }

// known reports whether the size is known.
func (t *transfer) known() bool { return t.head.Size > 0 }

// Transfer describes a transfer under way, for logs and metrics.
type Transfer struct {
	Source  ident.Instance
	Version ident.Version
	Base    ident.Version
	Size    int // zero until the first piece has arrived
	Arrived int
	Took    time.Duration
}

// Document fetches the text of a configuration from other instances. A transfer is
// judged by its progress: while pieces arrive, nothing is requested twice, and a
// transfer that stalls goes on where it was at another source.
type Document struct {
	Fetcher[ident.Version]
	// limit is the time within which a change has to be in force.
	limit time.Duration
	// spread is between 0 and 1. It differs between instances.
	spread   float64
	text     []byte // in force
	unusable ident.Version
	// wholeOnly is set after a delta that did not yield the text.
	wholeOnly bool
	transfer  transfer
}

// NewDocument returns a Document of an instance. spread, between 0 and 1, spreads
// the instances that read the store at the same time.
func NewDocument(limit time.Duration, spread float64) *Document {
	return &Document{limit: limit, spread: spread}
}

// Observe records the version that another instance has.
func (d *Document) Observe(now time.Time, source Source, version ident.Version) {
	if version != d.unusable {
		d.Fetcher.Observe(now, source, version)
	}
}

// Received records a text that was put in force.
func (d *Document) Received(now time.Time, version ident.Version, text []byte) {
	d.Fetcher.Received(now, version)
	d.text, d.wholeOnly = text, false
	if d.transfer.head.Version <= version {
		d.transfer = transfer{}
	}
}

// Unusable records a version whose text can't be put in force. It is not requested
// again.
func (d *Document) Unusable(version ident.Version) {
	d.unusable = version
	d.transfer = transfer{}
	if d.newest <= version {
		d.newest, d.behindSince = d.current, time.Time{}
	}
}

// Forget removes a source that can't be reached any more. A transfer from it goes on
// at another one.
func (d *Document) Forget(source ident.Instance) {
	d.Fetcher.Forget(source)
	if d.transfer.source == source {
		d.transfer.progressAt = time.Time{}
	}
}

// Requests returns the requests that are due: the first one of a transfer, or that
// of the next piece from another source if the transfer has stalled.
func (d *Document) Requests(now time.Time) []Request {
	if !d.transfer.active() {
		source, ok := d.Due(now)
		if !ok {
			return nil
		}
		d.transfer = transfer{source: source, startedAt: now, progressAt: now}
		return d.nextRequests()
	}
	if now.Sub(d.transfer.progressAt) < d.limit/stallShare || len(d.sources) == 0 {
		return nil
	}
	if d.transfer.source == d.sources[0].Instance {
		d.NextSource()
	}
	d.transfer.source = d.sources[0].Instance
	d.transfer.requested = len(d.transfer.bytes)
	d.transfer.progressAt = now
	return d.nextRequests()
}

// nextRequests returns requests for the next pieces.
func (d *Document) nextRequests() []Request {
	t := &d.transfer
	if !t.known() {
		base := d.current
		if d.wholeOnly {
			base = 0
		}
		t.requested = pieceBytes
		return []Request{{To: t.source, Version: d.newest, Base: base, Length: pieceBytes}}
	}
	var out []Request
	for t.requested < t.head.Size && t.requested-len(t.bytes) < maxRequested {
		out = append(out, Request{To: t.source, Version: t.head.Version, Base: t.head.Base, Offset: t.requested, Length: pieceBytes})
		t.requested += pieceBytes
	}
	return out
}

// Receive takes a piece. It returns the text if it is complete, otherwise the
// requests for further pieces. It returns ErrUnusable if the piece or the text can't
// be used; the transfer then starts anew.
func (d *Document) Receive(now time.Time, from ident.Instance, p Piece) (text []byte, more []Request, err error) {
	t := &d.transfer
	if !t.active() || from != t.source || p.Version <= d.current {
		return nil, nil, nil
	}
	if err := d.check(p); err != nil {
		d.transfer = transfer{}
		return nil, nil, err
	}
	if t.known() && !p.sameEncoding(t.head) { // the source no longer has the one before
		*t = transfer{source: t.source, startedAt: t.startedAt, progressAt: now, requested: len(p.Bytes)}
		if p.Offset != 0 {
			return nil, d.nextRequests(), nil
		}
	}
	t.head = Piece{Version: p.Version, Base: p.Base, Digest: p.Digest, Size: p.Size}
	if p.Offset != len(t.bytes) {
		return nil, nil, nil // repeated, or it follows one that was lost
	}
	t.bytes, t.progressAt = append(t.bytes, p.Bytes...), now
	if len(t.bytes) < t.head.Size {
		return nil, d.nextRequests(), nil
	}
	text, err = d.finish()
	return text, nil, err
}

// check returns ErrUnusable if a piece is invalid.
func (d *Document) check(p Piece) error {
	switch {
	case p.Size <= 0 || p.Size > MaxText || p.Offset < 0 || len(p.Bytes) == 0 || len(p.Bytes) > p.Size-p.Offset:
		return errors.Wrapf(ErrUnusable, "piece of %d bytes at %d of %d", len(p.Bytes), p.Offset, p.Size)
	case p.Base != 0 && p.Base != d.current:
		return errors.Wrapf(ErrUnusable, "delta against version %d, not %d", p.Base, d.current)
	}
	return nil
}

// finish ends a complete transfer and returns its text. After an encoding that does
// not yield the text, the whole text is requested.
func (d *Document) finish() ([]byte, error) {
	t := d.transfer
	d.transfer = transfer{}
	var base []byte
	if t.head.Base != 0 {
		base = d.text
	}
	text, err := decode(base, t.bytes, t.head.Digest)
	if err != nil {
		d.wholeOnly = true
		return nil, errors.Wrapf(err, "version %d against %d", t.head.Version, t.head.Base)
	}
	return text, nil
}

// Transfer returns the transfer under way, if there is one.
func (d *Document) Transfer(now time.Time) (Transfer, bool) {
	t := &d.transfer
	return Transfer{
		Source: t.source, Version: t.head.Version, Base: t.head.Base, Size: t.head.Size, Arrived: len(t.bytes), Took: now.Sub(t.startedAt),
	}, t.active()
}

// NeedsStore reports whether this instance has to read the store itself, because no
// peer serves it in time: a newer version has been known for long, and the transfer
// will not be complete soon enough.
func (d *Document) NeedsStore(now time.Time) bool {
	if d.behindSince.IsZero() {
		return false
	}
	wait := time.Duration((1 + d.spread) * float64(d.limit/storeShare))
	if now.Sub(d.behindSince) < wait {
		return false
	}
	t := &d.transfer
	if !t.active() || !t.known() || len(t.bytes) == 0 {
		return true
	}
	took := now.Sub(t.startedAt)
	expected := time.Duration(float64(took) * float64(t.head.Size) / float64(len(t.bytes)))
	return t.startedAt.Add(expected).Sub(d.behindSince) > time.Duration(servedShare*float64(d.limit))
}
