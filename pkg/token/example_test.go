package token_test

import (
	"fmt"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
	"github.com/marjoramrudder/marjoramrudder/pkg/token"
)

func ExampleToken_With() {
	session := token.Token{}.With("orders", ident.LogPosition{Term: 3, Position: 17})
	parsed, err := token.Parse(session.String())
	fmt.Println(parsed.Position("orders"), err)
	// Output: {3 17} <nil>
}
