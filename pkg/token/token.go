// Package token is the session token: for each database group the mark of the
// session's last write. A caller shows it on any instance to read its own
// writes there. The package parses and prints; it does no I/O.
package token

import (
	"encoding/base64"
	"hash/crc32"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// MaxLength bounds the printed token in bytes.
const MaxLength = 4096

const (
	format    = 1
	maxGroups = 64
	sumBytes  = 4
)

// ErrMalformed reports text that is not a session token.
var ErrMalformed = errors.New("malformed session token")

// Token maps database groups to the mark of the session's last write. The
// zero Token belongs to a session that has not written.
type Token struct {
	marks map[ident.Group]ident.LogPosition
}

type wireToken struct {
	Format int                               `cbor:"0,keyasint"`
	Marks  map[ident.Group]ident.LogPosition `cbor:"1,keyasint"`
}

// Parse reads a printed token. Empty text is the zero Token.
func Parse(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > MaxLength {
		return Token{}, errors.Wrapf(ErrMalformed, "%d bytes, at most %d allowed", len(text), MaxLength)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < sumBytes {
		return Token{}, errors.Wrap(ErrMalformed, "not base64url text")
	}
	return decode(raw)
}

func decode(raw []byte) (Token, error) {
	body, sum := raw[:len(raw)-sumBytes], raw[len(raw)-sumBytes:]
	if !slices.Equal(checksum(body), sum) {
		return Token{}, errors.Wrap(ErrMalformed, "checksum differs")
	}
	var w wireToken
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Token{}, errors.Wrap(ErrMalformed, "not CBOR")
	}
	if w.Format != format || len(w.Marks) > maxGroups {
		return Token{}, errors.Wrapf(ErrMalformed, "format %d with %d groups", w.Format, len(w.Marks))
	}
	for g, m := range w.Marks {
		if g == "" || m.Term <= 0 || m.Position < 0 {
			return Token{}, errors.Wrapf(ErrMalformed, "impossible mark of group %q", g)
		}
	}
	return Token{marks: w.Marks}, nil
}

// String prints the token as Parse reads it.
func (t Token) String() string {
	if len(t.marks) == 0 {
		return ""
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return ""
	}
	body, err := mode.Marshal(wireToken{Format: format, Marks: t.marks})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(body, checksum(body)...))
}

// Position returns the mark for group; the zero mark when the session has not
// written there.
func (t Token) Position(group ident.Group) ident.LogPosition { return t.marks[group] }

// With returns a token that also covers mark. It never goes back: a mark that
// the token covers already changes nothing.
func (t Token) With(group ident.Group, mark ident.LogPosition) Token {
	if t.marks[group].Covers(mark) {
		return t
	}
	marks := maps.Clone(t.marks)
	if marks == nil {
		marks = make(map[ident.Group]ident.LogPosition, 1)
	}
	marks[group] = mark
	return Token{marks: marks}
}

// Merge returns a token that covers both t and o.
func (t Token) Merge(o Token) Token {
	for g, m := range o.marks {
		t = t.With(g, m)
	}
	return t
}

func checksum(body []byte) []byte {
	sum := crc32.ChecksumIEEE(body)
	return []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}
