package fetch

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/delta"
)

// Digest is the SHA-256 digest of a text.
type Digest [sha256.Size]byte

// encode returns what a text is sent as: compressed, and as its delta against base
// if base is not nil.
func encode(base, text []byte) []byte {
	if base != nil {
		text = delta.Make(base, text)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(text) // a buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

// decode returns the text of an encoding. It returns ErrUnusable if the encoding is
// malformed, the text is larger than MaxText or its digest is another one.
func decode(base, encoding []byte, digest Digest) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoding)), MaxText+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress text"), ErrUnusable)
	}
	if base != nil {
		if text, err = delta.Apply(base, text, MaxText); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "apply delta"), ErrUnusable)
		}
	}
	if len(text) > MaxText {
		return nil, errors.Wrapf(ErrUnusable, "text of more than %d bytes", MaxText)
	}
	if sha256.Sum256(text) != digest {
		return nil, errors.Wrap(ErrUnusable, "wrong digest")
	}
	return text, nil
}
