package token_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
	"github.com/marjoramrudder/marjoramrudder/pkg/token"
)

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		positions := rapid.MapOfN(rapid.StringMatching(`[a-z]{1,8}`), rapid.Int64Range(1, 1<<50), 0, 20).Draw(rt, "positions")
		var tok token.Token
		for name, n := range positions {
			tok = tok.With(ident.Group(name), ident.LogPosition{Term: ident.Term(n), Position: ident.Position(n / 2)})
		}
		back, err := token.Parse(tok.String())
		if err != nil {
			rt.Fatal(err)
		}
		if back.String() != tok.String() {
			rt.Fatalf("%q was parsed and printed as %q", tok, back)
		}
	})
}

func TestTokenNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	tok := token.Token{}.With("a", ident.LogPosition{Term: 2, Position: 5})
	g.Expect(tok.With("a", ident.LogPosition{Term: 1, Position: 9}).Position("a")).To(Equal(ident.LogPosition{Term: 2, Position: 5}))
	g.Expect(tok.With("a", ident.LogPosition{Term: 2, Position: 6}).Position("a")).To(Equal(ident.LogPosition{Term: 2, Position: 6}))
}

func TestMalformedTokensAreRefused(t *testing.T) {
	g := NewWithT(t)
	good := token.Token{}.With("a", ident.LogPosition{Term: 2, Position: 5}).String()
	for _, text := range []string{"x", "%%%", good[1:], good + "AA", strings.Repeat("A", token.MaxLength+1)} {
		_, err := token.Parse(text)
		g.Expect(err).To(MatchError(token.ErrMalformed), text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("")
	f.Add(token.Token{}.With("a", ident.LogPosition{Term: 2, Position: 5}).String())
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := token.Parse(text)
		if err != nil {
			return
		}
		if back, err := token.Parse(tok.String()); err != nil || back.String() != tok.String() {
			t.Fatalf("%q does not round-trip: %v", text, err)
		}
	})
}
