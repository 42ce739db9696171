package fetch

import (
	"crypto/sha256"
	"sync"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// maxKeptTexts and maxKeptBytes limit the texts that are kept beside the one in
	// force, so that transfers of them can end and others can get deltas.
	maxKeptTexts = 3
	maxKeptBytes = 8 << 20
)

// History keeps the latest texts of the configuration and serves pieces of them to
// other instances. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	texts []versionText // the one in force is the last
}

// versionText is the text of a version and what it is sent as.
type versionText struct {
	version ident.Version
	text    []byte
	// digest and encodings are computed when they are first needed, because few
	// instances serve others. encodings are by the version of the base, zero for
	// none.
	digest    Digest
	encodings map[ident.Version][]byte
}

// Add adds the text that is now in force.
func (h *History) Add(version ident.Version, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.texts = append(h.texts, versionText{version: version, text: text})
	for len(h.texts) > maxKeptTexts+1 || h.keptBytes() > maxKeptBytes {
		h.texts = h.texts[1:]
	}
}

// keptBytes returns the size of the texts beside the one in force.
func (h *History) keptBytes() int {
	size := 0
	for _, t := range h.texts[:len(h.texts)-1] {
		size += len(t.text)
	}
	return size
}

// Text returns the text in force, nil if there is none.
func (h *History) Text() (ident.Version, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.texts) == 0 {
		return 0, nil
	}
	t := h.texts[len(h.texts)-1]
	return t.version, t.text
}

// Piece returns the requested piece. A request from offset zero, or for an encoding
// that is not kept any more, gets the first piece of the text in force. It returns
// false if the requested version is not known here yet.
func (h *History) Piece(r Request) (Piece, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.texts) == 0 || h.texts[len(h.texts)-1].version < r.Version {
		return Piece{}, false
	}
	if r.Offset > 0 {
		if p, ok := h.pieceAt(r); ok {
			return p, true
		}
	}
	r.Version, r.Offset = h.texts[len(h.texts)-1].version, 0
	if p, ok := h.pieceAt(r); ok {
		return p, true
	}
	r.Base = 0
	return h.pieceAt(r)
}

// pieceAt returns the piece of exactly the requested encoding. The caller holds the
// mutex.
func (h *History) pieceAt(r Request) (Piece, bool) {
	t := h.find(r.Version)
	if t == nil {
		return Piece{}, false
	}
	encoding := h.encodingOf(t, r.Base)
	if r.Offset < 0 || r.Offset >= len(encoding) || r.Length <= 0 {
		return Piece{}, false
	}
	end := min(r.Offset+min(r.Length, pieceBytes), len(encoding))
	return Piece{Version: t.version, Base: r.Base, Digest: t.digest, Size: len(encoding), Offset: r.Offset, Bytes: encoding[r.Offset:end]}, true
}

func (h *History) find(version ident.Version) *versionText {
	for i := range h.texts {
		if h.texts[i].version == version {
			return &h.texts[i]
		}
	}
	return nil
}

// encodingOf returns what a text is sent as to an instance that has the text of base,
// nil if that text is unknown here. The caller holds the mutex.
func (h *History) encodingOf(t *versionText, base ident.Version) []byte {
	if e, ok := t.encodings[base]; ok {
		return e
	}
	var baseText []byte
	if base != 0 {
		b := h.find(base)
		if b == nil || b.version >= t.version {
			return nil
		}
		baseText = b.text
	}
	if t.encodings == nil {
		t.digest, t.encodings = sha256.Sum256(t.text), make(map[ident.Version][]byte)
	}
	e := encode(baseText, t.text)
	t.encodings[base] = e
	return e
}
