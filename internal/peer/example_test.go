package peer_test

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func ExampleHandle() {
	router := peer.NewRouter()
	peer.Handle(router, func(from ident.Process, request peer.TokenRequest, _ time.Time) {
		fmt.Printf("%s asks for %d tokens of %s\n", from.Instance, request.Count, request.Account)
	})
	router.Receive(ident.Process{Instance: "proxy-1"}, peer.TokenRequest{Account: "acme", Count: 5}, time.Now())
	router.Receive(ident.Process{Instance: "proxy-1"}, peer.Leaving{}, time.Now()) // no handler: counted
	// Output: proxy-1 asks for 5 tokens of acme
}
