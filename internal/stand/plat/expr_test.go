package plat

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestExpressions(t *testing.T) {
	text := func(s string) attribute { return attribute{S: &s} }
	number := func(n string) attribute { return attribute{N: &n} }
	row := item{"PK": text("a"), "SK": text("head#1"), "Term": number("10")}
	names := map[string]string{"#T": "Term"}
	values := map[string]attribute{":nine": number("9"), ":ten": number("10.0"), ":a": text("a"), ":h": text("head#")}
	for expression, want := range map[string]bool{
		"":                                          true,
		"attribute_exists(PK)":                      true,
		"attribute_not_exists(PK)":                  false,
		"attribute_not_exists(PK) OR #T > :nine":    true,
		"#T < :nine OR #T = :ten AND PK = :a":       true,
		"(#T < :nine OR #T = :ten) AND PK <> :a":    false,
		"#T <= :ten AND #T >= :ten and Term = :ten": true,
		"begins_with(SK, :h)":                       true,
		"begins_with(PK, :h)":                       false,
		"Missing <> :a":                             true,
		"Missing = :a":                              false,
		"PK = :ten":                                 false,
	} {
		g := NewWithT(t)
		c, err := parse(expression, names, values)
		g.Expect(err).NotTo(HaveOccurred(), expression)
		g.Expect(c.matches(row)).To(Equal(want), expression)
	}
	for _, expression := range []string{"PK", "PK =", "PK = :none", "#X = :a", "(PK = :a", "PK = :a)", "PK LIKE :a", "size(PK) > :nine", "begins_with(SK, :ten)", "%"} {
		_, err := parse(expression, names, values)
		NewWithT(t).Expect(err).To(MatchError(errExpression), expression)
	}
}
