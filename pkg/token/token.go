// Package token implements the session token, which holds the log position of
// the session's last write for each database group. A caller presents it to any
// instance to read its own writes there. The package does no I/O.
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

// MaxLength limits the length of a printed token, in bytes.
const MaxLength = 4096

const (
	format        = 1
	maxGroups     = 64
	checksumBytes = 4
)

// ErrMalformed reports text that is not a session token.
var ErrMalformed = errors.New("malformed session token")

// Token maps database groups to the log position of the session's last write.
// The zero Token belongs to a session that has not written.
type Token struct {
	positions map[ident.Group]ident.LogPosition
}

type wireToken struct {
	Format    int                               `cbor:"0,keyasint"`
	Positions map[ident.Group]ident.LogPosition `cbor:"1,keyasint"`
}

// Parse parses a printed token. The empty text is the zero Token. It returns
// ErrMalformed if text is not a valid token.
func Parse(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > MaxLength {
		return Token{}, errors.Wrapf(ErrMalformed, "%d bytes, at most %d allowed", len(text), MaxLength)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < checksumBytes {
		return Token{}, errors.Wrap(ErrMalformed, "not base64url text")
	}
	return decode(raw)
}

func decode(raw []byte) (Token, error) {
	body, want := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if !slices.Equal(checksum(body), want) {
		return Token{}, errors.Wrap(ErrMalformed, "wrong checksum")
	}
	var w wireToken
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Token{}, errors.Wrap(ErrMalformed, "not CBOR")
	}
	if w.Format != format || len(w.Positions) > maxGroups {
		return Token{}, errors.Wrapf(ErrMalformed, "format %d with %d groups", w.Format, len(w.Positions))
	}
	for g, p := range w.Positions {
		if g == "" || p.Term <= 0 || p.Position < 0 {
			return Token{}, errors.Wrapf(ErrMalformed, "invalid log position of group %q", g)
		}
	}
	return Token{positions: w.Positions}, nil
}

// String returns the token in the form that Parse accepts.
func (t Token) String() string {
	if len(t.positions) == 0 {
		return ""
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return ""
	}
	body, err := mode.Marshal(wireToken{Format: format, Positions: t.positions})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(body, checksum(body)...))
}

// Position returns the log position for group, or the zero position if the
// session has not written to it.
func (t Token) Position(group ident.Group) ident.LogPosition { return t.positions[group] }

// With returns a token that also covers position. If the token already covers
// it, the token is returned unchanged.
func (t Token) With(group ident.Group, position ident.LogPosition) Token {
	if t.positions[group].Covers(position) {
		return t
	}
	positions := maps.Clone(t.positions)
	if positions == nil {
		positions = make(map[ident.Group]ident.LogPosition, 1)
	}
	positions[group] = position
	return Token{positions: positions}
}

// Merge returns a token that covers both t and o.
func (t Token) Merge(o Token) Token {
	for g, p := range o.positions {
		t = t.With(g, p)
	}
	return t
}

func checksum(body []byte) []byte {
	sum := crc32.ChecksumIEEE(body)
	return []byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}
